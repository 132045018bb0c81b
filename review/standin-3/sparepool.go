package main

import (
	"net/http"
	"time"
)

// playSparePool lets a job complete, replaces its route by one for another service, empties
// the former one and sets it to spare. Then it asks for the job.
func playSparePool(folder, scratch string, trouble bool) (int, error) {
	const id = "5c0e7a21d94b36f9"
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
	acceptedAt := time.Now()
	after, spare := before, ""
	if trouble {
		after, spare = movedRoutes, "zigo56a"
	}
	s.record("operator: in version 5 the route of /lohu930/ is %s, for %s", after[0].name, after[0].service)
	s.configure(manifestText(5, after, standardServices, ""))
	time.Sleep(configApply + time.Second)
	if trouble {
		for _, w := range s.workers {
			if w.service == spare {
				w.leave(4 * time.Second)
			}
		}
		time.Sleep(5 * time.Second)
	}
	s.record("operator: version 8 sets these services to spare: %q", spare)
	s.configure(manifestText(8, after, standardServices, spare))
	time.Sleep(configApply + contact)
	s.record("the job was accepted %s ago", time.Since(acceptedAt).Round(time.Second))
	gone := 0
	for _, n := range s.nodes {
		if status, _ := s.call(n, http.MethodGet, path, ""); status == http.StatusGone {
			gone++
		}
	}
	if gone > 0 {
		s.record("LOST: %d of %d machines answer 410 for an accepted job that nobody has cancelled", gone, len(s.nodes))
		return broken, nil
	}
	s.record("no machine answered 410")
	return held, nil
}
