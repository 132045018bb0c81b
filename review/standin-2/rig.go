package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"yuccalanding.example/yuccalanding/internal/loopback"
	"yuccalanding.example/yuccalanding/platform/standin"
)

const (
	serviceName = "ledger"
	hostName    = "review.example"
	prefix      = "/jobs/"
	nodeCount   = 3
	// storeTime is how long the store takes for an answer, as the sheets say.
	storeTime = 4 * time.Millisecond
	// clientTimeout is the time budget of a client.
	clientTimeout = 3 * time.Second
)

// rig is a small deployment: entry processes, the platform's store and workers.
type rig struct {
	began   time.Time
	file    *os.File
	folder  string
	store   *standin.Store
	storeAt string
	// storeFactor is how many times as long as storeTime the store takes for an answer.
	storeFactor atomic.Int64
	nodes       []*node
	client      *http.Client

	logMu sync.Mutex
	mu    sync.Mutex // guards the workers
	// unsteady means that lasting tasks fail now and then.
	unsteady bool
	workers  []*worker
	gangs    map[runKey]*gang // by step and run
	records  []*runRecord
}

// runRecord is what a worker has seen of a run.
type runRecord struct {
	key       runKey
	worker    string
	startedAt time.Time
	endedAt   time.Time
	how       string
}

// allNodes are the entry processes of the case, which end with it.
var allNodes []*node

// node is one entry process.
type node struct {
	rig      *rig
	name     string
	ip       netip.Addr
	settings string
	command  *exec.Cmd
	exited   chan struct{}
}

// newRig starts the store and a deployment's workers, all of the same kind.
func newRig(folder string, workerCount int, k kind, maxAttempts int) (*rig, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	temporary, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	r := &rig{began: time.Now(), file: file, folder: temporary, gangs: map[runKey]*gang{}, client: &http.Client{Timeout: clientTimeout}}
	r.storeFactor.Store(1)
	r.store = standin.New().Store
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r.storeAt = listener.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(r.serveStore)}
	go func() { _ = server.Serve(listener) }() // ends with the process
	r.store.Put("keyed.op", "config", encode(map[string]any{
		"version": 1, "services": []any{map[string]any{"name": serviceName, "enforces-capacity": false}}, "limits": map[string]any{"max-body-bytes": 65536},
		"routes": []any{map[string]any{
			"name": "r-jobs", "host": hostName, "path-prefix": prefix, "kind": "unsafe", "timeout-ms": 3000, "target-duration-ms": 3000,
			"priority": 1, "service": serviceName, "max-attempts": maxAttempts, "stretch": 20.0,
		}},
	}))
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range workerCount {
		w := &worker{rig: r, id: fmt.Sprintf("i-%04d", i), address: "127.0.0.1:0", rack: fmt.Sprintf("r1-%d", i/3)}
		if err := w.start(k); err != nil {
			return nil, err
		}
		r.workers = append(r.workers, w)
	}
	go r.beatAll()
	return r, nil
}

// serveStore answers the calls of the entry processes after the time that the store takes.
func (r *rig) serveStore(response http.ResponseWriter, request *http.Request) {
	time.Sleep(storeTime * time.Duration(r.storeFactor.Load()))
	r.store.ServeHTTP(response, request)
}

func (r *rig) putServer(id string, entry map[string]any) {
	r.store.Put("keyed.servers", id, encode(entry))
}

func encode(value any) string {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err) // the maps hold only values that can be encoded
	}
	return string(text)
}

// log writes a line to the record.
func (r *rig) log(format string, values ...any) {
	r.logMu.Lock()
	defer r.logMu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...)) // read by people only
}

// recordStart records a start on a worker. The caller holds mu.
func (r *rig) recordStart(started *run, checkpoint string) *runRecord {
	record := &runRecord{key: started.key, worker: started.worker.id, startedAt: started.startedAt}
	r.records = append(r.records, record)
	r.log("worker %s starts %s run %d, checkpoint %q", record.worker, record.key.task, record.key.run, checkpoint)
	return record
}

// runsOf returns copies of the records of the runs of a job, in order of their starts.
func (r *rig) runsOf(job string) []runRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []runRecord
	for _, record := range r.records {
		if strings.HasPrefix(record.key.task, job+".") {
			found = append(found, *record)
		}
	}
	return found
}

// startNodes starts the entry processes with the command of the deploy file, and waits until
// all of them are ready.
func (r *rig) startNodes() error {
	for i := range nodeCount {
		n := &node{rig: r, name: fmt.Sprintf("front-zone-a-%d", i+1), ip: loopback.New()}
		n.settings = filepath.Join(r.folder, n.name+".json")
		r.nodes = append(r.nodes, n)
		allNodes = append(allNodes, n)
	}
	for _, n := range r.nodes {
		if err := os.WriteFile(n.settings, []byte(n.settingsText(true)), 0o600); err != nil {
			return err
		}
		if err := n.start(); err != nil {
			return err
		}
	}
	for _, n := range r.nodes {
		if err := n.awaitReady(30 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

func (n *node) settingsText(bootstrap bool) string {
	address := func(port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }
	var seeds []string
	for _, other := range n.rig.nodes {
		seeds = append(seeds, fmt.Sprintf("%s:8144", other.ip))
	}
	return encode(map[string]any{
		"node": n.name, "role": "entry", "machine-class": "front", "serves": []string{"front"}, "ip": n.ip, "zone": "zone-a", "region": "region-a",
		"zones":  map[string]string{"zone-a": "region-a"},
		"listen": map[string]string{"front": address(8149), "ready": address(8141), "control": address(8144)}, "internal-ports": []int{7380, 7395},
		"seeds": seeds, "bootstrap": bootstrap, "in-tolerance": false,
		"limits":   map[string]any{"cpu-share": 0.4, "cores": 1, "memory-mb": 284, "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 0},
		"data-dir": nil, "discovery": "platform", "entry": "vip", "heartbeat-ms": heartbeatInterval.Milliseconds(),
		"contracts": []string{"base", "drain", "config", "cost", "recover", "sched", "platform"},
		"tolerate":  map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 4000, "ack-ms": 5000, "catch-up-s": 4, "drain-ms": 3000, "grace-s": 6, "loss-slack-ms": 200,
			"config-apply-ms": 3000, "rollback-slack-ms": 250, "max-stretch-ms": 6000, "recovery-s": 12, "max-hold-ms": maxLease.Milliseconds(), "stop-ms": 900,
			"gang-wait-ms": gangWait.Milliseconds(), "cancel_ms": cancelBound.Milliseconds(), "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120,
			"far-factor": 2, "checkpoint-s": checkpointInterval.Seconds(), "restore-ms": restoreTime.Milliseconds(), "notice-ms": 5500, "move-s": 1.5,
			"upkeep-s": 2, "require-fencing": false, "lease-ms": 3000, "thaw-slack-ms": 300, "pace-ms": 100, "harm-ms": 4000,
		},
		"orders": "call",
		"platform": map[string]any{
			"address": n.rig.storeAt, "form": "log", "writes-per-s": 800, "reads-per-s": 2000, "parts": standin.Partitions, "append-ms": 2.0, "part-mb-s": 20.0,
			"read-mb-s": 80.0, "record-bytes": 262144, "call-bytes": 2097152, "keep_s": 300, "part-mb": 200, "min-ttl-ms": 1000,
		},
	})
}

// start starts the process.
func (n *node) start() error {
	output, err := os.OpenFile(filepath.Join(n.rig.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	n.command = exec.Command("target/yuccalanding-entry")
	n.command.Env = append(os.Environ(), "YUCCALANDING_NODE_FILE="+n.settings)
	n.command.Stdout, n.command.Stderr = output, output
	if err := n.command.Start(); err != nil {
		return err
	}
	n.rig.log("process %s started", n.name)
	n.exited = make(chan struct{})
	go func(command *exec.Cmd, exited chan struct{}) { _ = command.Wait(); close(exited) }(n.command, n.exited)
	return nil
}

// kill ends the process with SIGKILL.
func (n *node) kill() {
	if n.command == nil || n.exited == nil {
		return
	}
	_ = n.command.Process.Signal(syscall.SIGKILL)
	<-n.exited
	n.rig.log("process %s killed", n.name)
}

func (n *node) awaitReady(limit time.Duration) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := n.rig.client.Get(fmt.Sprintf("http://%s:8141/yuccalanding/ready", n.ip))
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s isn't ready", n.name)
}

// close ends all processes and removes the temporary folder.
func (r *rig) close() {
	for _, n := range r.nodes {
		n.kill()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, n := range r.nodes {
			content, _ := os.ReadFile(filepath.Join(r.folder, n.name+".log"))
			_ = os.WriteFile(filepath.Join(keep, n.name+".log"), content, 0o600)
		}
	}
	_ = os.RemoveAll(r.folder)
	_ = r.file.Close()
}

// call sends a client's request to a node and returns the status and the body of the answer;
// status 0 means that there was none.
func (r *rig) call(n *node, method, path, body string, timeout time.Duration) (status int, answer string) {
	request, err := http.NewRequest(method, fmt.Sprintf("http://%s:8149%s", n.ip, path), bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = hostName
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Deadline", fmt.Sprint(clientTimeout.Milliseconds()))
	client := &http.Client{Timeout: timeout, Transport: r.client.Transport}
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, strings.TrimSpace(string(content))
}

// submit hands a job in until it is accepted, at each node in turn.
func (r *rig) submit(id, body string) error {
	for try := range 20 {
		n := r.nodes[try%len(r.nodes)]
		status, answer := r.call(n, http.MethodPost, prefix+id, body, clientTimeout)
		r.log("POST %s at %s: %d %s", id, n.name, status, answer)
		if status == http.StatusOK {
			return nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return errors.New("no node accepted the job " + id)
}

// state asks each node in turn for the state of a job until one answers.
func (r *rig) state(id string) string {
	for try := range 20 {
		n := r.nodes[try%len(r.nodes)]
		status, answer := r.call(n, http.MethodGet, prefix+id, "", clientTimeout)
		if status == http.StatusOK || status == http.StatusGone {
			var decoded struct {
				State string `json:"state"`
			}
			_ = json.Unmarshal([]byte(answer), &decoded) // a 410 has no state
			r.log("GET %s at %s: %d %s", id, n.name, status, answer)
			if status == http.StatusGone {
				return "gone"
			}
			return decoded.State
		}
		time.Sleep(100 * time.Millisecond)
	}
	return "no answer"
}

// awaitEnd asks for the state of a job until it has ended or the time is over.
func (r *rig) awaitEnd(id string, limit time.Duration) string {
	state := ""
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(250 * time.Millisecond) {
		if state = r.state(id); state != "queued" && state != "running" {
			break
		}
	}
	return state
}

// holder returns the node that leads the service, which is the one that last wrote to the
// store under a condition.
func (r *rig) holder() *node {
	value, _ := r.store.Value("keyed.rights", serviceName+"/0")
	for _, n := range r.nodes {
		if strings.Contains(value, n.name) {
			return n
		}
	}
	return nil
}
