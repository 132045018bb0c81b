package node

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"yuccalanding.example/yuccalanding/internal/control"
	"yuccalanding.example/yuccalanding/internal/journal"
)

// records passes durable jobs between the control thread and the log.
type records struct {
	process *Process

	mu sync.Mutex
	// unsent are the identities and kinds of records whose outcome is not known yet.
	unsent map[string]journal.Kind
	// up is false while the log takes no appends.
	up atomic.Bool
}

func newRecords(p *Process) *records {
	return &records{process: p, unsent: map[string]journal.Kind{}}
}

// append writes a record in the background.
func (r *records) append(ctx context.Context, out *control.AppendRecord) {
	kind, body := journal.KindSnapshot, any(nil)
	switch {
	case out.Began != nil:
		body = homeSnapshotBody{HomeBegan: *out.Began, Kind: snapshotOfHome}
	case out.Accepted != nil:
		kind, body = journal.KindJobAccepted, out.Accepted
	case out.Ended != nil:
		kind, body = journal.KindJobEnded, out.Ended
	}
	record, err := journal.NewRecord(kind, r.process.options.Settings.Node.Name, time.Now(), body)
	if err == nil {
		record.Identity = out.Identity
		var result <-chan journal.Result
		if result, err = r.process.journal.Append(record); err == nil {
			r.process.metrics.appended(string(kind))
			r.mark(out.Identity, kind)
			go r.await(ctx, out.Identity, result)
			return
		}
	}
	go r.process.push(ctx, &control.AppendFailed{Identity: out.Identity, Reason: err.Error()})
}

func (r *records) mark(identity string, kind journal.Kind) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unsent[identity] = kind
}

func (r *records) unmark(identity string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.unsent, identity)
}

// waitingJobs returns the number of records of durable jobs whose outcome is not
// known yet.
func (r *records) waitingJobs() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	jobs := 0
	for _, kind := range r.unsent {
		if kind == journal.KindJobAccepted || kind == journal.KindJobEnded {
			jobs++
		}
	}
	return jobs
}

func (r *records) await(ctx context.Context, identity string, result <-chan journal.Result) {
	select {
	case <-ctx.Done():
	case end := <-result:
		if end.Err != nil && !errors.Is(end.Err, journal.ErrOutcomeUnknown) {
			r.process.push(ctx, &control.AppendFailed{Identity: identity, Reason: end.Err.Error()})
		}
	}
	r.unmark(identity)
}

// withdraw takes back what was not sent yet when the log goes down, so that
// its submitters get a true "not run" at once.
func (r *records) withdraw() {
	r.mu.Lock()
	var identities []string
	for identity := range r.unsent {
		identities = append(identities, identity)
	}
	r.mu.Unlock()
	for _, identity := range identities {
		r.process.journal.Withdraw(identity)
	}
}

func (r *records) setUp(ctx context.Context, up bool) {
	r.up.Store(up)
	r.process.push(ctx, &control.LogState{Up: up})
}

// follow reads the log from its oldest record and reports the log's state.
func (r *records) follow(ctx context.Context) error {
	p := r.process
	r.setUp(ctx, true)
	follower := p.journal.Follow(ctx, 0)
	for {
		select {
		case state := <-p.journal.States():
			if state == journal.StateDown {
				r.withdraw()
			}
			r.setUp(ctx, state != journal.StateDown)
		case delivery, open := <-follower.Deliveries:
			if !open {
				return <-follower.Ended
			}
			r.deliver(ctx, &delivery)
		}
	}
}

func (r *records) deliver(ctx context.Context, delivery *journal.Delivery) {
	configuration := r.process.configuration
	if delivery.Lost != nil {
		configuration.lost(delivery.Lost.To)
	}
	for i := range delivery.Entries {
		entry := &delivery.Entries[i]
		if entry.Fault == nil {
			r.deliverEntry(ctx, entry)
		}
		configuration.passed(entry.Offset)
	}
	configuration.advance(ctx, delivery.Next, delivery.CaughtUp)
}

func (r *records) deliverEntry(ctx context.Context, entry *journal.Entry) {
	in := &control.RecordRead{Offset: uint64(entry.Offset)}
	var err error
	switch entry.Record.Kind {
	case journal.KindJobAccepted:
		in.Accepted = &control.JobAccepted{}
		err = entry.Record.Decode(in.Accepted)
	case journal.KindJobEnded:
		in.Ended = &control.JobEnded{}
		err = entry.Record.Decode(in.Ended)
	case journal.KindPolicyChange:
		r.process.configuration.changeRead(entry.Offset, &entry.Record)
		return
	case journal.KindSnapshot:
		var kind snapshotKind
		if err = entry.Record.Decode(&kind); err == nil && kind.Kind == snapshotOfPolicy {
			r.process.configuration.snapshotRead(ctx, entry.Offset, &entry.Record)
			return
		}
		var body homeSnapshotBody
		err = entry.Record.Decode(&body)
		in.Began = &body.HomeBegan
	default:
		return
	}
	if err == nil {
		r.process.push(ctx, in)
	}
}
