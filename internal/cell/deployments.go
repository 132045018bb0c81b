package cell

import (
	"fmt"
	"time"

	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// Distances of section 1.6 of the design, one way.
const (
	regionDelay = 30 * time.Millisecond
	clientDelay = time.Millisecond
)

// nodesPerDomain gives the six entry VMs of a deployment with three domains.
const nodesPerDomain = 2

// domain is a failure domain with its region.
type domain struct{ region, name string }

// workerGroup is a number of like workers.
type workerGroup struct {
	name      string
	count     int
	perRack   int
	resources workload.Resources
}

// RaviLevy returns the deployment of Ravi Levy Trust Services at today's sizes.
func RaviLevy() Options {
	return deployment(500*time.Microsecond,
		[]domain{{"punjab", "lahore"}, {"punjab", "faisalabad"}, {"sindh", "karachi"}},
		[]workerGroup{
			{"ledger", 35, 5, workload.Resources{MilliCPU: 16_000, MemoryMB: 32 << 10}},
			{"review", 13, 3, workload.Resources{MilliCPU: 128_000, MemoryMB: 256 << 10, Accelerators: 8}},
		})
}

// Guild returns the deployment of the Midlands Connected Oven Guild at today's
// sizes.
func Guild() Options {
	return deployment(time.Millisecond,
		[]domain{{"west-midlands", "birmingham"}, {"west-midlands", "coventry"}, {"east-midlands", "nottingham"}},
		[]workerGroup{
			{"programme", 35, 5, workload.Resources{MilliCPU: 32_000, MemoryMB: 128 << 10}},
			{"camera", 13, 3, workload.Resources{MilliCPU: 64_000, MemoryMB: 256 << 10, Accelerators: 8}},
		})
}

// deployment spreads the racks over the domains in turn and puts two entry VMs
// into each domain.
func deployment(domainDelay time.Duration, domains []domain, fleets []workerGroup) Options {
	options := Options{ClientDelay: clientDelay}
	for i := range nodesPerDomain * len(domains) {
		at := domains[i%len(domains)]
		options.Nodes = append(options.Nodes, NodeSpec{Name: fmt.Sprintf("entry-%d", i+1), Region: at.region, FailureDomain: at.name})
	}
	for _, f := range fleets {
		for i := range f.count {
			rack := i / f.perRack
			at := domains[rack%len(domains)]
			options.Workers = append(options.Workers, placement.Worker{
				Name: fmt.Sprintf("%s-%02d", f.name, i+1), Region: at.region, FailureDomain: at.name,
				Rack: fmt.Sprintf("%s-rack-%d", f.name, rack+1), Capacity: f.resources, Slots: 8, Connections: 64,
			})
		}
	}
	between := func(fromRegion, fromDomain, toRegion, toDomain string) time.Duration {
		switch {
		case fromRegion != toRegion:
			return regionDelay
		case fromDomain != toDomain:
			return domainDelay
		}
		return 0
	}
	options.PeerDelay = func(from, to NodeSpec) time.Duration {
		return between(from.Region, from.FailureDomain, to.Region, to.FailureDomain)
	}
	options.WorkerDelay = func(from NodeSpec, to placement.Worker) time.Duration {
		return between(from.Region, from.FailureDomain, to.Region, to.FailureDomain)
	}
	return options
}
