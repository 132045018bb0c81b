// Package demo shows the scheduler without any set-up: both deployments of
// section 1.6 of the design at today's sizes, at the same time, each as a cell
// inside this process. A deployment gets mixed work, an overload of its
// least urgent kind, the death of one node, the planned stop of another, and an
// overload of its most urgent kind.
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

// startTimeout bounds the start of a cell.
const startTimeout = 15 * time.Second

// Deployment is one cell with its load.
type Deployment struct {
	Name string
	Mix  *load.Mix
	// ConfigurationFolder is the configuration, below Options.Examples.
	ConfigurationFolder string
}

// Options configure a demo.
type Options struct {
	Deployments []Deployment
	// Examples is the folder that holds the configurations; empty applies none.
	Examples string
	// Progress takes lines for a person who waits; nil drops them.
	Progress func(format string, arguments ...any)
	// Log takes the nodes' events; nil discards them.
	Log io.Writer
}

// Result is the outcome of a demo.
type Result struct {
	Passed      bool               `json:"passed"`
	Faults      []string           `json:"faults"`
	TookMS      float64            `json:"took-ms"`
	Deployments []DeploymentResult `json:"deployments"`
}

// DeploymentResult is what one deployment showed.
type DeploymentResult struct {
	Name    string `json:"name"`
	Nodes   int    `json:"nodes"`
	Workers int    `json:"workers"`
	// Configuration says which configuration was in force.
	Configuration string       `json:"configuration"`
	Report        *load.Report `json:"report"`
	// StopError is what the cell reported when it was stopped at the end.
	StopError string `json:"stop-note,omitempty"`
}

// Deployments returns both deployments of the design.
func Deployments() []Deployment {
	return []Deployment{
		{Name: "Ravi Levy Trust Services", Mix: mustReadMix("ravi-levy"), ConfigurationFolder: "ravi-levy"},
		{Name: "Midlands Connected Oven Guild", Mix: mustReadMix("guild"), ConfigurationFolder: "guild"},
	}
}

// mustReadMix reads an embedded mix, which the tests have checked.
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

// Run runs all deployments at the same time. The error is that of the demo
// itself; faults of the scheduler are in the result.
func Run(ctx context.Context, options Options) (*Result, error) {
	if options.Progress == nil {
		options.Progress = func(string, ...any) {}
	}
	began := time.Now()
	result := &Result{Faults: []string{}, Deployments: make([]DeploymentResult, len(options.Deployments))}
	errs := make([]error, len(options.Deployments))
	var group sync.WaitGroup
	for i := range options.Deployments {
		group.Go(func() { result.Deployments[i], errs[i] = runOne(ctx, &options, &options.Deployments[i]) })
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
	result.TookMS = float64(time.Since(began).Milliseconds())
	return result, nil
}

// averageCPUPerStart divides the process's CPU time by the starts of all deployments,
// because the CPU time of one deployment can't be told apart. The windows of
// all mixes are at the same times.
func averageCPUPerStart(deployments []DeploymentResult) {
	for window := range deployments[0].Report.Windows {
		micros, starts := 0.0, 0
		for i := range deployments {
			control := &deployments[i].Report.Windows[window].Control
			micros = max(micros, control.CPUPerStartMicros*float64(control.TaskStarts))
			starts += control.TaskStarts
		}
		for i := range deployments {
			if micros > 0 && starts > 0 {
				deployments[i].Report.Windows[window].Control.CPUPerStartMicros = micros / float64(starts)
			}
		}
	}
	for i := range deployments {
		deployments[i].Report.CostCovers = "of the whole process, which holds all deployments with their nodes, stand-ins, relays and callers, by the starts of all deployments"
	}
}

func runOne(ctx context.Context, options *Options, deployment *Deployment) (result DeploymentResult, err error) {
	cellOptions := load.CellOptions(deployment.Mix)
	cellOptions.Log = options.Log
	result = DeploymentResult{Name: deployment.Name, Nodes: len(cellOptions.Nodes), Workers: len(cellOptions.Workers)}
	c, err := cell.Start(ctx, cellOptions)
	if err != nil {
		return result, err
	}
	defer func() {
		// A cell that ends with open requests says so; the measures stay valid.
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

// faults returns what the scheduler did wrong in the deployment.
func (d *DeploymentResult) faults() []string {
	faults := d.Report.Checks.Faults()
	for _, action := range d.Report.Actions {
		if action.Error != "" {
			faults = append(faults, action.Name+": "+action.Error)
		}
	}
	return faults
}

// WriteText writes the measures of all deployments and the verdict.
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
			fmt.Fprintf(out, "At its end the cell reported: %s\n", d.StopError)
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
