// Package processcell runs a cell of separate processes on loopback for fault
// tests: stand-ins of the log, the VM list and the workers, and nodes that can
// be killed, frozen, drained and started again.
//
// # Usage
//
//	c, err := processcell.Start(ctx, processcell.Options{Binary: path, Folder: t.TempDir(), Nodes: 3, Workers: 6})
//	defer c.Stop()
//	client, err := c.Client()
//	err = c.Nodes[0].Kill()
//	err = c.StartNode(0)
//	states, err := c.WorkerStates(ctx)
package processcell

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"yuccalanding.example/yuccalanding/internal/loopback"
	"yuccalanding.example/yuccalanding/internal/vmlist"
	"yuccalanding.example/yuccalanding/internal/worker"
	"yuccalanding.example/yuccalanding/pkg/caller"
)

// clusterSecret is the secret of every cell; a cell lives on loopback only.
const clusterSecret = "the secret of a cell of processes on loopback"

// callTimeout bounds the calls to stand-ins and operators' addresses.
const callTimeout = 5 * time.Second

// Options describe a cell.
type Options struct {
	// Binary is the program.
	Binary string
	// Folder takes settings and logs.
	Folder  string
	Nodes   int
	Workers int
	// TaskLease is the workers' and the nodes' task lease; 0 is the default.
	TaskLease time.Duration
}

// Process is one process of the cell.
type Process struct {
	Name      string
	arguments []string
	binary    string
	log       *os.File
	command   *exec.Cmd
	ended     chan error
}

// Cell is a running cell.
type Cell struct {
	Nodes   []*Process
	Workers []*Process
	LogAt   netip.AddrPort
	VMsAt   netip.AddrPort

	options   Options
	log       *Process
	vms       *Process
	callers   []netip.AddrPort
	operators []netip.AddrPort
	peers     []netip.AddrPort
	workersAt []netip.AddrPort
	http      *http.Client
}

// Start starts every process of a cell.
func Start(ctx context.Context, options Options) (*Cell, error) {
	c := &Cell{options: options, http: &http.Client{Timeout: callTimeout}}
	c.assignAddresses()
	if err := c.startPlatform(); err != nil {
		c.Stop()
		return nil, err
	}
	for i := range options.Nodes {
		settings := filepath.Join(options.Folder, nodeName(i)+".ini")
		if err := os.WriteFile(settings, []byte(c.settings(i)), 0o600); err != nil {
			return nil, err
		}
		node, err := c.newProcess(nodeName(i), "node", settings)
		if err != nil {
			return nil, err
		}
		c.Nodes = append(c.Nodes, node)
		if err := node.Start(); err != nil {
			return nil, err
		}
	}
	return c, c.AwaitReady(ctx)
}

func nodeName(i int) string { return fmt.Sprintf("entry-%d", i+1) }

// firstPort is the first of a cell's ports. A cell has a loopback address to
// itself, so that they are free when its processes listen.
const firstPort = 7001

// assignAddresses gives each process its ports.
func (c *Cell) assignAddresses() {
	next := netip.AddrPortFrom(loopback.New(), firstPort)
	take := func() netip.AddrPort {
		taken := next
		next = netip.AddrPortFrom(taken.Addr(), taken.Port()+1)
		return taken
	}
	c.LogAt, c.VMsAt = take(), take()
	for range c.options.Workers {
		c.workersAt = append(c.workersAt, take())
	}
	for range c.options.Nodes {
		c.callers, c.operators, c.peers = append(c.callers, take()), append(c.operators, take()), append(c.peers, take())
	}
}

func (c *Cell) startPlatform() error {
	var err error
	if c.log, err = c.newProcess("log", "standin", "log", "--listen", c.LogAt.String()); err != nil {
		return err
	}
	var listed []vmlist.VM
	for i, address := range c.workersAt {
		name, rack := fmt.Sprintf("worker-%02d", i+1), fmt.Sprintf("rack-%d", i/5+1)
		arguments := []string{
			"standin", "worker", "--listen", address.String(), "--name", name, "--region", "punjab", "--failure-domain", "lahore", "--rack", rack,
		}
		if c.options.TaskLease > 0 {
			arguments = append(arguments, "--task-lease", c.options.TaskLease.String())
		}
		process, err := c.newProcess(name, arguments...)
		if err != nil {
			return err
		}
		c.Workers = append(c.Workers, process)
		listed = append(listed, vmlist.VM{Name: name, Address: address, Region: "punjab", FailureDomain: "lahore", Rack: rack})
	}
	list := filepath.Join(c.options.Folder, "vms.json")
	content, err := json.Marshal(listed)
	if err != nil {
		return err
	}
	if err := os.WriteFile(list, content, 0o600); err != nil {
		return err
	}
	if c.vms, err = c.newProcess("vm-list", "standin", "vm-list", "--listen", c.VMsAt.String(), "--vms", list); err != nil {
		return err
	}
	for _, process := range append([]*Process{c.log, c.vms}, c.Workers...) {
		if err := process.Start(); err != nil {
			return err
		}
	}
	return nil
}

// settings returns the settings file of a node.
func (c *Cell) settings(i int) string {
	var text strings.Builder
	fmt.Fprintf(&text, "[node]\nname = %s\nregion = punjab\nfailure-domain = lahore\n", nodeName(i))
	fmt.Fprintf(&text, "[addresses]\ncallers = %s\noperators = %s\npeers = %s\n", c.callers[i], c.operators[i], c.peers[i])
	fmt.Fprintf(&text, "[cluster]\nsecret = %s\n[platform]\nlog = %s\nvm-list = %s\n", clusterSecret, c.LogAt, c.VMsAt)
	if c.options.TaskLease > 0 {
		fmt.Fprintf(&text, "[timing]\ntask-lease = %s\n", c.options.TaskLease)
	}
	for j := range c.options.Nodes {
		fmt.Fprintf(&text, "[member %s]\npeers = %s\ncallers = %s\nregion = punjab\nfailure-domain = lahore\n", nodeName(j), c.peers[j], c.callers[j])
	}
	return text.String()
}

func (c *Cell) newProcess(name string, arguments ...string) (*Process, error) {
	log, err := os.Create(filepath.Join(c.options.Folder, name+".log"))
	if err != nil {
		return nil, err
	}
	return &Process{Name: name, arguments: arguments, binary: c.options.Binary, log: log}, nil
}

// Start starts a process that is not running.
func (p *Process) Start() error {
	p.command = exec.Command(p.binary, p.arguments...)
	p.command.Stderr, p.command.Stdout = p.log, p.log
	if err := p.command.Start(); err != nil {
		return err
	}
	command, ended := p.command, make(chan error, 1)
	p.ended = ended
	go func() { ended <- command.Wait() }()
	return nil
}

func (p *Process) signal(signal syscall.Signal) error {
	if p.command == nil || p.command.Process == nil {
		return nil
	}
	return p.command.Process.Signal(signal)
}

// Kill ends a process at once and waits for its end.
func (p *Process) Kill() error {
	if p.ended == nil {
		return nil
	}
	err := p.signal(syscall.SIGKILL)
	<-p.ended
	p.ended = nil
	return err
}

// Freeze stops a process without its notice; Thaw lets it go on.
func (p *Process) Freeze() error { return p.signal(syscall.SIGSTOP) }

// Thaw lets a frozen process go on.
func (p *Process) Thaw() error { return p.signal(syscall.SIGCONT) }

// Drain asks a node for a planned stop and waits for its end.
func (p *Process) Drain(bound time.Duration) error {
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case err := <-p.ended:
		p.ended = nil
		return err
	case <-time.After(bound):
		return fmt.Errorf("%s did not end within %s", p.Name, bound)
	}
}

func (c *Cell) processes() []*Process {
	return append(append([]*Process{c.log, c.vms}, c.Workers...), c.Nodes...)
}

// Stop ends every process.
func (c *Cell) Stop() {
	for _, process := range c.processes() {
		if process != nil {
			_ = process.Thaw()
			_ = process.Kill()
			_ = process.log.Close()
		}
	}
}

// Client returns a client that knows the given nodes, or all if none is given.
func (c *Cell) Client(nodes ...int) (*caller.Client, error) {
	addresses := c.callers
	if len(nodes) > 0 {
		addresses = nil
		for _, i := range nodes {
			addresses = append(addresses, c.callers[i])
		}
	}
	return caller.New(caller.Options{Addresses: addresses, Budget: 1000})
}

// Fault sets a fault of a stand-in.
func (c *Cell) Fault(ctx context.Context, at netip.AddrPort, fault any) error {
	body, err := json.Marshal(fault)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+at.String()+"/fault", bytes.NewReader(body))
	if err != nil {
		return err
	}
	answer, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("fault refused with status %d", answer.StatusCode)
	}
	return nil
}

// WorkerAddress returns where a worker listens.
func (c *Cell) WorkerAddress(i int) netip.AddrPort { return c.workersAt[i] }

// WorkerStates returns what each worker saw.
func (c *Cell) WorkerStates(ctx context.Context) ([]worker.State, error) {
	var states []worker.State
	for _, address := range c.workersAt {
		client := worker.New(worker.Options{Address: address, Timeout: callTimeout})
		state, err := client.State(ctx)
		client.Close()
		if err != nil {
			return nil, fmt.Errorf("worker at %s: %w", address, err)
		}
		states = append(states, state)
	}
	return states, nil
}

// ownership is the part of a dump that AwaitReady reads.
type ownership struct {
	Owned struct {
		Workers int `json:"workers"`
	} `json:"owned"`
}

// Owned returns how many workers a node owns; an error if it does not answer.
func (c *Cell) Owned(ctx context.Context, i int) (int, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.operators[i].String()+"/dump", nil)
	if err != nil {
		return 0, err
	}
	answer, err := c.http.Do(request)
	if err != nil {
		return 0, err
	}
	defer answer.Body.Close()
	var dump ownership
	err = json.NewDecoder(answer.Body).Decode(&dump)
	return dump.Owned.Workers, err
}

// ended returns an error if a process ended by itself.
func (c *Cell) ended() error {
	for _, process := range c.processes() {
		if process == nil || process.ended == nil {
			continue
		}
		select {
		case err := <-process.ended:
			process.ended <- err
			return fmt.Errorf("%s ended by itself: %w; see its log in %s", process.Name, cmp.Or(err, errNoFailure), c.options.Folder)
		default:
		}
	}
	return nil
}

// errNoFailure stands for the exit status 0.
var errNoFailure = errors.New("without a failure")

// AwaitReady waits until every worker has an owner. A process that ends by
// itself is an error at once.
func (c *Cell) AwaitReady(ctx context.Context) error {
	for {
		owned := 0
		for i := range c.Nodes {
			if count, err := c.Owned(ctx, i); err == nil {
				owned += count
			}
		}
		if owned >= len(c.Workers) {
			return nil
		}
		if err := c.ended(); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d of %d workers have an owner: %w; see the logs in %s", owned, len(c.Workers), ctx.Err(), c.options.Folder)
		case <-time.After(50 * time.Millisecond):
		}
	}
}
