package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// maxChannels is how many channels a worker takes; it resets further ones.
const maxChannels = 64

// limitedListener resets the channels above maxChannels.
type limitedListener struct {
	net.Listener
	open  atomic.Int64
	reset atomic.Int64
}

// Accept returns the next channel within the limit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= maxChannels {
			return &countedConn{Conn: conn, release: sync.OnceFunc(func() { l.open.Add(-1) })}, nil
		}
		l.open.Add(-1)
		l.reset.Add(1)
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

type countedConn struct {
	net.Conn
	release func()
}

// Close closes the channel and stops counting it.
func (c *countedConn) Close() error {
	c.release()
	return c.Conn.Close()
}

// link forwards the channels of one machine to one worker. While the machine is dark,
// nothing of the end of its channels reaches the worker.
type link struct {
	target string
	dark   *atomic.Bool
}

// newLink starts a link and returns its address.
func newLink(target string, dark *atomic.Bool) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	l := &link{target, dark}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.forward(conn)
		}
	}()
	return listener.Addr().String(), nil
}

func (l *link) forward(machine net.Conn) {
	worker, err := net.Dial("tcp", l.target)
	if err != nil {
		reset(machine)
		return
	}
	go func() {
		_, err := io.Copy(machine, worker)
		if err != nil { // the worker has reset the channel
			reset(machine)
			return
		}
		_ = machine.Close()
	}()
	_, _ = io.Copy(worker, machine)
	if l.dark.Load() {
		return // the worker learns nothing
	}
	_ = worker.Close()
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// storeOf returns the store as one machine sees it: the addresses of the workers are those
// of its links.
func (s *site) storeOf(dark *atomic.Bool) (http.Handler, error) {
	links := map[string]string{}
	for _, w := range s.workers {
		address, err := newLink(w.address, dark)
		if err != nil {
			return nil, err
		}
		links[`"`+w.address+`"`] = `"` + address + `"`
	}
	return s.store.View(func(topic, value string) string {
		if topic != "keyed.servers" {
			return value
		}
		for own, linked := range links {
			value = strings.Replace(value, own, linked, 1)
		}
		return value
	}), nil
}

// leader returns the machine that leads a service, by the newest record of its leadership.
func (s *site) leader(service string) *node {
	value, _ := s.store.Value("keyed.rights", service+"/0")
	var first *node
	position := len(value)
	for _, n := range s.nodes {
		if at := strings.Index(value, n.name); at >= 0 && at < position {
			first, position = n, at
		}
	}
	return first
}

// losePower ends the machine's process without a trace at its peers, and starts it again.
func (n *node) losePower(downFor time.Duration) error {
	n.dark.Store(true)
	n.kill()
	time.Sleep(downFor)
	n.dark.Store(false)
	return n.start()
}

// playLostLeaders hands in jobs of many small tasks, and takes the power from the machine
// that leads while they run, eight times. Then it hands in jobs of the same kind.
func playLostLeaders(folder, scratch string, trouble bool) (int, error) {
	const (
		rounds      = 8
		jobsARound  = 8
		downFor     = 3500 * time.Millisecond
		workerCount = 7
		service     = "zigo56a"
	)
	routes := []route{{"r-ji9n73h", "/lohu930/", service}}
	s, err := newSite(folder, scratch, manifestText(1, routes, []string{service}, ""), func(s *site) error {
		for i := range workerCount {
			w, err := newWorker(s, fmt.Sprintf("%s-%d", service, i), service, map[string]int{"cpu": 16000, "mem-mb": 32768, "gpu": 0})
			if err != nil {
				return err
			}
			s.workers = append(s.workers, w)
		}
		return nil
	})
	if err != nil {
		return failed, err
	}
	defer s.close()
	var accepted []string
	submit := func(name string, count, milliCPU, milliseconds int) {
		path := "/lohu930/" + name
		body := fmt.Sprintf(`{"spec":"%d","steps":[{"count":%d,"cpu":%d,"mem-mb":64,"estimate-ms":%d}]}`, milliseconds, count, milliCPU, milliseconds)
		if s.submit(len(accepted), path, body) {
			accepted = append(accepted, name)
		}
	}
	for round := range rounds {
		for i := range jobsARound {
			submit(fmt.Sprintf("a%07x%08x", round, i), 36, 300, 700)
		}
		if trouble {
			leading := s.leader(service)
			s.record("%s, which leads, loses power", leading.name)
			if err := leading.losePower(downFor); err != nil {
				return failed, err
			}
			s.record("%s starts again", leading.name)
		}
		time.Sleep(4 * time.Second)
		for _, w := range s.workers {
			s.record("%s has %d channels, and has reset %d", w.id, w.listener.open.Load(), w.listener.reset.Load())
		}
	}
	for i := range jobsARound {
		submit(fmt.Sprintf("b%07x%08x", 0, i), 36, 300, 700)
	}
	s.record("the last job is handed in, and all machines are sound")
	const finish = 14 * time.Second
	time.Sleep(finish)
	return s.judgeUndone(accepted)
}

// judgeUndone asks for the jobs and reports those that are not done, although nothing of
// them has run for 3 s and the workers are nearly empty.
func (s *site) judgeUndone(accepted []string) (int, error) {
	const idleFor = 3 * time.Second
	undone := 0
	for i, name := range accepted {
		status, state := s.call(s.nodes[i%len(s.nodes)], http.MethodGet, "/lohu930/"+name, "")
		if status == http.StatusOK && strings.Contains(state, "completed") {
			continue
		}
		lastRun := time.Time{}
		for _, r := range s.allRuns() {
			if !strings.HasPrefix(r.task, name) {
				continue
			}
			end := r.endedAt
			if end.IsZero() {
				end = time.Now()
			}
			if end.After(lastRun) {
				lastRun = end
			}
		}
		switch {
		case lastRun.IsZero():
			undone++
			s.record("LOST: %s is shown as %d %s, and has never run", name, status, state)
		case time.Since(lastRun) >= idleFor:
			undone++
			s.record("LOST: %s is shown as %d %s, and has had nothing running for %s", name, status, state, time.Since(lastRun).Round(100*time.Millisecond))
		}
	}
	running := 0
	for _, w := range s.workers {
		w.mu.Lock()
		running += len(w.running)
		w.mu.Unlock()
	}
	s.record("%d of %d accepted jobs are undone with nothing running; %d tasks run on all workers", undone, len(accepted), running)
	if undone > 0 {
		return broken, nil
	}
	return held, nil
}
