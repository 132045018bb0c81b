package daemon

import (
	"context"
	"net/http"
	"time"

	"yuccalanding.example/yuccalanding/internal/command"
	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/internal/standin/workervm"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

var standinWorkerVerb = command.Verb{
	Name:    "standin worker",
	Usage:   "Run a stand-in for one worker VM, for tests.",
	Example: command.Program + " standin worker --listen 127.0.0.1:7101 --name worker-01 --region punjab --failure-domain lahore",
	New: func() (any, command.Run) {
		flags := &standinWorkerFlags{}
		return flags, flags.run
	},
}

type standinWorkerFlags struct {
	Listen        address       `help:"Address to listen on." required:""`
	Name          string        `help:"Name of the worker in the VM list." required:""`
	Region        string        `help:"Region of the worker." required:""`
	FailureDomain string        `help:"Failure domain of the worker." required:""`
	Rack          string        `help:"Rack of the worker." default:"rack-1"`
	MilliCPU      int64         `name:"milli-cpu" help:"CPU capacity, in thousandths of a core." default:"16000"`
	MemoryMB      int64         `name:"memory-mb" help:"Memory capacity, in MB." default:"32768"`
	Accelerators  int64         `help:"Number of accelerators." default:"0"`
	Slots         int           `help:"Maximum number of concurrent tasks." default:"8"`
	Connections   int           `help:"Maximum number of connections of all tasks together." default:"64"`
	TaskLease     time.Duration `help:"Time after which a task stops if its lease was not renewed." default:"20s"`
}

func (f *standinWorkerFlags) run(ctx context.Context, environment *command.Environment) error {
	vm := workervm.New(workervm.Options{
		TaskLease: f.TaskLease,
		Worker: placement.Worker{
			Name: f.Name, Region: f.Region, FailureDomain: f.FailureDomain, Rack: f.Rack, Slots: f.Slots, Connections: f.Connections,
			Capacity: workload.Resources{MilliCPU: f.MilliCPU, MemoryMB: f.MemoryMB, Accelerators: f.Accelerators},
		},
	})
	stopped := make(chan struct{})
	go func() { vm.Run(ctx); close(stopped) }()
	err := serve(ctx, environment, "stand-in worker "+f.Name, f.Listen.AddrPort, &http.Server{Handler: vm, ConnContext: vm.ConnContext})
	<-stopped
	return err
}
