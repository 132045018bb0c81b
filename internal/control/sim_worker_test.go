package control

import (
	"fmt"
	"slices"
	"time"

	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

const (
	simSessionLength = 3 * time.Second
	simTaskLease     = 20 * time.Second
)

// simWorker implements the worker contract in section 3.2 of the design page.
// It accepts starts beyond its capacity and while it is leaving, so that the
// checkers see what owners request.
type simWorker struct {
	world         *world
	spec          placement.Worker
	clock         clock
	up            bool
	inList        bool
	leaving       bool
	leavingSince  time.Duration
	holder        string
	token         uint64
	until         time.Duration
	tasks         map[placement.TaskID]*simTask
	startedIDs    map[placement.TaskID]bool
	finishedCount uint64
	incarnation   int
}

// simTask is one attempt of a task on a worker.
type simTask struct {
	id          placement.TaskID
	resources   workload.Resources
	connections int
	label       []byte
	payload     []byte
	startedAt   time.Duration
	leaseUntil  time.Duration
	running     bool
	outcome     placement.Outcome
	endedAt     time.Duration
	sequence    uint64
	run         *run
}

func (w *world) addWorker(name, region, domain string, capacity workload.Resources) {
	w.workers = append(w.workers, &simWorker{
		world: w, clock: w.newClock(), up: true, inList: true, token: 100,
		spec: placement.Worker{
			Name: name, Region: region, FailureDomain: domain, Rack: domain + "-1", Capacity: capacity, Slots: 8, Connections: 64,
		},
		tasks: map[placement.TaskID]*simTask{}, startedIDs: map[placement.TaskID]bool{},
	})
}

func (w *world) worker(name string) *simWorker {
	i := slices.IndexFunc(w.workers, func(s *simWorker) bool { return s.spec.Name == name })
	return w.workers[i]
}

// open grants a session unless another holder has a live session.
func (s *simWorker) open(holder string) (uint64, []ListedOnWorker, bool) {
	if s.holder != "" && s.holder != holder && s.world.now < s.until {
		return 0, nil, false
	}
	s.token++
	s.holder, s.until = holder, s.world.now+s.clock.elapsed(simSessionLength)
	s.renewLeases()
	var listed []ListedOnWorker
	for _, id := range s.taskIDs() {
		t := s.tasks[id]
		listed = append(listed, ListedOnWorker{
			ID: id, Resources: t.resources, Label: t.label, StartedAt: simStart.Add(t.startedAt), Finished: !t.running,
		})
	}
	return s.token, listed, true
}

func (s *simWorker) taskIDs() []placement.TaskID {
	var ids []placement.TaskID
	for id := range s.tasks {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, placement.CompareTaskIDs)
	return ids
}

func (s *simWorker) renewLeases() {
	for _, t := range s.tasks {
		if t.running {
			t.leaseUntil = s.world.now + s.clock.elapsed(simTaskLease)
		}
	}
}

// watch renews a session. It returns false if the token is outdated.
func (s *simWorker) watch(token uint64, stops, acknowledged []placement.TaskID, seen uint64) ([]FinishedOnWorker, uint64, bool) {
	if token != s.token {
		return nil, 0, false
	}
	s.until = s.world.now + s.clock.elapsed(simSessionLength)
	s.renewLeases()
	for _, id := range stops {
		if t := s.tasks[id]; t != nil && t.running {
			s.end(t, placement.Stopped)
		}
	}
	for _, id := range acknowledged {
		if t := s.tasks[id]; t != nil && !t.running {
			delete(s.tasks, id)
		}
	}
	var finished []FinishedOnWorker
	for _, id := range s.taskIDs() {
		if t := s.tasks[id]; !t.running && t.sequence > seen {
			finished = append(finished, FinishedOnWorker{ID: id, Result: Result{
				Outcome: t.outcome, Worker: s.spec.Name, Ran: t.endedAt - t.startedAt, Body: bodyOf(t),
			}})
		}
	}
	return finished, s.finishedCount, true
}

func bodyOf(t *simTask) []byte {
	return fmt.Appendf(nil, `"result of %s %d for %s"`, t.id.Key, t.id.Index, t.payload)
}

// startTask starts a task unless the token is outdated, the attempt is known or
// its start time has passed. It returns the reason of a refusal, and false if
// the token is outdated.
func (s *simWorker) startTask(token uint64, start *StartTask, late bool) (string, bool) {
	if token != s.token {
		return "", false
	}
	if s.startedIDs[start.ID] {
		return "", true
	}
	if late {
		return "too-late", true
	}
	s.startedIDs[start.ID] = true
	t := &simTask{
		id: start.ID, resources: start.Requested, connections: start.Connections, label: start.Label, payload: start.Payload,
		startedAt: s.world.now, leaseUntil: s.world.now + s.clock.elapsed(simTaskLease), running: true,
	}
	s.tasks[start.ID] = t
	s.world.checks.started(s, t)
	length, outcome := s.world.checks.behaviour(start.ID)
	s.world.after(length, func() {
		if t.running {
			s.end(t, outcome)
		}
	})
	s.watchLease(t)
	return "", true
}

func (s *simWorker) watchLease(t *simTask) {
	s.world.after(t.leaseUntil-s.world.now, func() {
		switch {
		case !t.running:
		case s.world.now >= t.leaseUntil:
			s.world.trace("%s stops %v: its lease has expired", s.spec.Name, t.id)
			s.end(t, placement.Stopped)
		default:
			s.watchLease(t)
		}
	})
}

func (s *simWorker) end(t *simTask, outcome placement.Outcome) {
	s.finishedCount++
	t.running, t.outcome, t.endedAt, t.sequence = false, outcome, s.world.now, s.finishedCount
	s.world.checks.ended(t)
}

// crash ends the VM and all tasks on it.
func (s *simWorker) crash() {
	if !s.up {
		return
	}
	s.world.trace("worker %s crashes", s.spec.Name)
	s.up = false
	s.incarnation++
	for _, id := range s.taskIDs() {
		if t := s.tasks[id]; t.running {
			t.running, t.outcome = false, placement.Lost
			s.world.checks.ended(t)
		}
	}
	s.tasks, s.startedIDs = map[placement.TaskID]*simTask{}, map[placement.TaskID]bool{}
}

// restart brings the VM back without tasks and with a token above all earlier
// ones.
func (s *simWorker) restart() {
	if !s.up {
		s.world.trace("worker %s restarts", s.spec.Name)
		s.up, s.holder, s.token = true, "", s.token+100
	}
}

// leave marks the worker as leaving, in its reports and in the VM list.
func (s *simWorker) leave() {
	s.world.trace("worker %s leaves", s.spec.Name)
	s.leaving, s.leavingSince = true, s.world.now
	s.replaceLater()
}

// replaceLater adds a new VM after a while, in place of one that will not
// return.
func (s *simWorker) replaceLater() {
	w := s.world
	w.after(w.between(5*time.Second, 20*time.Second), func() {
		name := fmt.Sprintf("vm-%02d", len(w.workers)+1)
		w.trace("worker %s replaces %s", name, s.spec.Name)
		w.addWorker(name, s.spec.Region, s.spec.FailureDomain, s.spec.Capacity)
	})
}

// entries returns the current VM list.
func (w *world) entries() []VMEntry {
	var entries []VMEntry
	for _, s := range w.workers {
		if s.inList {
			entries = append(entries, VMEntry{
				Name: s.spec.Name, Region: s.spec.Region, FailureDomain: s.spec.FailureDomain, Rack: s.spec.Rack, Leaving: s.leaving,
			})
		}
	}
	return entries
}

// pollVMList delivers the VM list, with a delay, once a second.
func (n *simNode) pollVMList() {
	entries := n.world.entries()
	n.afterIfUp(n.world.between(0, 500*time.Millisecond), func() { n.deliver(&VMListed{Workers: entries}) })
	n.afterIfUp(time.Second, n.pollVMList)
}
