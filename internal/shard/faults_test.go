package shard_test

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/job"
)

// seedsInCI is how many seeds of the fault runs CI plays; SHARD_SEEDS raises it.
const seedsInCI = 60

func seeds(t *testing.T) int {
	text := os.Getenv("SHARD_SEEDS")
	if text == "" {
		return seedsInCI
	}
	count, err := strconv.Atoi(text)
	require.NoError(t, err)
	return count
}

// mixed submits a job of a random kind.
func (w *world) mixed(number int) {
	id := fmt.Sprintf("%016x", number+1)
	terms := job.Terms{Queue: "q", Priority: w.random.IntN(3), MaxAttempts: 3, Stretch: 3, Target: 2 * time.Second}
	small := job.Step{Count: 1 + w.random.IntN(6), Demand: job.Demand{MilliCPU: 1000, MemoryMB: 500}, Estimate: 700 * time.Millisecond}
	large := job.Step{Count: 1 + w.random.IntN(4), Demand: job.Demand{MilliCPU: 4000, MemoryMB: 2000}, Estimate: 3 * time.Second, After: []int{0}}
	gang := job.Step{Count: 2, Demand: job.Demand{MilliCPU: 7000, MemoryMB: 3000}, Estimate: 2 * time.Second, Gang: true}
	lasting := job.Step{Count: 2, Demand: job.Demand{MilliCPU: 500, MemoryMB: 500}, Estimate: 500 * time.Millisecond, LongRunning: true}
	switch w.random.IntN(8) {
	case 0, 1, 2:
		w.submit(id, terms, job.Spec{Text: id, Steps: []job.Step{small}}, 700*time.Millisecond)
	case 3, 4:
		w.submit(id, terms, job.Spec{Text: id, Steps: []job.Step{small, large}}, 600*time.Millisecond, 3*time.Second)
	case 5:
		w.submit(id, terms, job.Spec{Text: id, Steps: []job.Step{gang}}, 2*time.Second)
	case 6:
		w.submit(id, terms, job.Spec{Text: id, Steps: []job.Step{lasting}}, time.Hour)
	case 7:
		w.submit(id, terms, job.Spec{Text: id, Steps: []job.Step{small}}, 700*time.Millisecond).poison = true
	}
}

// trouble begins a random fault and returns what ends it.
func (w *world) trouble() func() {
	worker := w.workers[w.random.IntN(len(w.workers))]
	switch w.random.IntN(11) {
	case 0: // the holder is killed; the next one comes after a second or two
		w.holder.dead = true
		return func() { w.takeOver() }
	case 1: // the holder freezes, is replaced, and wakes
		former := w.holder
		former.frozen = true
		w.after(1500*time.Millisecond, nil, func(time.Time) { w.takeOver() })
		return func() { former.frozen = false }
	case 2: // the store turns the holder away alone; it still reaches the workers
		former := w.holder
		former.cut = true
		w.after(1500*time.Millisecond, nil, func(time.Time) { w.takeOver() })
		return func() { former.cut = false }
	case 3:
		w.storeDown = true
		return func() { w.storeDown = false }
	case 4:
		if worker.down {
			return func() {}
		}
		worker.crash()
		w.after(4500*time.Millisecond, nil, func(time.Time) { worker.listed = !worker.down })
		return func() {
			worker.restart()
			worker.listed = true
		}
	case 5:
		worker.cut = true
		w.after(4500*time.Millisecond, nil, func(time.Time) { worker.listed = !worker.cut })
		return func() { worker.cut, worker.listed = false, true }
	case 6:
		w.lost = 0.2
		return func() { w.lost = 0 }
	case 7:
		w.late = 0.1
		return func() { w.late = 0 }
	case 8:
		if worker.down {
			return func() {}
		}
		worker.drain(time.Duration(1+w.random.IntN(6)) * time.Second)
		return func() {
			worker.crash()
			worker.restart()
			worker.listed = true
		}
	case 9:
		worker.hangs = true
		return func() { worker.hangs = false }
	default:
		worker.fails = true
		return func() { worker.fails = false }
	}
}

func playFaults(t testing.TB, seed uint64) *world {
	w := newWorld(t, seed, 8, job.Demand{MilliCPU: 16000, MemoryMB: 32000})
	w.advised = seed%2 == 0
	w.run(time.Second)
	number := 0
	var ends []func()
	for second := range 24 {
		for range 3 {
			w.mixed(number)
			number++
			if w.random.IntN(12) == 0 {
				w.cancel(fmt.Sprintf("%016x", 1+w.random.IntN(number)))
			}
			w.run(330 * time.Millisecond)
		}
		switch second {
		case 3, 5, 12, 14:
			ends = append(ends, w.trouble())
		case 9, 20:
			for _, end := range ends {
				end()
			}
			ends = nil
		}
	}
	for _, worker := range w.workers {
		if worker.down {
			worker.restart()
		}
		worker.cut, worker.listed, worker.hangs, worker.fails = false, true, false, false
	}
	w.storeDown, w.lost, w.late = false, 0, 0
	if w.holder.dead {
		w.takeOver()
	}
	return w
}

// Guards the safety rules under two pairs of overlapping faults: no task twice,
// no worker over its capacity, order of steps, attempts, cancellations, and
// every accepted job ends.
func TestRulesHoldUnderFaults(t *testing.T) {
	for seed := range seeds(t) {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			w := playFaults(t, uint64(seed))
			w.requireWhole(2 * time.Minute)
			require.Greater(t, w.starts, 50)
		})
	}
}
