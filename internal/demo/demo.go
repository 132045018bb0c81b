// Package demo shows the scheduler without any setup. It runs both deployments of
// section 1.6 of the design at their current sizes and at the same time, each as
// a cell inside this process. Each deployment gets mixed work, an overload of its
// least urgent kind, a killed node, a drained node, and an overload of its most
// urgent kind.
//
// # Usage
//
//	result, err := demo.Run(ctx, demo.Options{Deployments: demo.Deployments(), Examples: "examples"})
//	result.WriteText(os.Stdout)
//	if !result.Passed {
//		// Answers were lost, doubled or wrong.
//	}
package demo

import (
	"context"
	"embed"
	"errors"
	"fmt"
	"io"
	"path"
	"strings"
	"sync"
	"time"

	"yuccalanding.example/yuccalanding/internal/cell"
	"yuccalanding.example/yuccalanding/internal/load"
)

//go:embed mixes/*.ini
var mixes embed.FS

// startTimeout bounds the time until a cell is ready and its configuration is in
// force on all nodes.
const startTimeout = 15 * time.Second

// Deployment is one cell and its load.
type Deployment struct {
	Name string
	Mix  *load.Mix
	// ConfigurationFolder is the folder of the configuration files, relative to
	// Options.Examples. If it is empty, the nodes' defaults stay in force.
	ConfigurationFolder string
}

// Options configure a demo.
type Options struct {
	Deployments []Deployment
	// Examples is the folder that holds the folders of configurations. If it is
	// empty, no configuration is applied.
	Examples string
	// Progress receives progress messages for the user; nil discards them.
	Progress func(format string, arguments ...any)
	// Log receives the nodes' log events; nil discards them.
	Log io.Writer
}

// Result is the result of a demo. Passed is set if Faults is empty. TookMS is the
// duration of the demo in milliseconds.
type Result struct {
	Passed      bool               `json:"passed"`
	Faults      []string           `json:"faults"`
	TookMS      float64            `json:"took-ms"`
	Deployments []DeploymentResult `json:"deployments"`
}

// DeploymentResult is the result of one deployment.
type DeploymentResult struct {
	Name    string `json:"name"`
	Nodes   int    `json:"nodes"`
	Workers int    `json:"workers"`
	// Configuration describes the configuration that was in force.
	Configuration string       `json:"configuration"`
	Report        *load.Report `json:"report"`
	// StopError is the error of stopping the cell at the end; empty if there was
	// none.
	StopError string `json:"stop-note,omitempty"`
}

// Deployments returns both deployments of section 1.6 of the design.
func Deployments() []Deployment {
	return []Deployment{
		{Name: "Ravi Levy Trust Services", Mix: mustReadMix("ravi-levy"), ConfigurationFolder: "ravi-levy"},
		{Name: "Midlands Connected Oven Guild", Mix: mustReadMix("guild"), ConfigurationFolder: "guild"},
	}
}

// mustReadMix reads an embedded mix. It panics if the mix is invalid, which the
// tests rule out.
func mustReadMix(name string) *load.Mix {
	file := path.Join("mixes", name+".ini")
	text, err := mixes.ReadFile(file)
	if err != nil {
		panic(err)
	}
	mix, err := load.Read(file, string(text))
	if err != nil {
		panic(err)
	}
	return mix
}

// Run runs all deployments at the same time. It fails if a cell doesn't start or
// doesn't get its configuration in time, or if its load can't be run. Faults of
// the scheduler are not errors; they are in the result.
func Run(ctx context.Context, options Options) (*Result, error) {
	if options.Progress == nil {
		options.Progress = func(string, ...any) {}
	}
	startedAt := time.Now()
	result := &Result{Faults: []string{}, Deployments: make([]DeploymentResult, len(options.Deployments))}
	errs := make([]error, len(options.Deployments))
	var group sync.WaitGroup
	for i := range options.Deployments {
		group.Go(func() { result.Deployments[i], errs[i] = runDeployment(ctx, &options, &options.Deployments[i]) })
	}
	group.Wait()
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	averageCPUPerStart(result.Deployments)
	for i := range result.Deployments {
		for _, fault := range result.Deployments[i].faults() {
			result.Faults = append(result.Faults, result.Deployments[i].Name+": "+fault)
		}
	}
	result.Passed = len(result.Faults) == 0
	result.TookMS = float64(time.Since(startedAt).Milliseconds())
	return result, nil
}

// averageCPUPerStart sets the CPU time per start in all reports to that of the
// whole process: its CPU time divided by the number of task starts in all
// deployments. The CPU time of a single deployment can't be measured, because all
// of them run in one process. Each report holds the CPU time of the whole process;
// the largest of them is used. The windows of all mixes are at the same times.
func averageCPUPerStart(deployments []DeploymentResult) {
	for window := range deployments[0].Report.Windows {
		cpuMicros, starts := 0.0, 0
		for i := range deployments {
			control := &deployments[i].Report.Windows[window].Control
			cpuMicros = max(cpuMicros, control.CPUPerStartMicros*float64(control.TaskStarts))
			starts += control.TaskStarts
		}
		for i := range deployments {
			if cpuMicros > 0 && starts > 0 {
				deployments[i].Report.Windows[window].Control.CPUPerStartMicros = cpuMicros / float64(starts)
			}
		}
	}
	for i := range deployments {
		deployments[i].Report.CPUTimeScope = "of the whole process, which holds all deployments with their nodes, stand-ins, relays and callers, by the starts of all deployments"
	}
}

// runDeployment starts the cell of a deployment, runs its load and stops the cell.
func runDeployment(ctx context.Context, options *Options, deployment *Deployment) (result DeploymentResult, err error) {
	cellOptions := load.CellOptions(deployment.Mix)
	cellOptions.Log = options.Log
	result = DeploymentResult{Name: deployment.Name, Nodes: len(cellOptions.Nodes), Workers: len(cellOptions.Workers)}
	c, err := cell.Start(ctx, cellOptions)
	if err != nil {
		return result, err
	}
	defer func() {
		// Stop fails if requests are still open. The measurements are valid even so.
		if stopErr := c.Stop(); stopErr != nil {
			result.StopError = stopErr.Error()
		}
	}()
	readyContext, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := c.AwaitReady(readyContext); err != nil {
		return result, err
	}
	if result.Configuration, err = configure(readyContext, c, options.Examples, deployment.ConfigurationFolder); err != nil {
		return result, err
	}
	target, err := load.CellTarget(deployment.Mix, c)
	if err != nil {
		return result, err
	}
	actions, err := load.CellActions(deployment.Mix, c)
	if err != nil {
		return result, err
	}
	result.Report, err = load.Run(ctx, load.Options{
		Mix: deployment.Mix, Target: target, Actions: actions,
		Progress: func(format string, arguments ...any) {
			options.Progress(deployment.ConfigurationFolder+" "+format, arguments...)
		},
	})
	return result, err
}

// faults describes the faults of the scheduler in the deployment and the actions
// that failed.
func (d *DeploymentResult) faults() []string {
	faults := d.Report.Checks.Faults()
	for _, action := range d.Report.Actions {
		if action.Error != "" {
			faults = append(faults, action.Name+": "+action.Error)
		}
	}
	return faults
}

// WriteText writes the reports of all deployments and whether the demo passed. It
// fails if out fails.
func (r *Result) WriteText(out io.Writer) error {
	for i := range r.Deployments {
		d := &r.Deployments[i]
		if _, err := fmt.Fprintf(out, "%s: %d nodes, %d workers\nConfiguration: %s\n", d.Name, d.Nodes, d.Workers, d.Configuration); err != nil {
			return err
		}
		if err := d.Report.WriteText(out); err != nil {
			return err
		}
		if d.StopError != "" {
			fmt.Fprintf(out, "Stopping the cell failed: %s\n", d.StopError)
		}
		fmt.Fprintln(out)
	}
	verdict := "No answer was lost, doubled or wrong."
	if !r.Passed {
		verdict = "FAILED: " + strings.Join(r.Faults, "; ")
	}
	_, err := fmt.Fprintf(out, "%s Took %.1f s.\n", verdict, r.TookMS/1000)
	return err
}
