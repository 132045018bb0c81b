package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// playCrashes hands a job in and crashes the worker of one of its tasks soon after its
// start, twice. No run of the job ends as failed.
func playCrashes(folder, scratch string, trouble bool) (int, error) {
	const (
		id          = "5c0e7a21d94b36fa"
		watched     = id + ".0.0.3"
		crashes     = 2
		crashDelay  = 150 * time.Millisecond
		downFor     = 2 * time.Second
		workerCount = 13
	)
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
	crashed := 0
	if trouble {
		s.onStart = func(w *worker, r run) {
			mu.Lock()
			defer mu.Unlock()
			if r.task != watched || crashed == crashes {
				return
			}
			crashed++
			time.Sleep(crashDelay)
			w.crash(downFor)
		}
	}
	path, body := "/lohu930/"+id, `{"spec":"1500","steps":[{"count":6,"cpu":4000,"mem-mb":2800,"estimate-ms":1500}]}`
	if !s.submit(0, path, body) {
		return failed, errNoResult
	}
	state := ""
	for i, began := 0, time.Now(); time.Since(began) < 60*time.Second; i++ {
		time.Sleep(time.Second)
		status, answered := s.call(s.nodes[i%len(s.nodes)], http.MethodGet, path, "")
		if status == http.StatusOK && (strings.Contains(answered, "completed") || strings.Contains(answered, "failed")) {
			state = answered
			break
		}
	}
	ends := map[string]int{}
	for _, r := range s.allRuns() {
		if strings.HasPrefix(r.task, id) {
			ends[r.how]++
		}
	}
	s.record("%d crashes; the job is shown as %s; its runs by how they ended: %v", crashed, state, ends)
	switch {
	case strings.Contains(state, "failed") && ends["failed"] < 3:
		s.record("LOST: the job is shown as failed; max-attempts is 3, and %d of its runs ended as failed", ends["failed"])
		return broken, nil
	case state == "":
		return failed, errNoResult
	}
	return held, nil
}
