package entry

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"yuccalanding.example/yuccalanding/internal/election"
	"yuccalanding.example/yuccalanding/internal/manifest"
	"yuccalanding.example/yuccalanding/platform"
)

// A newer manifest may send a queue to another service; the jobs of the queue stay with the service
// that accepted them. A process that starts later knows only the newest manifest, so a record in the
// leadership topic names the services that a queue has had. Before a leader accepts a job, that record
// has to name its own service as the present one, and the former services must not know the job.
//
// A caller's repeat may reach a node with an older manifest, which forwards it to a former service.
// The question to a former service carries the record, so its leader then rejects such submissions. A
// later leader of that service has read the record, as its claim follows it in the topic.

const (
	// queueHistoryKey is the key prefix of the records of queues.
	queueHistoryKey = "queues/"
	// maxFormerNames bounds the names of a queue that are kept for each service. They are only
	// needed to count its waiting jobs.
	maxFormerNames = 8
	// recordQueueTimeout bounds the time to store a queue's record.
	recordQueueTimeout = time.Second
	// recordQueueRetries is how often the append of a record is repeated because other records
	// were appended first.
	recordQueueRetries = 20
)

// errManifestOutdated means that a newer manifest than the sender's has moved the queue.
var errManifestOutdated = errors.New("the queue was moved by a newer manifest than this node has")

// queueKey returns the key of a queue's record. A queue is the path under which its jobs are
// submitted; routes with other names may follow each other there.
func queueKey(queue manifest.Queue) string {
	return fmt.Sprintf("%s%016x", queueHistoryKey, xxhash.Sum64String(queue.Host+"\n"+queue.PathPrefix))
}

// servedQueue is a service and the name under which it has served a queue.
type servedQueue struct {
	Service string `cbor:"1,keyasint"`
	Queue   string `cbor:"2,keyasint"`
}

// queueHistory names the services that a queue has had.
type queueHistory struct {
	// ManifestVersion is the version that made the first one of Served the present one.
	ManifestVersion int64         `cbor:"1,keyasint"`
	Served          []servedQueue `cbor:"2,keyasint"` // the newest first
	// Offset is that of the record. It isn't stored.
	Offset int64 `cbor:"3,keyasint,omitempty"`
}

// covers reports whether the present service is the one to which a manifest of this version sends the
// queue. Only a newer version changes the name.
func (h queueHistory) covers(served servedQueue, version int64) bool {
	return len(h.Served) > 0 && h.Served[0].Service == served.Service && (h.Served[0] == served || h.ManifestVersion >= version)
}

// outdates reports whether a node with this manifest version can't know the present service.
func (h queueHistory) outdates(version int64, served servedQueue) bool {
	return len(h.Served) > 0 && h.Served[0].Service != served.Service && h.ManifestVersion >= version
}

// formerServices returns the services other than the present one.
func (h queueHistory) formerServices() []string {
	var services []string
	for _, served := range h.Served {
		if served.Service != h.Served[0].Service && !slices.Contains(services, served.Service) {
			services = append(services, served.Service)
		}
	}
	return services
}

// movedTo returns the history with another present service and name. Of each former service it keeps
// the newest names, and always one.
func (h queueHistory) movedTo(served servedQueue, version int64) queueHistory {
	next := queueHistory{ManifestVersion: version, Served: []servedQueue{served}}
	names := map[string]int{served.Service: 1}
	for _, former := range h.Served {
		if former != served && names[former.Service] < maxFormerNames {
			names[former.Service]++
			next.Served = append(next.Served, former)
		}
	}
	return next
}

// applyQueueRecord applies a record of a queue's history. The caller holds p.mu.
func (p *Process) applyQueueRecord(record platform.Record) {
	var history queueHistory
	if err := cbor.Unmarshal(record.Value, &history); err != nil {
		p.log("record-unreadable", "key", record.Key, "cause", err)
		return
	}
	history.Offset = record.Offset
	p.updateQueueHistory(record.Key, history)
}

// updateQueueHistory keeps a queue's history if it is newer than the known one. The caller holds
// p.mu.
func (p *Process) updateQueueHistory(key string, history queueHistory) {
	if known := p.queueHistories[key]; len(history.Served) == 0 || len(known.Served) > 0 && known.Offset >= history.Offset {
		return
	}
	p.queueHistories[key] = history
	if former := history.formerServices(); len(former) > 0 {
		p.log("queue-moved", "queue", history.Served[0].Queue, "service", history.Served[0].Service, "former", former, "version", history.ManifestVersion)
	}
	p.notifyLeadersChanged()
}

// queueHistory returns the known history of a queue.
func (p *Process) queueHistory(key string) queueHistory {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queueHistories[key]
}

// recordQueue stores that a manifest of this version sends a queue to a service, unless the queue's
// record says so, and returns the history. The error is errManifestOutdated if a newer manifest
// sends the queue elsewhere.
func (p *Process) recordQueue(ctx context.Context, key string, served servedQueue, version int64) (queueHistory, error) {
	ctx, cancel := context.WithTimeout(ctx, recordQueueTimeout)
	defer cancel()
	var history queueHistory
	offset, err := p.appendToLeadershipTopic(ctx, recordQueueRetries, func() (platform.Record, error) {
		history = p.queueHistories[key]
		switch {
		case history.covers(served, version):
			return platform.Record{}, errAlreadyStored
		case history.outdates(version, served):
			return platform.Record{}, errManifestOutdated
		}
		history = history.movedTo(served, version)
		value, err := cbor.Marshal(history)
		return platform.Record{Key: key, Value: value}, err
	})
	switch {
	case errors.Is(err, errAlreadyStored):
		return history, nil
	case err != nil:
		return queueHistory{}, err
	}
	history.Offset = offset
	p.mu.Lock()
	defer p.mu.Unlock()
	p.updateQueueHistory(key, history)
	return history, nil
}

// errAlreadyStored means that there is nothing to append.
var errAlreadyStored = errors.New("the record is stored already")

// appendToLeadershipTopic appends the record that next returns if the topic ends where this node has
// read it. If the append fails, as when another record was appended first, it calls next again, up
// to the given number of times. It returns the error of next. next is called with p.mu held.
func (p *Process) appendToLeadershipTopic(ctx context.Context, retries int, next func() (platform.Record, error)) (offset int64, err error) {
	for {
		p.mu.Lock()
		record, err := next()
		expectedEnd, leadersChanged := p.leadersEnd, p.leadersChanged
		p.mu.Unlock()
		if err != nil {
			return 0, err
		}
		offset, end, err := p.appendAtEnd(ctx, record, expectedEnd)
		if err == nil {
			p.mu.Lock()
			p.leadersEnd = max(p.leadersEnd, end)
			p.mu.Unlock()
			return offset, nil
		}
		if retries--; retries < 0 || ctx.Err() != nil {
			return 0, err
		}
		select {
		case <-leadersChanged:
		case <-time.After(election.CheckInterval):
		case <-ctx.Done():
		}
	}
}
