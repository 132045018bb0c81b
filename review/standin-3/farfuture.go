package main

import (
	"fmt"
	"net/http"
	"time"
)

// farStart is 9999-12-31 23:59:59 at UTC-5, the largest date of many programs, in
// milliseconds since 1970: the year 10000 in UTC.
const farStart = 253402318799000

// playFarFuture hands in jobs that are due in the year 10000, stops and starts all
// machines in turn, and asks for the jobs that were accepted.
func playFarFuture(folder, scratch string, trouble bool) (int, error) {
	routes := []route{{"r-ji9n73h", "/lohu930/", "zigo56a"}, {"r-s989anu", "/cufi504/", "gopu72b"}}
	s, err := newSite(folder, scratch, manifestText(1, routes, standardServices, ""), standardWorkers)
	if err != nil {
		return failed, err
	}
	defer s.close()
	body := fmt.Sprintf(`{"spec":"700","steps":[{"count":1,"cpu":500,"mem-mb":256,"estimate-ms":700}],"repeat-count":1,"start-at-ms":%d}`, int64(farStart))
	var accepted []string
	for i, id := range []string{"00000000000000a1", "00000000000000a2"} {
		path := "/lohu930/" + id
		if s.submit(3*i, path, body) {
			accepted = append(accepted, path)
		}
	}
	if len(accepted) == 0 {
		s.record("no such job was accepted")
		return held, nil
	}
	if trouble {
		for _, n := range s.nodes {
			s.record("%s gets SIGTERM", n.name)
			n.terminate()
			if err := n.start(); err != nil {
				return failed, err
			}
			s.record("%s starts again", n.name)
			time.Sleep(2 * time.Second)
		}
	}
	time.Sleep(contact + visible)
	gone := 0
	for _, path := range accepted {
		for _, n := range s.nodes {
			if status, _ := s.call(n, http.MethodGet, path, ""); status == http.StatusGone {
				gone++
			}
		}
	}
	if gone > 0 {
		s.record("LOST: %d answers 410 for %d accepted jobs that nobody has cancelled", gone, len(accepted))
		return broken, nil
	}
	s.record("%d jobs are known to all machines", len(accepted))
	return held, nil
}
