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
		Service: "ledger", Epoch: h.epoch, Lease: modelLease, OrphanTimeout: orphan, FinalStateRetention: 2 * time.Minute,
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
			ID: worker.id, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80), Incarnation: worker.born,
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

// submit hands a job in and tells the model its work.
func (w *world) submit(id string, terms job.Terms, spec job.Spec, work ...time.Duration) *jobFacts {
	if w.advised && !terms.RequiresTicket {
		terms.RequiresTicket = true
		terms.AdviceTime, terms.AdviceTimePerWorker, terms.TicketLifetime = 40*time.Millisecond, time.Millisecond, ticketLife
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

// noted is when a holder said that it accounted for an end.
func (w *world) noted(row shard.RunResult) {
	facts := w.jobs[row.Task[:16]]
	if facts == nil {
		return
	}
	switch row.EndReason {
	case shard.EndDone:
		facts.done[row.Task] = w.now
	case shard.EndFailed:
		facts.failures[row.Task]++
	}
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
