package control

import (
	"slices"
	"time"

	"yuccalanding.example/yuccalanding/internal/placement"
)

const (
	watchInterval   = 300 * time.Millisecond
	watchRetryDelay = 50 * time.Millisecond
)

// simLink is the traffic between a node and a worker in one session, as
// internal/node implements it.
type simLink struct {
	node   *simNode
	worker *simWorker
	token  uint64
	// until is when the session expires, and seen is the sequence number of the
	// last result that the node received.
	until        time.Duration
	seen         uint64
	stops        []placement.TaskID
	acknowledged []placement.TaskID
	closed       bool
	watching     bool
	wantsWatch   bool
}

// call runs a request at the worker and then its answer at the node. If either
// is lost in the network it runs failed instead.
func (n *simNode) call(s *simWorker, request func(), answer func(), failed func()) {
	w := n.world
	incarnation := s.incarnation
	w.after(w.between(200*time.Microsecond, 2*time.Millisecond), func() {
		if !s.up || s.incarnation != incarnation || !w.network.reaches(n.name, s.spec.Name) {
			n.afterIfUp(20*time.Millisecond, failed)
			return
		}
		request()
		if !w.network.reaches(s.spec.Name, n.name) || w.chance(w.network.loss) {
			n.afterIfUp(200*time.Millisecond, failed)
			return
		}
		n.afterIfUp(w.between(200*time.Microsecond, 2*time.Millisecond), answer)
	})
}

func (n *simNode) openSession(name string) {
	s := n.world.worker(name)
	sentAt, sentLocal := n.world.now, n.clock.read(n.world.now)
	var token uint64
	var tasks []ListedOnWorker
	var granted bool
	n.call(s, func() { token, tasks, granted = s.open(n.name) }, func() {
		if !granted {
			n.deliver(&SessionRefused{Worker: name, Reason: "held"})
			return
		}
		l := &simLink{node: n, worker: s, token: token, until: sentAt + n.clock.elapsed(simSessionLength*9/10)}
		if old := n.links[name]; old != nil {
			old.closed = true
		}
		n.links[name] = l
		n.deliver(&SessionOpened{Worker: s.spec, Token: token, SentAt: sentLocal, Tasks: tasks})
		l.watch()
	}, func() { n.deliver(&SessionRefused{Worker: name, Reason: "not reached"}) })
}

func (n *simNode) linkOf(name string, token uint64) *simLink {
	if l := n.links[name]; l != nil && l.token == token && !l.closed {
		return l
	}
	return nil
}

func (n *simNode) closeSession(out *CloseSession) {
	l := n.linkOf(out.Worker, out.Token)
	if l == nil {
		return
	}
	l.closed = true
	delete(n.links, out.Worker)
	n.call(l.worker, func() {
		if l.worker.token == l.token {
			l.worker.holder, l.worker.until = "", l.worker.world.now
		}
	}, func() {}, func() {})
}

func (l *simLink) sessionLost(reason string) {
	if l.closed {
		return
	}
	l.closed = true
	if l.node.links[l.worker.spec.Name] == l {
		delete(l.node.links, l.worker.spec.Name)
	}
	l.node.deliver(&SessionLost{Worker: l.worker.spec.Name, Token: l.token, Reason: reason})
}

// watchSoon sends the pending actions without waiting for the next regular
// watch.
func (l *simLink) watchSoon() {
	if l.watching {
		l.wantsWatch = true
		return
	}
	l.watch()
}

func (l *simLink) watch() {
	if l.closed || l.watching {
		return
	}
	l.watching = true
	n, s := l.node, l.worker
	sentAt, sentLocal := n.world.now, n.clock.read(n.world.now)
	stops, acknowledged := l.stops, l.acknowledged
	l.stops, l.acknowledged = nil, nil
	var finished []FinishedOnWorker
	var seen uint64
	var current, leaving bool
	n.call(s, func() {
		finished, seen, current = s.watch(l.token, stops, acknowledged, l.seen)
		leaving = s.leaving
	}, func() {
		l.watching = false
		if !current {
			l.sessionLost("token too old")
			return
		}
		l.seen, l.until = max(l.seen, seen), sentAt+n.clock.elapsed(simSessionLength*9/10)
		if !l.closed {
			n.deliver(&WorkerReport{Worker: s.spec.Name, Token: l.token, SentAt: sentLocal, Finished: finished, Leaving: leaving})
		}
		delay := watchInterval
		if l.wantsWatch {
			l.wantsWatch, delay = false, 0
		}
		n.afterIfUp(delay, l.watch)
	}, func() {
		l.watching = false
		l.stops, l.acknowledged = slices.Concat(stops, l.stops), slices.Concat(acknowledged, l.acknowledged)
		if n.world.now > l.until {
			l.sessionLost("the session could not be renewed")
			return
		}
		n.afterIfUp(watchRetryDelay, l.watch)
	})
}

// startTask sends a start once. If its outcome is not known, the session is
// dropped.
func (n *simNode) startTask(out *StartTask) {
	l := n.linkOf(out.Worker, out.Token)
	if l == nil {
		return
	}
	start := *out
	startBy := n.world.now + n.clock.elapsed(start.StartWithin)
	var reason string
	var current bool
	n.call(l.worker, func() {
		late := start.StartWithin > 0 && n.world.now > startBy
		reason, current = l.worker.startTask(l.token, &start, late)
	}, func() {
		switch {
		case !current:
			l.sessionLost("token too old")
		case reason != "":
			n.deliver(&StartRefused{Worker: start.Worker, Token: l.token, ID: start.ID, Reason: reason})
		default:
			n.deliver(&TaskStarted{Worker: start.Worker, Token: l.token, ID: start.ID})
		}
	}, func() { l.sessionLost("the outcome of a start is not known") })
}
