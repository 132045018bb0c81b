package vmlist

import (
	"encoding/json"
	"fmt"
	"net/netip"

	"yuccalanding.example/yuccalanding/pkg/workload"
)

// entry is a VM before it is checked.
type entry struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure-domain"`
	Rack          string `json:"rack"`
	Leaving       bool   `json:"leaving"`
}

// check returns the correct entries and a finding for each fault of the
// others. For a wrong entry whose name was in the former list, it takes the
// former entry: a worker in use must not disappear because of a wrong field.
func check(raw []json.RawMessage, former []VM) ([]VM, workload.Findings) {
	formerByName := make(map[string]VM, len(former))
	for _, vm := range former {
		formerByName[vm.Name] = vm
	}
	var findings workload.Findings
	vms := make([]VM, 0, len(raw))
	names, addresses := map[string]int{}, map[netip.AddrPort]int{}
	for i, data := range raw {
		place := fmt.Sprintf("vms[%d]", i)
		vm, found := checkEntry(place, data)
		if first, ok := names[vm.Name]; ok && vm.Name != "" {
			found.Add(place+".name", "%q is the name of vms[%d] too", vm.Name, first)
			findings = append(findings, found...)
			continue
		}
		if first, ok := addresses[vm.Address]; ok && len(found) == 0 {
			found.Add(place+".address", "%s is the address of vms[%d] too", vm.Address, first)
		}
		findings = append(findings, found...)
		if len(found) > 0 {
			kept, ok := formerByName[vm.Name]
			if _, taken := addresses[kept.Address]; !ok || taken {
				continue
			}
			kept.Leaving = kept.Leaving || vm.Leaving
			vm = kept
		}
		names[vm.Name], addresses[vm.Address] = i, i
		vms = append(vms, vm)
	}
	return vms, limit(findings)
}

// checkEntry returns as much of the entry as could be read, and its faults.
func checkEntry(place string, data json.RawMessage) (VM, workload.Findings) {
	var findings workload.Findings
	var read entry
	if err := json.Unmarshal(data, &read); err != nil {
		// Fields after one of a wrong type are still read.
		findings.Add(place, "%s", err)
	}
	for _, field := range []struct{ name, value string }{
		{"name", read.Name}, {"region", read.Region}, {"failure-domain", read.FailureDomain}, {"rack", read.Rack},
	} {
		if field.value == "" || len(field.value) > workload.MaxNameLength {
			findings.Add(place+"."+field.name, "must have 1 to %d characters, got %d", workload.MaxNameLength, len(field.value))
		}
	}
	address, err := netip.ParseAddrPort(read.Address)
	if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() {
		findings.Add(place+".address", "must be an IP address with a port, got %q", read.Address)
	}
	return VM{
		Name: read.Name, Address: address, Region: read.Region,
		FailureDomain: read.FailureDomain, Rack: read.Rack, Leaving: read.Leaving,
	}, findings
}

func limit(findings workload.Findings) workload.Findings {
	if len(findings) <= MaxFindings {
		return findings
	}
	total := len(findings)
	findings = findings[:MaxFindings-1]
	findings.Add("vms", "%d findings in all; the first %d are shown", total, MaxFindings-1)
	return findings
}
