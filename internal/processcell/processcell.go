// Package processcell runs a cell as separate processes on a loopback address,
// for fault tests: stand-ins for the log, the VM list and the workers, and nodes
// that can be killed, paused, drained and restarted.
//
// # Usage
//
//	c, err := processcell.Start(ctx, processcell.Options{Binary: path, Folder: t.TempDir(), Nodes: 3, Workers: 6})
//	defer c.Stop()
//	client, err := c.Client()
//	err = c.Nodes[0].Kill()
//	err = c.Nodes[0].Start()
//	states, err := c.WorkerStates(ctx)
//
// Traffic sends requests to the cell and records their outcomes; Violations
// checks the outcomes against the states of the workers.
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

// clusterSecret is the cluster secret of every cell. It need not be random,
// because a cell listens on loopback only.
const clusterSecret = "the secret of a cell of processes on loopback"

// callTimeout limits each call to a stand-in or to a node's operator address.
const callTimeout = 5 * time.Second

// Options configure a cell.
type Options struct {
	// Binary is the path of the yuccalanding binary.
	Binary string
	// Folder is an existing folder for settings files and logs.
	Folder string
	// Nodes and Workers are the numbers of processes.
	Nodes   int
	Workers int
	// TaskLease is the task lease of workers and nodes; 0 means their default.
	TaskLease time.Duration
}

// Process is one process of a cell.
type Process struct {
	Name      string
	arguments []string
	binary    string
	log       *os.File
	command   *exec.Cmd
	// exited receives the result of waiting for the process. It is nil if the
	// process is not running.
	exited chan error
}

// Cell is a set of running processes. It is not safe for concurrent use.
type Cell struct {
	Nodes         []*Process
	Workers       []*Process
	LogAddress    netip.AddrPort
	VMListAddress netip.AddrPort

	options           Options
	log               *Process
	vmList            *Process
	callerAddresses   []netip.AddrPort
	operatorAddresses []netip.AddrPort
	peerAddresses     []netip.AddrPort
	workerAddresses   []netip.AddrPort
	http              *http.Client
}

// Start starts all processes of a cell and waits until it is ready, as AwaitReady
// does. If the cell doesn't become ready, Start returns both the cell and an error,
// and the caller must stop the cell. If a process can't be started, Start returns
// only an error. After the failed start of a node, the processes started before it
// keep running; after that of a stand-in, they are killed.
func Start(ctx context.Context, options Options) (*Cell, error) {
	c := &Cell{options: options, http: &http.Client{Timeout: callTimeout}}
	c.assignAddresses()
	if err := c.startStandIns(); err != nil {
		c.Stop()
		return nil, err
	}
	for i := range options.Nodes {
		settingsPath := filepath.Join(options.Folder, nodeName(i)+".ini")
		if err := os.WriteFile(settingsPath, []byte(c.settings(i)), 0o600); err != nil {
			return nil, err
		}
		node, err := c.newProcess(nodeName(i), "node", settingsPath)
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

// firstPort is the first of a cell's consecutive ports. They are free because
// each cell has its own loopback address.
const firstPort = 7001

// assignAddresses assigns the addresses on which the processes listen.
func (c *Cell) assignAddresses() {
	next := netip.AddrPortFrom(loopback.New(), firstPort)
	nextAddress := func() netip.AddrPort {
		address := next
		next = netip.AddrPortFrom(address.Addr(), address.Port()+1)
		return address
	}
	c.LogAddress, c.VMListAddress = nextAddress(), nextAddress()
	for range c.options.Workers {
		c.workerAddresses = append(c.workerAddresses, nextAddress())
	}
	for range c.options.Nodes {
		c.callerAddresses, c.operatorAddresses, c.peerAddresses = append(c.callerAddresses, nextAddress()), append(c.operatorAddresses, nextAddress()), append(c.peerAddresses, nextAddress())
	}
}

// startStandIns writes the VM list, with five workers in a rack, and starts the
// stand-ins.
func (c *Cell) startStandIns() error {
	var err error
	if c.log, err = c.newProcess("log", "standin", "log", "--listen", c.LogAddress.String()); err != nil {
		return err
	}
	var vms []vmlist.VM
	for i, address := range c.workerAddresses {
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
		vms = append(vms, vmlist.VM{Name: name, Address: address, Region: "punjab", FailureDomain: "lahore", Rack: rack})
	}
	listPath := filepath.Join(c.options.Folder, "vms.json")
	content, err := json.Marshal(vms)
	if err != nil {
		return err
	}
	if err := os.WriteFile(listPath, content, 0o600); err != nil {
		return err
	}
	if c.vmList, err = c.newProcess("vm-list", "standin", "vm-list", "--listen", c.VMListAddress.String(), "--vms", listPath); err != nil {
		return err
	}
	for _, process := range append([]*Process{c.log, c.vmList}, c.Workers...) {
		if err := process.Start(); err != nil {
			return err
		}
	}
	return nil
}

// settings returns the text of a node's settings file.
func (c *Cell) settings(i int) string {
	var text strings.Builder
	fmt.Fprintf(&text, "[node]\nname = %s\nregion = punjab\nfailure-domain = lahore\n", nodeName(i))
	fmt.Fprintf(&text, "[addresses]\ncallers = %s\noperators = %s\npeers = %s\n", c.callerAddresses[i], c.operatorAddresses[i], c.peerAddresses[i])
	fmt.Fprintf(&text, "[cluster]\nsecret = %s\n[platform]\nlog = %s\nvm-list = %s\n", clusterSecret, c.LogAddress, c.VMListAddress)
	if c.options.TaskLease > 0 {
		fmt.Fprintf(&text, "[timing]\ntask-lease = %s\n", c.options.TaskLease)
	}
	for j := range c.options.Nodes {
		fmt.Fprintf(&text, "[member %s]\npeers = %s\ncallers = %s\nregion = punjab\nfailure-domain = lahore\n", nodeName(j), c.peerAddresses[j], c.callerAddresses[j])
	}
	return text.String()
}

// newProcess returns a process that is not started yet. It fails if the process's
// log file can't be created.
func (c *Cell) newProcess(name string, arguments ...string) (*Process, error) {
	log, err := os.Create(filepath.Join(c.options.Folder, name+".log"))
	if err != nil {
		return nil, err
	}
	return &Process{Name: name, arguments: arguments, binary: c.options.Binary, log: log}, nil
}

// Start starts the process, which must not be running. It returns an error if
// the process can't be started.
func (p *Process) Start() error {
	p.command = exec.Command(p.binary, p.arguments...)
	p.command.Stderr, p.command.Stdout = p.log, p.log
	if err := p.command.Start(); err != nil {
		return err
	}
	command, exited := p.command, make(chan error, 1)
	p.exited = exited
	go func() { exited <- command.Wait() }()
	return nil
}

func (p *Process) signal(signal syscall.Signal) error {
	if p.command == nil || p.command.Process == nil {
		return nil
	}
	return p.command.Process.Signal(signal)
}

// Kill sends SIGKILL and waits until the process has exited. It does nothing if
// the process is not running.
func (p *Process) Kill() error {
	if p.exited == nil {
		return nil
	}
	err := p.signal(syscall.SIGKILL)
	<-p.exited
	p.exited = nil
	return err
}

// Pause suspends the process with SIGSTOP, which a process can't catch or ignore.
func (p *Process) Pause() error { return p.signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (p *Process) Resume() error { return p.signal(syscall.SIGCONT) }

// Drain sends SIGTERM, on which a node drains, and waits until it has exited. It
// returns an error if the node exits with a failure or not within the timeout.
func (p *Process) Drain(timeout time.Duration) error {
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case err := <-p.exited:
		p.exited = nil
		return err
	case <-time.After(timeout):
		return fmt.Errorf("%s did not exit within %s after SIGTERM", p.Name, timeout)
	}
}

// processes returns all processes. Some are nil if Start failed.
func (c *Cell) processes() []*Process {
	return append(append([]*Process{c.log, c.vmList}, c.Workers...), c.Nodes...)
}

// Stop kills all processes and closes their logs.
func (c *Cell) Stop() {
	for _, process := range c.processes() {
		if process != nil {
			_ = process.Resume()
			_ = process.Kill()
			_ = process.log.Close()
		}
	}
}

// Client returns a client that uses the nodes with the given indexes, or all
// nodes if none is given. Its retry budget is 1000 retries, larger than the
// default, so that a fault that many requests hit doesn't use it up.
func (c *Cell) Client(nodes ...int) (*caller.Client, error) {
	addresses := c.callerAddresses
	if len(nodes) > 0 {
		addresses = nil
		for _, i := range nodes {
			addresses = append(addresses, c.callerAddresses[i])
		}
	}
	return caller.New(caller.Options{Addresses: addresses, Budget: 1000})
}

// SetFault replaces the fault of the stand-in at an address. It returns an error if
// the stand-in does not respond or refuses the fault.
func (c *Cell) SetFault(ctx context.Context, address netip.AddrPort, fault any) error {
	body, err := json.Marshal(fault)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+"/fault", bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("the stand-in refused the fault with status %d", response.StatusCode)
	}
	return nil
}

// WorkerAddress returns the address on which the worker with the given index
// listens.
func (c *Cell) WorkerAddress(i int) netip.AddrPort { return c.workerAddresses[i] }

// WorkerStates returns the state of each worker. It returns an error if a worker
// does not respond.
func (c *Cell) WorkerStates(ctx context.Context) ([]worker.State, error) {
	var states []worker.State
	for _, address := range c.workerAddresses {
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

// nodeDump is the part of a node's dump that OwnedWorkers reads.
type nodeDump struct {
	Owned struct {
		Workers int `json:"workers"`
	} `json:"owned"`
}

// OwnedWorkers returns the number of workers that the node with the given index
// owns. It returns an error if the node does not respond.
func (c *Cell) OwnedWorkers(ctx context.Context, i int) (int, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.operatorAddresses[i].String()+"/dump", nil)
	if err != nil {
		return 0, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	var dump nodeDump
	err = json.NewDecoder(response.Body).Decode(&dump)
	return dump.Owned.Workers, err
}

// exitError returns an error if a process exited unexpectedly.
func (c *Cell) exitError() error {
	for _, process := range c.processes() {
		if process == nil || process.exited == nil {
			continue
		}
		select {
		case err := <-process.exited:
			process.exited <- err // for Kill and Drain
			return fmt.Errorf("%s exited unexpectedly: %w; see its log in %s", process.Name, cmp.Or(err, errExitStatusZero), c.options.Folder)
		default:
		}
	}
	return nil
}

// errExitStatusZero is the cause in the error on a process that exited without
// failure, for which exec.Cmd.Wait returns nil.
var errExitStatusZero = errors.New("exit status 0")

// AwaitReady waits until every worker has an owner. It returns an error when ctx
// is done, or as soon as a process exits unexpectedly.
func (c *Cell) AwaitReady(ctx context.Context) error {
	for {
		owned := 0
		for i := range c.Nodes {
			if count, err := c.OwnedWorkers(ctx, i); err == nil {
				owned += count
			}
		}
		if owned >= len(c.Workers) {
			return nil
		}
		if err := c.exitError(); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d of %d workers have an owner: %w; see the logs in %s", owned, len(c.Workers), ctx.Err(), c.options.Folder)
		case <-time.After(50 * time.Millisecond):
		}
	}
}
