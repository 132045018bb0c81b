package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"

	"yuccalanding.example/yuccalanding/internal/command"
	"yuccalanding.example/yuccalanding/internal/standin/vmlistservice"
	"yuccalanding.example/yuccalanding/internal/vmlist"
)

var standinVMListVerb = command.Verb{
	Name:    "standin vm-list",
	Usage:   "Run a stand-in for the platform's VM list service, for tests.",
	Example: command.Program + " standin vm-list --listen 127.0.0.1:7002 --vms vms.json",
	New: func() (any, command.Run) {
		flags := &standinVMListFlags{}
		return flags, flags.run
	},
}

type standinVMListFlags struct {
	Listen address `help:"Address to listen on." required:""`
	VMs    string  `name:"vms" help:"JSON file with the initial list: an array of VMs with name, address, region, failure-domain and rack."`
}

func (f *standinVMListFlags) run(ctx context.Context, environment *command.Environment) error {
	service := vmlistservice.New(vmlistservice.Options{})
	if f.VMs != "" {
		var vms []vmlist.VM
		content, err := os.ReadFile(f.VMs)
		if err != nil {
			return err
		}
		if err := json.Unmarshal(content, &vms); err != nil {
			return &command.UsageError{Message: fmt.Sprintf("%s: %v", f.VMs, err)}
		}
		service.Set(vms)
	}
	return serve(ctx, environment, "stand-in VM list", f.Listen.AddrPort, &http.Server{Handler: service})
}
