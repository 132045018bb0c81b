package vmlist

import (
	"encoding/json"
	"fmt"
	"net/netip"

	"yuccalanding.example/yuccalanding/pkg/workload"
)

// entry is a VM as the service sends it, before it is checked.
type entry struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure-domain"`
	Rack          string `json:"rack"`
	Leaving       bool   `json:"leaving"`
}

// check returns the valid entries, and a finding for each error in the others. An
// invalid entry whose name was in the previous list is replaced by its previous
// entry, so that a worker in use doesn't disappear because of an invalid field. If the
// invalid entry says that the VM is leaving, the replacement says so too.
func check(entries []json.RawMessage, previous []VM) ([]VM, workload.Findings) {
	previousByName := make(map[string]VM, len(previous))
	for _, vm := range previous {
		previousByName[vm.Name] = vm
	}
	var findings workload.Findings
	vms := make([]VM, 0, len(entries))
	names, addresses := map[string]int{}, map[netip.AddrPort]int{}
	for i, data := range entries {
		position := fmt.Sprintf("vms[%d]", i)
		vm, entryFindings := checkEntry(position, data)
		if first, ok := names[vm.Name]; ok && vm.Name != "" {
			entryFindings.Add(position+".name", "%q is also the name of vms[%d]", vm.Name, first)
			findings = append(findings, entryFindings...)
			continue
		}
		if first, ok := addresses[vm.Address]; ok && len(entryFindings) == 0 {
			entryFindings.Add(position+".address", "%s is also the address of vms[%d]", vm.Address, first)
		}
		findings = append(findings, entryFindings...)
		if len(entryFindings) > 0 {
			previousVM, ok := previousByName[vm.Name]
			if _, inUse := addresses[previousVM.Address]; !ok || inUse {
				continue
			}
			previousVM.Leaving = previousVM.Leaving || vm.Leaving
			vm = previousVM
		}
		names[vm.Name], addresses[vm.Address] = i, i
		vms = append(vms, vm)
	}
	return vms, limitFindings(findings)
}

// checkEntry returns the fields of an entry that could be decoded, and a finding for
// each error in the entry.
func checkEntry(position string, data json.RawMessage) (VM, workload.Findings) {
	var findings workload.Findings
	var decoded entry
	if err := json.Unmarshal(data, &decoded); err != nil {
		// The decoder continues after a field of a wrong type.
		findings.Add(position, "%s", err)
	}
	for _, field := range []struct{ name, value string }{
		{"name", decoded.Name}, {"region", decoded.Region}, {"failure-domain", decoded.FailureDomain}, {"rack", decoded.Rack},
	} {
		if field.value == "" || len(field.value) > workload.MaxNameLength {
			findings.Add(position+"."+field.name, "must have 1 to %d characters, got %d", workload.MaxNameLength, len(field.value))
		}
	}
	address, err := netip.ParseAddrPort(decoded.Address)
	if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() {
		findings.Add(position+".address", "must be an IP address with a port, got %q", decoded.Address)
	}
	return VM{
		Name: decoded.Name, Address: address, Region: decoded.Region,
		FailureDomain: decoded.FailureDomain, Rack: decoded.Rack, Leaving: decoded.Leaving,
	}, findings
}

// limitFindings limits the findings to MaxFindings. If there are more, the last one
// gives the total.
func limitFindings(findings workload.Findings) workload.Findings {
	if len(findings) <= MaxFindings {
		return findings
	}
	total := len(findings)
	findings = findings[:MaxFindings-1]
	findings.Add("vms", "%d findings in total; the first %d are shown", total, MaxFindings-1)
	return findings
}
