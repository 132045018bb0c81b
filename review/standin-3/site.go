package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"yuccalanding.example/yuccalanding/platform/standin"
)

const (
	grace       = 6 * time.Second
	contact     = 4 * time.Second
	configApply = 3 * time.Second
	visible     = 3 * time.Second
	// leadTime is how long before the traffic the machines start.
	leadTime = 10 * time.Second
	host     = "ficu95.example"
)

// site is a small deployment: six machines of the system, the platform and the workers.
type site struct {
	store   *standin.Store
	workers []*worker
	nodes   []*node
	began   time.Time
	out     *os.File
	onStart func(w *worker, r run) // called after each start; nil for none

	mu      sync.Mutex
	runs    []*run
	stopped chan struct{}
}

// record writes a line to the record of the case.
func (s *site) record(format string, args ...any) {
	line := fmt.Sprintf("%9.3f s  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = s.out.WriteString(line) // the exit code tells the result
}

func (s *site) addRun(r *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, r)
}

// allRuns returns copies of all runs.
func (s *site) allRuns() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make([]run, len(s.runs))
	for i, r := range s.runs {
		runs[i] = *r
	}
	return runs
}

// node is one machine of the system.
type node struct {
	site     *site
	name     string
	front    string
	settings string
	log      *os.File
	command  *exec.Cmd
	exited   chan struct{}
	dark     atomic.Bool // it has lost power
}

// started are the processes that this one has started.
var started struct {
	sync.Mutex
	processes []*os.Process
}

// killStarted ends all of them.
func killStarted() {
	started.Lock()
	defer started.Unlock()
	for _, process := range started.processes {
		_ = process.Kill() // it may have ended
	}
}

// start starts the process with the command of the deploy file.
func (n *node) start() error {
	command := exec.Command("target/yuccalanding-entry")
	for _, name := range []string{"PATH", "HOME", "LANG"} {
		command.Env = append(command.Env, name+"="+os.Getenv(name))
	}
	command.Env = append(command.Env, "YUCCALANDING_NODE_FILE="+n.settings)
	command.Stdout, command.Stderr = n.log, n.log
	if err := command.Start(); err != nil {
		return err
	}
	n.command, n.exited = command, make(chan struct{})
	started.Lock()
	defer started.Unlock()
	started.processes = append(started.processes, command.Process)
	go func(exited chan struct{}) {
		_ = command.Wait() // a killed process has an error
		close(exited)
	}(n.exited)
	return nil
}

// terminate stops the process as the platform does: SIGTERM, and SIGKILL after the grace.
func (n *node) terminate() {
	_ = n.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-n.exited:
	case <-time.After(grace):
		_ = n.command.Process.Kill()
		<-n.exited
	}
}

func (n *node) kill() {
	_ = n.command.Process.Kill()
	<-n.exited
}

// serve listens on a free loopback port and returns its address.
func serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, handler) }() // until the end of the process
	return listener.Addr().String(), nil
}

// ports are those of a machine, the same on all of them.
type ports struct{ front, ready, control, first int }

// newAddresses returns loopback addresses for the machines, and ports that are free on all.
func newAddresses(count int) ([]string, ports, error) {
	for range 50 {
		second, third := 1+rand.IntN(250), 1+rand.IntN(250)
		base := 21000 + rand.IntN(30000)
		chosen := ports{base, base + 1, base + 2, base + 3}
		addresses := make([]string, count)
		free := true
		for i := range addresses {
			addresses[i] = fmt.Sprintf("127.%d.%d.%d", second, third, 10+i)
			for _, port := range []int{chosen.front, chosen.ready, chosen.control, chosen.first, 9464} {
				listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", addresses[i], port))
				if err != nil {
					free = false
					continue
				}
				_ = listener.Close()
			}
		}
		if free {
			return addresses, chosen, nil
		}
	}
	return nil, ports{}, errors.New("no free ports")
}

// zones are those of the deployment, with their regions.
var zones = []string{"brum-a", "cov-b", "nott-a"}

func regionOf(zone string) string {
	if zone == "nott-a" {
		return "east-mids"
	}
	return "west-mids"
}

// newSite starts the platform, the workers and the machines. The folder takes the record,
// scratch the settings and the logs.
func newSite(folder, scratch, firstManifest string, addWorkers func(*site) error) (*site, error) {
	out, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	s := &site{store: standin.New().Store, began: time.Now(), out: out, stopped: make(chan struct{})}
	adviserAddress, err := serve(http.HandlerFunc(standin.Adviser))
	if err != nil {
		return nil, err
	}
	s.configure(firstManifest)
	if err := addWorkers(s); err != nil {
		return nil, err
	}
	go s.beat()
	const count = 6
	addresses, chosen, err := newAddresses(count)
	if err != nil {
		return nil, err
	}
	at := func(i, port int) string { return fmt.Sprintf("%s:%d", addresses[i], port) }
	regions := map[string]string{}
	for _, zone := range zones {
		regions[zone] = regionOf(zone)
	}
	for i := range count {
		zone := zones[i%len(zones)]
		n := &node{site: s, name: fmt.Sprintf("front-%s-%d", zone, 1+i/len(zones)), front: at(i, chosen.front)}
		view, err := s.storeOf(&n.dark)
		if err != nil {
			return nil, err
		}
		storeAddress, err := serve(view)
		if err != nil {
			return nil, err
		}
		n.settings = filepath.Join(scratch, n.name+".json")
		content := encode(map[string]any{
			"node": n.name, "role": "entry", "machine-class": "front", "serves": []string{"front"}, "ip": addresses[i],
			"zone": zone, "region": regionOf(zone), "zones": regions,
			"listen":         map[string]string{"front": at(i, chosen.front), "ready": at(i, chosen.ready), "control": at(i, chosen.control)},
			"internal-ports": []int{chosen.first, chosen.first + 15}, "seeds": []string{}, "bootstrap": true, "in-tolerance": false,
			"limits":   map[string]any{"cpu-share": 0.4, "cores": 1, "memory-mb": 284, "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 0},
			"data-dir": nil, "discovery": "platform", "entry": "vip", "heartbeat-ms": heartbeat.Milliseconds(),
			"contracts": []string{"base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"},
			"tolerate":  map[string]int{"machines": 1, "zones": 0, "regions": 0},
			"bounds": map[string]any{
				"contact-ms": contact.Milliseconds(), "ack-ms": 5000, "drain-ms": 3000, "grace-s": grace.Seconds(), "config-apply-ms": configApply.Milliseconds(),
				"max-hold-ms": maxHold.Milliseconds(), "stop-ms": 900, "gang-wait-ms": 3000, "cancel_ms": 3000, "visible_ms": visible.Milliseconds(), "finish_s": 14,
				"status_s": 120, "checkpoint-s": 0.5, "restore-ms": 100, "notice-ms": 5500, "lease-ms": 3000, "require-fencing": false,
			},
			"orders": "call", "advice": adviserAddress,
			"platform": map[string]any{
				"address": storeAddress, "form": "log", "writes-per-s": 600, "reads-per-s": 2000, "parts": 32, "append-ms": 2.0, "part-mb-s": 20.0,
				"read-mb-s": 80.0, "record-bytes": 262144, "call-bytes": 2097152, "keep_s": 300, "part-mb": 200, "min-ttl-ms": 1000,
			},
			"cloud": map[string]any{"address": "127.0.0.1:9", "rate-per-s": 60.0, "duties": []string{}, "duty-per-s": 60.0},
		})
		if err := os.WriteFile(n.settings, []byte(content), 0o600); err != nil {
			return nil, err
		}
		if n.log, err = os.Create(filepath.Join(scratch, n.name+".log")); err != nil {
			return nil, err
		}
		s.nodes = append(s.nodes, n)
	}
	for _, n := range s.nodes {
		if err := n.start(); err != nil {
			s.close()
			return nil, err
		}
	}
	// A later start of a process isn't the first one of the system.
	for _, n := range s.nodes {
		content, err := os.ReadFile(n.settings)
		if err == nil {
			time.AfterFunc(leadTime, func() {
				_ = os.WriteFile(n.settings, []byte(strings.Replace(string(content), `"bootstrap":true`, `"bootstrap":false`, 1)), 0o600)
			})
		}
	}
	s.record("six machines of the system start")
	time.Sleep(leadTime)
	return s, nil
}

// beat rewrites the workers' entries.
func (s *site) beat() {
	for {
		select {
		case <-s.stopped:
			return
		case <-time.After(heartbeat):
		}
		for _, w := range s.workers {
			w.publish()
		}
	}
}

// close ends all processes that the case started.
func (s *site) close() {
	close(s.stopped)
	for _, n := range s.nodes {
		if n.command != nil {
			n.kill()
		}
	}
}

func (s *site) configure(text string) { s.store.Put("keyed.op", "config", text) }

// route is a queue of the manifest.
type route struct {
	name, prefix, service string
}

// manifestText returns a manifest. The services in spare have their machines off.
func manifestText(version int, routes []route, services []string, spare string) string {
	listed, pools := []any{}, []any{}
	for _, r := range routes {
		listed = append(listed, map[string]any{
			"name": r.name, "host": host, "path-prefix": r.prefix, "kind": "unsafe", "timeout-ms": 3000, "target-duration-ms": 3000, "priority": 1,
			"service": r.service, "max-attempts": 3, "stretch": 4.0,
		})
	}
	for _, service := range services {
		pools = append(pools, map[string]any{
			"name": service, "health-path": "/health", "max-conns": 64, "protocol": "h1", "tls": false, "enforces-capacity": false, "spare": service == spare,
		})
	}
	return encode(map[string]any{
		"version": version, "routes": listed, "services": pools,
		"limits": map[string]int{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
}

// call sends a consumer's request to a node and returns the status and the body of the
// answer. Status 0 means that there was none.
func (s *site) call(n *node, method, path, body string) (int, string) {
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(method, "http://"+n.front+path, strings.NewReader(body))
	if err != nil {
		panic(err) // the paths are constructed here
	}
	request.Host = host
	request.Header.Set("X-Deadline", "3000")
	request.Header.Set("Content-Type", "application/json")
	shown := body
	if len(shown) > 200 {
		shown = shown[:200] + "..."
	}
	s.record("consumer sends %s %s to %s %s", method, path, n.name, shown)
	status, content := 0, ""
	if response, err := client.Do(request); err == nil {
		received, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err == nil {
			status, content = response.StatusCode, string(received)
		}
	}
	s.record("consumer gets %d %s for %s %s from %s", status, content, method, path, n.name)
	return status, content
}

// tries is how often a consumer sends a request: once, and four retries.
const tries = 5

// submit hands a job in, with retries at other nodes, and reports whether it was accepted.
func (s *site) submit(first int, path, body string) bool {
	for i := range tries {
		status, _ := s.call(s.nodes[(first+i)%len(s.nodes)], http.MethodPost, path, body)
		switch status {
		case http.StatusOK:
			return true
		case http.StatusBadRequest, http.StatusNotFound, http.StatusRequestEntityTooLarge:
			return false
		}
		time.Sleep(time.Second)
	}
	return false
}

// awaitState asks for the state of a job until it is the given one.
func (s *site) awaitState(path, state string, limit time.Duration) bool {
	for i, began := 0, time.Now(); time.Since(began) < limit; i++ {
		if status, body := s.call(s.nodes[i%len(s.nodes)], http.MethodGet, path, ""); status == http.StatusOK && strings.Contains(body, `"`+state+`"`) {
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}
