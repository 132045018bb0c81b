package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"runtime/pprof"
	"strings"

	"yuccalanding.example/yuccalanding/internal/cell"
	"yuccalanding.example/yuccalanding/internal/command"
	"yuccalanding.example/yuccalanding/internal/load"
	"yuccalanding.example/yuccalanding/internal/settings"
)

var loadVerb = command.Verb{
	Name:    "load",
	Usage:   "Generate load from a mix file for a running cluster, or for a cell in this process, and measure it.",
	Example: command.Program + " load examples/load/mixed.ini --html report.html",
	New: func() (any, command.Run) {
		flags := &loadFlags{}
		return flags, flags.run
	},
}

type loadFlags struct {
	Mix       string    `arg:"" optional:"" help:"Mix file."`
	Node      []address `help:"Callers' addresses of a running cluster; without them, a cell is started in this process." placeholder:"IP:PORT"`
	VMList    address   `name:"vm-list" help:"Address of the running cluster's VM list, to read the records of its stand-in workers." placeholder:"IP:PORT"`
	TokenFile string    `help:"File that holds the callers' token." placeholder:"FILE"`
	JSON      bool      `name:"json" help:"Write the report as JSON."`
	Out       string    `help:"Also write the report as JSON to a file." placeholder:"FILE"`
	HTML      string    `name:"html" help:"Also write the report with plots as one HTML file." placeholder:"FILE"`
	PNG       string    `name:"png" help:"Also write the plots as PNG files into a folder." placeholder:"FOLDER"`
	Compare   []string  `help:"Compare two JSON reports, the older and the newer, instead of a run." placeholder:"FILE" sep:"none"`
	Check     bool      `help:"Only check the mix file."`
	Dump      string    `help:"Write the states of a cell's nodes at the end of the run into a folder." placeholder:"FOLDER"`
	Profile   string    `name:"cpu-profile" help:"Write a CPU profile of this process during the run." placeholder:"FILE"`
	Log       string    `help:"Write the events of a cell's nodes to a file." placeholder:"FILE"`
}

func (f *loadFlags) run(ctx context.Context, environment *command.Environment) error {
	if len(f.Compare) > 0 {
		return f.compare(environment)
	}
	if f.Mix == "" {
		return &command.UsageError{Message: "name a mix file such as examples/load/mixed.ini, or two reports with --compare OLDER --compare NEWER"}
	}
	mix, err := load.ReadFile(f.Mix)
	var findings settings.Findings
	if errors.As(err, &findings) {
		return fmt.Errorf("the mix file has %d error(s)\n%w", len(findings), err)
	}
	if err != nil || f.Check {
		return err
	}
	stopProfile, err := startProfile(f.Profile)
	if err != nil {
		return err
	}
	report, err := f.runLoad(ctx, environment, mix)
	stopProfile()
	if err != nil {
		return err
	}
	if err := f.writeReport(environment.Out, report); err != nil {
		return err
	}
	if faults := report.Checks.Faults(); len(faults) > 0 {
		return errors.New(strings.Join(faults, "; "))
	}
	return nil
}

// startProfile writes a CPU profile to the named file until stop is called. It
// does nothing if name is empty.
func startProfile(name string) (stop func(), err error) {
	if name == "" {
		return func() {}, nil
	}
	file, err := os.Create(name)
	if err != nil {
		return nil, err
	}
	if err := pprof.StartCPUProfile(file); err != nil {
		return nil, errors.Join(err, file.Close())
	}
	return func() { pprof.StopCPUProfile(); _ = file.Close() }, nil
}

// compare writes the comparison of two reports.
func (f *loadFlags) compare(environment *command.Environment) error {
	files := f.Compare
	// In "--compare OLDER NEWER", NEWER is parsed as the mix file.
	if f.Mix != "" {
		files = append(files, f.Mix)
	}
	if len(files) != 2 {
		return &command.UsageError{Message: "--compare needs two reports: the older and the newer"}
	}
	older, err := load.ReadReport(files[0])
	if err != nil {
		return err
	}
	newer, err := load.ReadReport(files[1])
	if err != nil {
		return err
	}
	comparison := load.Compare(older, newer)
	if f.JSON {
		return writeJSON(environment.Out, comparison)
	}
	return comparison.WriteText(environment.Out)
}

// runLoad runs the mix against the cluster at the addresses of --node, or
// against a cell in this process if there are none.
func (f *loadFlags) runLoad(ctx context.Context, environment *command.Environment, mix *load.Mix) (*load.Report, error) {
	options := load.Options{Mix: mix, Progress: environment.Progress}
	if len(f.Node) > 0 {
		var nodes []netip.AddrPort
		for _, node := range f.Node {
			nodes = append(nodes, node.AddrPort)
		}
		token, err := readToken(f.TokenFile)
		if err != nil {
			return nil, err
		}
		if options.Target, err = load.RemoteTarget(mix, nodes, f.VMList.AddrPort, token); err != nil {
			return nil, err
		}
		return load.Run(ctx, options)
	}
	return f.runLoadInCell(ctx, environment, options)
}

// readToken returns the token in a file, or "" if no file is named.
func readToken(file string) (string, error) {
	if file == "" {
		return "", nil
	}
	content, err := os.ReadFile(file)
	return strings.TrimSpace(string(content)), err
}

// runLoadInCell starts a cell in this process, runs the mix against it and stops
// it. The error includes those of stopping the cell and of writing the dumps.
func (f *loadFlags) runLoadInCell(ctx context.Context, environment *command.Environment, options load.Options) (report *load.Report, err error) {
	cellOptions := load.CellOptions(options.Mix)
	if f.Log != "" {
		file, err := os.Create(f.Log)
		if err != nil {
			return nil, err
		}
		defer file.Close()
		cellOptions.Log = file
	}
	environment.Progress("Starting %d nodes and %d workers.", len(cellOptions.Nodes), len(cellOptions.Workers))
	c, err := cell.Start(ctx, cellOptions)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, c.Stop()) }()
	if err := c.AwaitReady(ctx); err != nil {
		return nil, err
	}
	if options.Target, err = load.CellTarget(options.Mix, c); err != nil {
		return nil, err
	}
	if options.Actions, err = load.CellActions(options.Mix, c); err != nil {
		return nil, err
	}
	report, err = load.Run(ctx, options)
	return report, errors.Join(err, f.dumpNodes(ctx, c))
}

// dumpNodes writes the state of each running node of a cell into the folder of
// --dump.
func (f *loadFlags) dumpNodes(ctx context.Context, c *cell.Cell) error {
	if f.Dump == "" {
		return nil
	}
	for i, n := range c.Nodes {
		if !c.Running(i) {
			continue
		}
		state, err := c.Dump(ctx, i)
		if err != nil {
			return err
		}
		write := func(out io.Writer) error { return writeJSON(out, state) }
		if err := writeFile(filepath.Join(f.Dump, n.Spec.Name+".json"), write); err != nil {
			return err
		}
	}
	return nil
}

// writeReport writes the report to out and to the files that the flags name.
func (f *loadFlags) writeReport(out io.Writer, report *load.Report) error {
	writeReport := report.WriteText
	if f.JSON {
		writeReport = report.WriteJSON
	}
	if err := writeReport(out); err != nil {
		return err
	}
	if f.PNG != "" {
		if err := report.WritePNG(f.PNG); err != nil {
			return err
		}
	}
	return errors.Join(writeFile(f.Out, report.WriteJSON), writeFile(f.HTML, report.WriteHTML))
}

// writeFile creates a file and writes it with write. It does nothing if name is
// empty.
func writeFile(name string, write func(io.Writer) error) error {
	if name == "" {
		return nil
	}
	file, err := os.Create(name)
	if err != nil {
		return err
	}
	return errors.Join(write(file), file.Close())
}
