package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// lostAfter is how long a task that lasts may have no run: it counts from 6 s after its
	// last run, and 3 s long.
	lostAfter = 9 * time.Second
	// calmBefore is how long there must have been no disruption at the end of that time.
	calmBefore = 7 * time.Second
)

// playStanding hands in two jobs whose tasks last, and crashes the worker that has started
// most of the tasks right after that.
func playStanding(folder, scratch string, trouble bool) (int, error) {
	const (
		tasks       = 36 // of each job: the widest step of the site
		workerCount = 7
		downFor     = time.Second
		crashDelay  = 200 * time.Millisecond
	)
	jobs := []string{"5c0e7a21d94b36fa", "5c0e7a21d94b36fb"}
	routes := []route{{"r-ji9n73h", "/lohu930/", "zigo56a"}}
	s, err := newSite(folder, scratch, manifestText(1, routes, []string{"zigo56a"}, ""), func(s *site) error {
		for i := range workerCount {
			w, err := newWorker(s, fmt.Sprintf("zigo56a-%d", i), "zigo56a", map[string]int{"cpu": 16000, "mem-mb": 32768, "gpu": 0})
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
	var mu sync.Mutex
	starts := map[*worker]int{}
	s.onStart = func(w *worker, _ run) {
		mu.Lock()
		defer mu.Unlock()
		starts[w]++
	}
	body := fmt.Sprintf(`{"spec":%q,"steps":[{"count":%d,"cpu":200,"mem-mb":100,"estimate-ms":500,"long-running":true}]}`, standing, tasks)
	for _, id := range jobs {
		if !s.submit(0, "/lohu930/"+id, body) {
			return failed, errNoResult
		}
	}
	time.Sleep(crashDelay)
	var busiest *worker
	mu.Lock()
	for _, w := range s.workers {
		if busiest == nil || starts[w] > starts[busiest] {
			busiest = w
		}
	}
	mu.Unlock()
	crashedAt := time.Now()
	if trouble {
		busiest.crash(downFor)
	}
	time.Sleep(25 * time.Second)
	lost := 0
	ended := time.Now()
	for _, id := range jobs {
		for i := range tasks {
			name := fmt.Sprintf("%s.0.0.%d", id, i)
			if gap, from := longestGap(s.allRuns(), name, crashedAt, ended); gap > lostAfter && from.Add(gap).Sub(crashedAt.Add(downFor)) >= calmBefore {
				lost++
				s.record("LOST: %s has no run for %.1f s", name, gap.Seconds())
			}
		}
	}
	if lost > 0 {
		s.record("%d of %d tasks that last have no run for over %s, beside nearly empty workers", lost, len(jobs)*tasks, lostAfter)
		return broken, nil
	}
	s.record("each task that lasts has had a run all the while, or again in time")
	return held, nil
}

// longestGap returns the longest time without a run of a task between two moments, and
// when it began.
func longestGap(runs []run, task string, from, until time.Time) (gap time.Duration, began time.Time) {
	covered := from
	for _, r := range runs { // in the order of their starts
		if !strings.EqualFold(r.task, task) {
			continue
		}
		if idle := r.startedAt.Sub(covered); idle > gap {
			gap, began = idle, covered
		}
		end := r.endedAt
		if end.IsZero() {
			end = until
		}
		if end.After(covered) {
			covered = end
		}
	}
	if idle := until.Sub(covered); idle > gap {
		gap, began = idle, covered
	}
	return gap, began
}
