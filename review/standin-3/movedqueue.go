package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

var errNoResult = errors.New("the deployment didn't serve the job before the disruption")

// standardWorkers adds seven workers of two services.
func standardWorkers(s *site) error {
	for i := range 7 {
		service := []string{"zigo56a", "gopu72b"}[i%2]
		w, err := newWorker(s, fmt.Sprintf("%s-%d", service, i), service, map[string]int{"cpu": 16000, "mem-mb": 32768, "gpu": 0})
		if err != nil {
			return err
		}
		s.workers = append(s.workers, w)
	}
	return nil
}

var standardServices = []string{"zigo56a", "gopu72b"}

// movedRoutes are the routes after the first one was replaced by one for another service.
var movedRoutes = []route{{"r-k3p0v7e", "/lohu930/", "gopu72b"}, {"r-s989anu", "/cufi504/", "gopu72b"}}

// startsAfterDone returns the runs that started after a run of the same task had ended as
// done, if that end was taken note of.
func startsAfterDone(runs []run) []run {
	var again []run
	for _, later := range runs {
		for _, done := range runs {
			if done.task == later.task && done.how == "done" && !done.acknowledgedAt.IsZero() && later.startedAt.After(done.endedAt) {
				again = append(again, later)
				break
			}
		}
	}
	return again
}

// playMovedQueue hands a job in, lets it complete, replaces its route by one for another
// service in a new manifest, and sends the same request again, as consumers do seconds after the answer.
func playMovedQueue(folder, scratch string, trouble bool) (int, error) {
	const id = "5c0e7a21d94b36f8"
	before := []route{{"r-ji9n73h", "/lohu930/", "zigo56a"}, {"r-s989anu", "/cufi504/", "gopu72b"}}
	s, err := newSite(folder, scratch, manifestText(1, before, standardServices, ""), standardWorkers)
	if err != nil {
		return failed, err
	}
	defer s.close()
	path, body := "/lohu930/"+id, `{"spec":"700","steps":[{"count":4,"cpu":1500,"mem-mb":256,"estimate-ms":700}]}`
	if !s.submit(0, path, body) || !s.awaitState(path, "completed", 10*time.Second) {
		return failed, errNoResult
	}
	after := before
	if trouble {
		after = movedRoutes
		s.record("operator: version 5 removes the route r-ji9n73h and adds r-k3p0v7e, with the same host and path, for gopu72b")
	} else {
		s.record("operator: version 5 changes nothing")
	}
	s.configure(manifestText(5, after, standardServices, ""))
	time.Sleep(configApply + time.Second)
	// The repeat that sometimes arrives seconds after the 2xx for the same ID.
	s.call(s.nodes[3], http.MethodPost, path, body)
	time.Sleep(5 * time.Second)
	s.call(s.nodes[4], http.MethodGet, path, "")
	again := startsAfterDone(s.allRuns())
	for _, r := range again {
		s.record("TWICE: %s run %d started on %s after the task had ended as done", r.task, r.number, r.worker)
	}
	if len(again) > 0 {
		return broken, nil
	}
	s.record("no task started again")
	return held, nil
}
