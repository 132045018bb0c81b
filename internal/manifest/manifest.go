// Package manifest holds the operators' configuration of queues and services,
// and finds the queue that a caller's request names.
//
// # Usage
//
//	current := manifest.New(version, queues, services, maxBodyBytes)
//	queue, rest, found := current.Find("jobs.example", "/quick/5c0e7a21d94b36f8")
//
// A Manifest is immutable; a newer version is a new value.
package manifest

import (
	"slices"
	"sort"
	"strings"

	"yuccalanding.example/yuccalanding/internal/job"
)

// Queue takes the jobs submitted under one route.
type Queue struct {
	Host       string
	PathPrefix string
	// Service names the pool of workers that run the queue's tasks.
	Service string
	Terms   job.Terms
}

// Service is a pool of workers.
type Service struct {
	Name string
	// EnforcesCapacity means that workers refuse tasks that exceed their
	// capacity.
	EnforcesCapacity bool
	// Disabled means that the pool takes no work.
	Disabled bool
}

// Manifest is one version of the operators' configuration.
type Manifest struct {
	Version  int64
	Services []Service
	// MaxBodyBytes bounds the body of a caller's request.
	MaxBodyBytes int64
	byHost       map[string][]Queue
	byName       map[string]Queue
}

// New returns a manifest that matches the longest path prefixes of each host
// first.
func New(version int64, queues []Queue, services []Service, maxBodyBytes int64) *Manifest {
	m := &Manifest{
		Version: version, Services: services, MaxBodyBytes: maxBodyBytes,
		byHost: map[string][]Queue{}, byName: map[string]Queue{},
	}
	for _, queue := range queues {
		m.byHost[queue.Host] = append(m.byHost[queue.Host], queue)
		m.byName[queue.Terms.Queue] = queue
	}
	for _, list := range m.byHost {
		sort.Slice(list, func(i, j int) bool {
			if len(list[i].PathPrefix) != len(list[j].PathPrefix) {
				return len(list[i].PathPrefix) > len(list[j].PathPrefix)
			}
			return list[i].PathPrefix < list[j].PathPrefix
		})
	}
	return m
}

// Find returns the host's queue whose path prefix is the longest that matches,
// and the rest of the path.
func (m *Manifest) Find(host, path string) (queue Queue, rest string, found bool) {
	for _, queue := range m.byHost[host] {
		if after, has := strings.CutPrefix(path, queue.PathPrefix); has {
			return queue, after, true
		}
	}
	return Queue{}, "", false
}

// Queue returns the queue with this name.
func (m *Manifest) Queue(name string) (Queue, bool) {
	queue, found := m.byName[name]
	return queue, found
}

// Disables reports whether the manifest contains the service as disabled.
func (m *Manifest) Disables(service string) bool {
	return slices.ContainsFunc(m.Services, func(s Service) bool { return s.Name == service && s.Disabled })
}

// HasService reports whether the manifest contains the service.
func (m *Manifest) HasService(name string) bool {
	for _, service := range m.Services {
		if service.Name == name {
			return true
		}
	}
	return false
}
