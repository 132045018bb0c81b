package shard_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"yuccalanding.example/yuccalanding/internal/job"
	"yuccalanding.example/yuccalanding/internal/shard"
)

type modelRun struct {
	key      shard.RunKey
	worker   *modelWorker
	began    time.Duration
	progress time.Duration
	work     time.Duration
	lasts    bool
	gang     bool
	stopAt   time.Duration
	target   time.Duration // of its tail, if it serves
	fills    bool
	pace     int
	over     time.Duration // since when its tail is over its target; 0 if it isn't
	demand   job.Demand
	fails    bool
}

type modelWorker struct {
	world    *world
	id       string
	capacity job.Demand
	born     int64
	fence    int64
	runs     []*modelRun
	highest  map[string]int64
	ended    []shard.RunResult
	number   int64
	until    time.Duration // end of the lease, world time
	down     bool
	cut      bool
	listed   bool
	fails    bool // fails all that it starts
	hangs    bool // lets its tasks stand still
	slow     float64
	draining bool
	leaves   time.Duration // when a draining worker is gone
	waiting  []func()      // holds that wait for an end
	load     time.Duration // what their own callers add to the tails of serving tasks
	// fullAfter is the progress from which on a run is shown as whole; 0 is never.
	fullAfter time.Duration
}

// The tail of a serving task in the model: alone, and for each task that fills
// beside it at its full pace.
const (
	tailAlone  = 60 * time.Millisecond
	tailFiller = 30 * time.Millisecond
	// modelHarm is how long fillers may keep a tail over its target.
	modelHarm = 4 * time.Second
)

func (m *modelWorker) tail() time.Duration {
	tail := tailAlone + m.load
	for _, r := range m.runs {
		if r.fills {
			tail += tailFiller * time.Duration(r.pace) / 100
		}
	}
	return tail
}

// checkHarm notes serving tasks that fillers keep over their target.
func (m *modelWorker) checkHarm() {
	w := m.world
	for _, r := range m.runs {
		harmed := r.target > 0 && m.tail() > r.target && tailAlone+m.load <= r.target
		switch {
		case !harmed:
			r.over = 0
		case r.over == 0:
			r.over = w.now
		case w.now-r.over > modelHarm:
			w.fault("HARM: %s on %s is over its target for %s", r.key.Task, m.id, w.now-r.over)
			r.over = w.now
		}
	}
}

// clock is the worker's own clock.
func (m *modelWorker) clock() time.Duration {
	return m.world.now + time.Duration(m.born)*time.Hour
}

func (m *modelWorker) extend(until time.Duration) {
	end := min(until-time.Duration(m.born)*time.Hour, m.world.now+modelLease)
	m.until = max(m.until, end)
}

func (m *modelWorker) used() job.Demand {
	var used job.Demand
	for _, r := range m.runs {
		used = used.Plus(r.demand)
	}
	return used
}

func (m *modelWorker) forget(seen int64) {
	kept := m.ended[:0]
	for _, row := range m.ended {
		if row.Sequence > seen {
			kept = append(kept, row)
			continue
		}
		m.world.noted(row)
	}
	m.ended = kept
}

func (m *modelWorker) start(start shard.Start, epoch int64, delay time.Duration) (shard.StartResult, string) {
	w := m.world
	if epoch < m.fence {
		return shard.WorkerDeclined, "fence"
	}
	m.fence = epoch
	for _, r := range m.runs {
		if r.key == start.RunKey {
			return shard.StartAccepted, ""
		}
	}
	if start.Run <= m.highest[start.Task] {
		return shard.RunOutdated, "old"
	}
	if start.LeaseUntil-time.Duration(m.born)*time.Hour <= w.now {
		return shard.LeaseExpired, "late"
	}
	facts := w.jobs[start.Task[:16]]
	if facts == nil {
		w.fault("task %s starts, but its job was refused or never sent", start.Task)
		return shard.StartAccepted, ""
	}
	var occurrence, number, index int
	if _, err := fmt.Sscanf(start.Task[17:], "%d.%d.%d", &occurrence, &number, &index); err != nil {
		w.fault("task name %q", start.Task)
	}
	spec := facts.spec.Steps[number]
	if facts.terms.RequiresTicket {
		parts := strings.Split(start.Ticket, "|")
		if len(parts) != 4 || parts[0] != start.Task[:strings.LastIndex(start.Task, ".")] || parts[1] != m.id || parts[2] != fmt.Sprint(m.born) || parts[3] < fmt.Sprint(int64(w.now)) && len(parts[3]) <= len(fmt.Sprint(int64(w.now))) {
			return shard.TicketInvalid, "ticket"
		}
	}
	w.checkStart(m, start, facts, &spec, number, delay)
	w.starts++
	m.extend(start.LeaseUntil)
	m.runs = append(m.runs, &modelRun{
		key: start.RunKey, worker: m, began: w.now, work: facts.work[number], lasts: spec.LongRunning, gang: spec.Gang,
		demand: spec.Reserved(), fails: m.fails || facts.poison, target: spec.TailLatencyTarget, fills: spec.BestEffort, pace: 100,
	})
	return shard.StartAccepted, ""
}

func (m *modelWorker) stop(stop shard.Stop, epoch int64) bool {
	if epoch < m.fence {
		return false
	}
	m.fence = epoch
	for _, r := range m.runs {
		if r.key == stop.RunKey {
			if r.stopAt == 0 {
				r.stopAt = m.world.now + m.world.stopTime
			}
			return true
		}
	}
	m.highest[stop.Task] = max(m.highest[stop.Task], stop.Run)
	return true
}

func (m *modelWorker) report() shard.Report {
	report := shard.Report{Incarnation: m.born, Clock: m.clock()}
	for _, r := range m.runs {
		percent := 100.0
		if !r.lasts {
			percent = min(99, 100*float64(r.progress)/float64(r.work))
			if m.fullAfter > 0 && r.progress >= m.fullAfter {
				percent = 100
			}
		}
		row := shard.RunStatus{RunKey: r.key, Percent: percent}
		if r.target > 0 {
			row.Usage = float64(m.tail()) / float64(time.Millisecond)
		}
		report.Running = append(report.Running, row)
	}
	report.Ended = slices.Clone(m.ended)
	return report
}

func (m *modelWorker) end(r *modelRun, how shard.EndReason) {
	m.runs = slices.DeleteFunc(m.runs, func(o *modelRun) bool { return o == r })
	m.number++
	if facts := m.world.jobs[r.key.Task[:16]]; facts != nil && how == shard.EndDone {
		facts.ended[r.key.Task] = true
	}
	m.highest[r.key.Task] = max(m.highest[r.key.Task], r.key.Run)
	m.ended = append(m.ended, shard.RunResult{RunKey: r.key, Sequence: m.number, EndReason: how})
	for _, reply := range m.waiting {
		m.world.after(0, nil, func(time.Time) { reply() })
	}
	m.waiting = nil
}

// drain makes the worker leave after a time, with all that it runs then.
func (m *modelWorker) drain(after time.Duration) {
	m.draining, m.leaves = true, m.world.now+after
}

func (m *modelWorker) advance() {
	w := m.world
	if m.down {
		return
	}
	m.checkHarm()
	if m.leaves > 0 && w.now >= m.leaves {
		m.crash()
		m.listed = false
		return
	}
	for _, r := range slices.Clone(m.runs) {
		if !slices.Contains(m.runs, r) {
			continue
		}
		switch {
		case w.now > m.until:
			m.end(r, shard.EndLeaseExpired)
			continue
		case r.stopAt > 0 && w.now >= r.stopAt:
			m.end(r, shard.EndStopped)
			continue
		case r.lasts || m.hangs:
			continue
		}
		members := []*modelRun{r}
		if r.gang {
			facts := w.jobs[r.key.Task[:16]]
			var number int
			_, _ = fmt.Sscanf(r.key.Task[19:], "%d", &number)
			members = w.members(r)
			if len(members) < facts.spec.Steps[number].Count {
				if w.now > r.began+modelGang {
					m.end(r, shard.EndGangIncomplete)
				}
				continue
			}
		}
		r.progress += time.Duration(float64(step) / m.slow * float64(r.pace) / 100)
		if r.fails && r.progress >= r.work/2 {
			m.end(r, shard.EndFailed)
			for _, other := range members {
				if other != r {
					other.worker.end(other, shard.EndGangFailed)
				}
			}
			continue
		}
		if r.progress >= r.work {
			for _, member := range members {
				member.worker.end(member, shard.EndDone)
			}
		}
	}
}

// crash loses all that runs on the worker.
func (m *modelWorker) crash() {
	m.down = true
	m.runs, m.ended, m.waiting = nil, nil, nil
	m.highest = map[string]int64{}
	m.fence = 0
}

func (m *modelWorker) restart() {
	m.down, m.draining, m.leaves = false, false, 0
	m.born += 100
	m.number = 0
	m.until = 0
}
