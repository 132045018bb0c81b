package cell

import (
	"fmt"
	"time"

	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// One-way network delays of section 1.6 of the design: between regions, and between
// callers and entry VMs.
const (
	regionDelay = 30 * time.Millisecond
	clientDelay = time.Millisecond
)

// nodesPerDomain is the number of entry VMs in each failure domain.
const nodesPerDomain = 2

// domain is a failure domain and its region.
type domain struct{ region, name string }

// workerGroup is a number of workers of the same size.
type workerGroup struct {
	name      string
	count     int
	perRack   int
	resources workload.Resources
}

// RaviLevy returns the deployment of Ravi Levy Trust Services at its current size.
func RaviLevy() Options {
	return deployment(500*time.Microsecond,
		[]domain{{"punjab", "lahore"}, {"punjab", "faisalabad"}, {"sindh", "karachi"}},
		[]workerGroup{
			{"ledger", 35, 5, workload.Resources{MilliCPU: 16_000, MemoryMB: 32 << 10}},
			{"review", 13, 3, workload.Resources{MilliCPU: 128_000, MemoryMB: 256 << 10, Accelerators: 8}},
		})
}

// Guild returns the deployment of the Midlands Connected Oven Guild at its current
// size.
func Guild() Options {
	return deployment(time.Millisecond,
		[]domain{{"west-midlands", "birmingham"}, {"west-midlands", "coventry"}, {"east-midlands", "nottingham"}},
		[]workerGroup{
			{"programme", 35, 5, workload.Resources{MilliCPU: 32_000, MemoryMB: 128 << 10}},
			{"camera", 13, 3, workload.Resources{MilliCPU: 64_000, MemoryMB: 256 << 10, Accelerators: 8}},
		})
}

// deployment assigns the racks to the failure domains in turn and puts two entry
// VMs into each. domainDelay is the one-way delay between failure domains of one
// region.
func deployment(domainDelay time.Duration, domains []domain, groups []workerGroup) Options {
	options := Options{ClientDelay: clientDelay}
	for i := range nodesPerDomain * len(domains) {
		location := domains[i%len(domains)]
		options.Nodes = append(options.Nodes, NodeSpec{Name: fmt.Sprintf("entry-%d", i+1), Region: location.region, FailureDomain: location.name})
	}
	for _, group := range groups {
		for i := range group.count {
			rack := i / group.perRack
			location := domains[rack%len(domains)]
			options.Workers = append(options.Workers, placement.Worker{
				Name: fmt.Sprintf("%s-%02d", group.name, i+1), Region: location.region, FailureDomain: location.name,
				Rack: fmt.Sprintf("%s-rack-%d", group.name, rack+1), Capacity: group.resources, Slots: 8, Connections: 64,
			})
		}
	}
	oneWayDelay := func(fromRegion, fromDomain, toRegion, toDomain string) time.Duration {
		switch {
		case fromRegion != toRegion:
			return regionDelay
		case fromDomain != toDomain:
			return domainDelay
		}
		return 0
	}
	options.PeerDelay = func(from, to NodeSpec) time.Duration {
		return oneWayDelay(from.Region, from.FailureDomain, to.Region, to.FailureDomain)
	}
	options.WorkerDelay = func(from NodeSpec, to placement.Worker) time.Duration {
		return oneWayDelay(from.Region, from.FailureDomain, to.Region, to.FailureDomain)
	}
	return options
}
