package shard_test

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/job"
	"yuccalanding.example/yuccalanding/internal/shard"
)

// The model of the platform's parts around a shard, in virtual time. Every
// rule is checked from what workers, store and callers of the model saw.

const (
	step        = 10 * time.Millisecond
	modelLease  = 6 * time.Second
	modelOrphan = 10*time.Second + 6500*time.Millisecond
	// modelOrphanOfDead holds if the former holder's process is known to be over.
	modelOrphanOfDead = 6500 * time.Millisecond
	modelGang         = 3 * time.Second
	ticketLife        = 2 * time.Second
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
	ended    []shard.EndedRow
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

// jobFacts is what the model knows of a submitted job.
type jobFacts struct {
	id        string
	spec      job.Spec
	terms     job.Terms
	work      []time.Duration // by step
	poison    bool
	cancelled time.Duration // when the cancellation was acknowledged
	cancelAt  time.Duration
	accepted  bool
	ended     map[string]bool          // tasks of which a run ended as done
	done      map[string]time.Duration // by task, when its done end was noted
	failures  map[string]int
}

type message struct {
	at time.Duration
	to *instance // nil: deliver to the world
	do func(now time.Time)
}

// instance is one holder of the shard.
type instance struct {
	world   *world
	shard   *shard.Shard
	epoch   int64
	dead    bool
	frozen  bool
	cut     bool // from the store
	proof   time.Duration
	writing bool
	stalled []message
}

type world struct {
	onLog     func(event string, keyvals []any) // sees each line of the holders' logs
	t         testing.TB
	random    *rand.Rand
	base      time.Time
	now       time.Duration
	workers   []*modelWorker
	jobs      map[string]*jobFacts
	order     []string
	store     map[string][]byte
	epoch     int64 // the newest epoch of the store
	storeDown bool
	holder    *instance
	instances []*instance
	queue     []message
	lost      float64 // share of calls to workers that lose their answer
	late      float64 // share of starts that are carried out seconds later
	faults    []string
	starts    int
	advised   bool
	goodShare float64
	looks     int // at workers
	stopTime  time.Duration
	calls     int // calls of the adviser
	// adviserTime is how long the adviser worked on them.
	adviserTime time.Duration
	// goodShares are the adviser's shares of good workers for some queues.
	goodShares map[string]float64
	refused    int
}

func newWorld(t testing.TB, seed uint64, workers int, capacity job.Demand) *world {
	w := &world{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), base: time.Unix(1_700_000_000, 0), jobs: map[string]*jobFacts{},
		store: map[string][]byte{}, goodShare: 0.7, stopTime: 200 * time.Millisecond,
	}
	for i := range workers {
		w.workers = append(w.workers, &modelWorker{
			world: w, id: fmt.Sprintf("i-%02d", i), capacity: capacity, born: int64(i + 1), highest: map[string]int64{}, listed: true, slow: 1,
		})
	}
	w.takeOver()
	return w
}

func (w *world) time() time.Time { return w.base.Add(w.now) }

func (w *world) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf("%.2fs: ", w.now.Seconds())+fmt.Sprintf(format, args...))
}

func (w *world) after(delay time.Duration, to *instance, do func(now time.Time)) {
	w.queue = append(w.queue, message{w.now + delay, to, do})
}

func (w *world) latency() time.Duration {
	return time.Duration(1+w.random.IntN(8)) * time.Millisecond
}

// takeOver makes a new instance the holder.
func (w *world) takeOver() {
	w.epoch += 1 + int64(w.random.IntN(5))
	h := &instance{world: w, epoch: w.epoch, proof: w.now}
	orphan := modelOrphan
	if w.holder != nil && w.holder.dead {
		orphan = modelOrphanOfDead
	}
	h.shard = shard.New(shard.Options{
		Service: "ledger", Epoch: h.epoch, Lease: modelLease, OrphanAfter: orphan, StateKept: 2 * time.Minute,
		Log: func(event string, keyvals ...any) {
			if os.Getenv("SHARD_LOG") != "" {
				w.t.Log(w.now, h.epoch, event, keyvals)
			}
			if w.onLog != nil {
				w.onLog(event, keyvals)
			}
		},
	})
	records := make([]shard.Record, 0, len(w.store))
	for key, value := range w.store {
		records = append(records, shard.Record{Key: key, Value: value})
	}
	sort.Slice(records, func(i, j int) bool { return records[i].Key < records[j].Key })
	h.shard.Load(w.time(), records)
	h.shard.SetAdviceSlots(4, 4)
	w.holder = h
	w.instances = append(w.instances, h)
}

func (w *world) list() []shard.WorkerInfo {
	var list []shard.WorkerInfo
	for i, worker := range w.workers {
		if !worker.listed {
			continue
		}
		list = append(list, shard.WorkerInfo{
			ID: worker.id, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80), Born: worker.born,
			Capacity: worker.capacity, Draining: worker.draining, Remaining: worker.leaves - w.now, Labels: []string{"a", fmt.Sprintf("r%d", i/3)},
		})
	}
	return list
}

func (w *world) worker(id string) *modelWorker {
	for _, worker := range w.workers {
		if worker.id == id {
			return worker
		}
	}
	return nil
}

// run advances the model.
func (w *world) run(length time.Duration) {
	for end := w.now + length; w.now < end; w.now += step {
		sort.SliceStable(w.queue, func(i, j int) bool { return w.queue[i].at < w.queue[j].at })
		due := w.queue
		split := sort.Search(len(due), func(i int) bool { return due[i].at > w.now })
		w.queue = slices.Clone(due[split:])
		for _, m := range due[:split] {
			switch {
			case m.to == nil:
				m.do(w.time())
			case m.to.dead:
			case m.to.frozen:
				m.to.stalled = append(m.to.stalled, m)
			default:
				m.do(w.time())
			}
		}
		for _, worker := range w.workers {
			worker.advance()
		}
		if w.now%(400*time.Millisecond) == 0 && !w.storeDown {
			for _, h := range w.instances {
				if !h.dead && !h.frozen && !h.cut {
					h.shard.SetWorkers(w.time(), w.list())
				}
			}
		}
		for _, h := range w.instances {
			h.step()
		}
	}
}

func (h *instance) step() {
	w := h.world
	if h.dead || h.frozen {
		return
	}
	for _, m := range h.stalled {
		m.do(w.time())
	}
	h.stalled = nil
	if !h.cut && !w.storeDown {
		if h.epoch < w.epoch {
			h.dead = true // the store tells it at its next append
			return
		}
		h.proof = w.now
	}
	h.shard.SetAuthority(w.now-h.proof < 10*time.Second)
	h.shard.Tick(w.time())
	commands := h.shard.Take()
	for _, start := range commands.Starts {
		h.sendStart(start)
	}
	for _, stop := range commands.Stops {
		h.sendStop(stop)
	}
	for _, pace := range commands.Paces {
		h.sendPace(pace)
	}
	for _, hold := range commands.Holds {
		h.sendHold(hold)
	}
	for _, advise := range commands.Advices {
		h.sendAdvise(advise)
	}
	for _, id := range commands.Settled {
		if facts := w.jobs[id]; facts != nil {
			facts.accepted = true
			if facts.cancelAt > 0 && facts.cancelled == 0 {
				if state, _ := h.shard.State(id); state == job.Cancelled {
					facts.cancelled = w.now
				}
			}
		}
	}
	h.write()
}

func (h *instance) write() {
	w := h.world
	if h.writing || !h.shard.HasChanges() {
		return
	}
	batch := h.shard.TakeBatch(w.time())
	if len(batch) == 0 {
		return
	}
	h.writing = true
	h.append(batch)
}

func (h *instance) append(batch []shard.Record) {
	w := h.world
	w.after(w.latency(), nil, func(time.Time) {
		if h.dead {
			return
		}
		if h.cut || w.storeDown {
			w.after(100*time.Millisecond, h, func(time.Time) { h.append(batch) })
			return
		}
		if h.epoch < w.epoch {
			h.dead = true
			return
		}
		for _, record := range batch {
			if len(record.Value) == 0 {
				delete(w.store, record.Key)
			} else {
				w.store[record.Key] = record.Value
			}
		}
		w.after(w.latency(), h, func(now time.Time) {
			h.writing = false
			h.shard.Stored(now)
		})
	})
}

// submit hands a job in and tells the model its work.
func (w *world) submit(id string, terms job.Terms, spec job.Spec, work ...time.Duration) *jobFacts {
	if w.advised && !terms.Advised {
		terms.Advised = true
		terms.AdviceTime, terms.AdvicePerWorker, terms.TicketLife = 40*time.Millisecond, time.Millisecond, ticketLife
	}
	facts := w.jobs[id]
	if facts == nil {
		facts = &jobFacts{id: id, spec: spec, terms: terms, work: work, ended: map[string]bool{}, done: map[string]time.Duration{}, failures: map[string]int{}}
		w.jobs[id] = facts
		w.order = append(w.order, id)
	}
	verdict := w.holder.shard.Accept(w.time(), id, terms, spec)
	if verdict.Outcome == shard.Refused {
		w.refused++
		delete(w.jobs, id)
		w.order = w.order[:len(w.order)-1]
	}
	return facts
}

func (w *world) cancel(id string) {
	facts := w.jobs[id]
	if facts == nil || facts.cancelled > 0 || w.holder.dead || w.holder.frozen {
		return
	}
	switch w.holder.shard.Cancel(w.time(), id) {
	case shard.Pending:
		facts.cancelAt = w.now
	case shard.Stored:
		if facts.cancelAt > 0 {
			facts.cancelled = w.now
		}
	}
}

func (h *instance) sendStart(start shard.Start) {
	w := h.world
	worker := w.worker(start.ID)
	answer := func(result shard.StartResult, reason string) {
		w.after(w.latency(), h, func(now time.Time) { h.shard.StartAnswered(now, start.ID, start.RunKey, result, reason) })
	}
	timeout := func() {
		w.after(500*time.Millisecond, h, func(now time.Time) {
			h.shard.StartAnswered(now, start.ID, start.RunKey, shard.StartUnknown, "timeout")
		})
	}
	delay := w.latency()
	late := w.random.Float64() < w.late
	if late {
		delay = time.Duration(2000+w.random.IntN(8000)) * time.Millisecond
		timeout()
	}
	lost := w.random.Float64() < w.lost
	w.after(delay, nil, func(time.Time) {
		if worker.cut || worker.down {
			if !late {
				timeout()
			}
			return
		}
		result, reason := worker.start(start, h.epoch, delay)
		switch {
		case late:
		case lost:
			timeout()
		default:
			answer(result, reason)
		}
	})
}

func (h *instance) sendStop(stop shard.Stop) {
	w := h.world
	worker := w.worker(stop.ID)
	w.after(w.latency(), nil, func(time.Time) {
		ok := !worker.cut && !worker.down && worker.stop(stop, h.epoch)
		w.after(w.latency(), h, func(now time.Time) { h.shard.StopAnswered(now, stop.ID, stop.RunKey, ok) })
	})
}

func (h *instance) sendPace(pace shard.Pace) {
	w := h.world
	worker := w.worker(pace.ID)
	lost := w.random.Float64() < w.lost
	w.after(w.latency(), nil, func(time.Time) {
		if !worker.cut && !worker.down && !lost && h.epoch >= worker.fence {
			for _, r := range worker.runs {
				if r.key == pace.RunKey {
					r.pace = pace.Percent
				}
			}
		}
		w.after(w.latency(), h, func(time.Time) { h.shard.PaceAnswered(pace.ID, pace.RunKey, !lost) })
	})
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

func (h *instance) sendHold(hold shard.Hold) {
	w := h.world
	worker := w.worker(hold.ID)
	w.looks++
	sent := w.time()
	lost := w.random.Float64() < w.lost
	fail := func(delay time.Duration) {
		w.after(delay, h, func(now time.Time) { h.shard.HoldFailed(now, hold.ID, "timeout") })
	}
	w.after(w.latency(), nil, func(time.Time) {
		if worker.cut || worker.down {
			fail(hold.Wait + 700*time.Millisecond)
			return
		}
		if h.epoch < worker.fence {
			h.dead = true
			return
		}
		worker.fence = h.epoch
		worker.forget(hold.Seen)
		if hold.Until > 0 {
			worker.extend(hold.Until)
		}
		born := worker.born
		answered := false
		reply := func() {
			if answered {
				return
			}
			answered = true
			if lost || worker.born != born || worker.cut || worker.down {
				fail(500 * time.Millisecond)
				return
			}
			report := worker.report()
			w.after(w.latency(), h, func(now time.Time) { h.shard.Reported(now, sent, hold.ID, report) })
		}
		if hold.Wait == 0 || len(worker.ended) > 0 {
			reply()
			return
		}
		worker.waiting = append(worker.waiting, reply)
		w.after(hold.Wait, nil, func(time.Time) { reply() })
	})
}

func (h *instance) sendAdvise(advise shard.Advise) {
	w := h.world
	w.calls++
	w.adviserTime += advise.Takes
	w.after(advise.Takes, h, func(now time.Time) {
		var good []shard.GoodWorker
		for _, id := range advise.Workers {
			if w.mayRun(advise.Step, id) {
				good = append(good, shard.GoodWorker{ID: id, Ticket: fmt.Sprintf("%s|%s|%d|%d", advise.Step, id, w.worker(id).born, w.now+ticketLife)})
			}
		}
		h.shard.Advised(now, advise, good, "")
	})
}

// mayRun is the policy that only the adviser knows.
func (w *world) mayRun(step, worker string) bool {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(step + worker))
	share := w.goodShare
	if facts := w.jobs[step[:16]]; facts != nil {
		if own, has := w.goodShares[facts.terms.Queue]; has {
			share = own
		}
	}
	return float64(sum.Sum32()%1000)/1000 < share || worker == "i-00" || worker == "i-01"
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
		if row.Number > seen {
			kept = append(kept, row)
			continue
		}
		m.world.noted(row)
	}
	m.ended = kept
}

// noted is when a holder said that it accounted for an end.
func (w *world) noted(row shard.EndedRow) {
	facts := w.jobs[row.Task[:16]]
	if facts == nil {
		return
	}
	switch row.How {
	case shard.Done:
		facts.done[row.Task] = w.now
	case shard.FailedRun:
		facts.failures[row.Task]++
	}
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
	if start.Until-time.Duration(m.born)*time.Hour <= w.now {
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
	if facts.terms.Advised {
		parts := strings.Split(start.Ticket, "|")
		if len(parts) != 4 || parts[0] != start.Task[:strings.LastIndex(start.Task, ".")] || parts[1] != m.id || parts[2] != fmt.Sprint(m.born) || parts[3] < fmt.Sprint(int64(w.now)) && len(parts[3]) <= len(fmt.Sprint(int64(w.now))) {
			return shard.TicketInvalid, "ticket"
		}
	}
	w.checkStart(m, start, facts, &spec, number, delay)
	w.starts++
	m.extend(start.Until)
	m.runs = append(m.runs, &modelRun{
		key: start.RunKey, worker: m, began: w.now, work: facts.work[number], lasts: spec.LongRunning, gang: spec.Gang,
		demand: spec.Reserved(), fails: m.fails || facts.poison, target: spec.TailTarget, fills: spec.Fills, pace: 100,
	})
	return shard.StartAccepted, ""
}

// checkStart checks the rules that a start may break.
func (w *world) checkStart(m *modelWorker, start shard.Start, facts *jobFacts, spec *job.Step, number int, delay time.Duration) {
	if used := m.used().Plus(spec.Reserved()); !used.Fits(m.capacity) {
		w.fault("LIMIT: %s on %s: %v of %v", start.Task, m.id, used, m.capacity)
	}
	for _, other := range w.workers {
		for _, r := range other.runs {
			if !spec.Speculative && r.key.Task == start.Task && !other.down {
				w.fault("TWICE: %s run %d starts on %s, run %d is on %s", start.Task, start.Run, m.id, r.key.Run, other.id)
			}
		}
	}
	if at, done := facts.done[start.Task]; done && !spec.LongRunning && !spec.Speculative {
		w.fault("TWICE: %s starts again, it was noted as done at %.2fs", start.Task, at.Seconds())
	}
	for _, after := range spec.After {
		for index := range facts.spec.Steps[after].Count {
			name := fmt.Sprintf("%s.0.%d.%d", facts.id, after, index)
			if !w.everDone(facts, name) {
				w.fault("ORDER: %s starts before %s is done", start.Task, name)
			}
		}
	}
	if facts.terms.MaxAttempts > 0 && facts.failures[start.Task] >= facts.terms.MaxAttempts && !spec.LongRunning {
		w.fault("BUDGET: %s starts after %d failures", start.Task, facts.failures[start.Task])
	}
	if facts.cancelled > 0 && w.now > facts.cancelled+3*time.Second && delay < time.Second {
		w.fault("UNASKED: %s starts %.2fs after its cancellation", start.Task, (w.now - facts.cancelled).Seconds())
	}
}

// everDone reports whether a run of the task, or of its gang, ended as done,
// noted or not.
func (w *world) everDone(facts *jobFacts, name string) bool {
	prefix := name[:strings.LastIndex(name, ".")+1]
	number := 0
	if _, err := fmt.Sscanf(name[19:], "%d", &number); err != nil {
		return false
	}
	gang := facts.spec.Steps[number].Gang
	for task := range facts.ended {
		if task == name || gang && strings.HasPrefix(task, prefix) {
			return true
		}
	}
	return false
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
	report := shard.Report{Born: m.born, Clock: m.clock()}
	for _, r := range m.runs {
		percent := 100.0
		if !r.lasts {
			percent = min(99, 100*float64(r.progress)/float64(r.work))
			if m.fullAfter > 0 && r.progress >= m.fullAfter {
				percent = 100
			}
		}
		row := shard.RunningRow{RunKey: r.key, Percent: percent}
		if r.target > 0 {
			row.Usage = float64(m.tail()) / float64(time.Millisecond)
		}
		report.Running = append(report.Running, row)
	}
	report.Ended = slices.Clone(m.ended)
	return report
}

func (m *modelWorker) end(r *modelRun, how shard.How) {
	m.runs = slices.DeleteFunc(m.runs, func(o *modelRun) bool { return o == r })
	m.number++
	if facts := m.world.jobs[r.key.Task[:16]]; facts != nil && how == shard.Done {
		facts.ended[r.key.Task] = true
	}
	m.highest[r.key.Task] = max(m.highest[r.key.Task], r.key.Run)
	m.ended = append(m.ended, shard.EndedRow{RunKey: r.key, Number: m.number, How: how})
	for _, reply := range m.waiting {
		m.world.after(0, nil, func(time.Time) { reply() })
	}
	m.waiting = nil
}

// members returns the runs of a gang's run number on all workers.
func (w *world) members(r *modelRun) []*modelRun {
	prefix := r.key.Task[:strings.LastIndex(r.key.Task, ".")+1]
	var members []*modelRun
	for _, m := range w.workers {
		if m.down {
			continue
		}
		for _, other := range m.runs {
			if strings.HasPrefix(other.key.Task, prefix) && other.key.Run == r.key.Run {
				members = append(members, other)
			}
		}
	}
	return members
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
			m.end(r, shard.Lapsed)
			continue
		case r.stopAt > 0 && w.now >= r.stopAt:
			m.end(r, shard.Stopped)
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
					m.end(r, shard.Alone)
				}
				continue
			}
		}
		r.progress += time.Duration(float64(step) / m.slow * float64(r.pace) / 100)
		if r.fails && r.progress >= r.work/2 {
			m.end(r, shard.FailedRun)
			for _, other := range members {
				if other != r {
					other.worker.end(other, shard.Broken)
				}
			}
			continue
		}
		if r.progress >= r.work {
			for _, member := range members {
				member.worker.end(member, shard.Done)
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

// requireWhole runs until every job has its final state, and fails on a rule
// that was broken.
func (w *world) requireWhole(limit time.Duration) {
	w.t.Helper()
	for end := w.now + limit; w.now < end && w.open() > 0 && len(w.faults) == 0; {
		w.run(500 * time.Millisecond)
		for _, id := range w.order {
			if w.jobs[id].cancelAt > 0 {
				w.cancel(id) // its caller had no answer
			}
		}
	}
	require.Empty(w.t, w.faults)
	for _, id := range w.order {
		facts := w.jobs[id]
		state, known := w.holder.shard.State(id)
		if !facts.accepted && !known {
			continue // its caller was never told
		}
		require.True(w.t, known, "job %s is lost", id)
		if facts.lasting() && facts.cancelAt == 0 {
			continue
		}
		require.True(w.t, state.Ended(), "job %s is %s after %s", id, state, w.now)
		if !facts.poison && facts.cancelAt == 0 && state == job.Failed {
			w.requireFailures(facts)
		}
	}
}

func (f *jobFacts) lasting() bool {
	for i := range f.spec.Steps {
		if f.spec.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// requireFailures checks that a failed job had as many failed ends as its queue allows.
func (w *world) requireFailures(facts *jobFacts) {
	most := 0
	for _, count := range facts.failures {
		most = max(most, count)
	}
	total := 0
	for _, count := range facts.failures {
		total += count
	}
	require.GreaterOrEqual(w.t, max(most, total), facts.terms.MaxAttempts, "job %s failed without cause", facts.id)
}

func (w *world) open() int {
	open := 0
	for _, id := range w.order {
		if w.jobs[id].lasting() && w.jobs[id].cancelAt == 0 {
			continue
		}
		if state, known := w.holder.shard.State(id); known && !state.Ended() {
			open++
		}
	}
	return open
}
