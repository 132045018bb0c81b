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

// logAdapter appends the records of the control thread to the log, and replays the
// log to the control thread and the configuration.
type logAdapter struct {
	process *Process

	mu sync.Mutex
	// unresolved holds, by identity, the kind of each appended record whose outcome
	// is not known yet.
	unresolved map[string]journal.Kind
	// logUp is false while the log accepts no appends.
	logUp atomic.Bool
}

func newLogAdapter(p *Process) *logAdapter {
	return &logAdapter{process: p, unresolved: map[string]journal.Kind{}}
}

// append writes a record in the background and reports a failure to the control
// thread. Success is detected when the record is read back.
func (a *logAdapter) append(ctx context.Context, out *control.AppendRecord) {
	kind, body := journal.KindSnapshot, any(nil)
	switch {
	case out.Began != nil:
		body = homeSnapshotBody{HomeBegan: *out.Began, Kind: homeSnapshotKind}
	case out.Accepted != nil:
		kind, body = journal.KindJobAccepted, out.Accepted
	case out.Ended != nil:
		kind, body = journal.KindJobEnded, out.Ended
	}
	record, err := journal.NewRecord(kind, a.process.options.Settings.Node.Name, time.Now(), body)
	if err == nil {
		record.Identity = out.Identity
		var result <-chan journal.Result
		if result, err = a.process.journal.Append(record); err == nil {
			a.process.metrics.countRecord(string(kind))
			a.addUnresolved(out.Identity, kind)
			go a.awaitResult(ctx, out.Identity, result)
			return
		}
	}
	go a.process.sendInput(ctx, &control.AppendFailed{Identity: out.Identity, Reason: err.Error()})
}

// addUnresolved records that the outcome of an appended record is not known yet.
func (a *logAdapter) addUnresolved(identity string, kind journal.Kind) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unresolved[identity] = kind
}

func (a *logAdapter) removeUnresolved(identity string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.unresolved, identity)
}

// unresolvedJobRecords returns the number of unresolved records of durable jobs.
func (a *logAdapter) unresolvedJobRecords() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	count := 0
	for _, kind := range a.unresolved {
		if kind == journal.KindJobAccepted || kind == journal.KindJobEnded {
			count++
		}
	}
	return count
}

// awaitResult waits for the result of an append. An unknown outcome is not reported
// as a failure, since the record may still be read back.
func (a *logAdapter) awaitResult(ctx context.Context, identity string, result <-chan journal.Result) {
	select {
	case <-ctx.Done():
	case appended := <-result:
		if appended.Err != nil && !errors.Is(appended.Err, journal.ErrOutcomeUnknown) {
			a.process.sendInput(ctx, &control.AppendFailed{Identity: identity, Reason: appended.Err.Error()})
		}
	}
	a.removeUnresolved(identity)
}

// withdrawUnsent withdraws the records that were not sent yet when the log goes
// down, so that their submitters immediately get the answer "not run" and the
// records can't be appended later, which would contradict that answer.
func (a *logAdapter) withdrawUnsent() {
	a.mu.Lock()
	var identities []string
	for identity := range a.unresolved {
		identities = append(identities, identity)
	}
	a.mu.Unlock()
	for _, identity := range identities {
		a.process.journal.Withdraw(identity)
	}
}

// setLogState records whether the log accepts appends and tells the control thread.
func (a *logAdapter) setLogState(ctx context.Context, logUp bool) {
	a.logUp.Store(logUp)
	a.process.sendInput(ctx, &control.LogState{Up: logUp})
}

// follow replays the log from its oldest record and follows the state of the log
// service. It returns the error that ended the reading of the log.
func (a *logAdapter) follow(ctx context.Context) error {
	p := a.process
	a.setLogState(ctx, true)
	follower := p.journal.Follow(ctx, 0)
	for {
		select {
		case state := <-p.journal.States():
			if state == journal.StateDown {
				a.withdrawUnsent()
			}
			a.setLogState(ctx, state != journal.StateDown)
		case delivery, ok := <-follower.Deliveries:
			if !ok {
				return <-follower.Ended
			}
			a.handleDelivery(ctx, &delivery)
		}
	}
}

// handleDelivery replays the entries of one read from the log. It skips entries that
// can't be decoded.
func (a *logAdapter) handleDelivery(ctx context.Context, delivery *journal.Delivery) {
	configuration := a.process.configuration
	if delivery.Lost != nil {
		configuration.markDropped(delivery.Lost.To)
	}
	for i := range delivery.Entries {
		entry := &delivery.Entries[i]
		if entry.DecodeErr == nil {
			a.handleEntry(ctx, entry)
		}
		configuration.markReplayed(entry.Offset)
	}
	configuration.advance(ctx, delivery.Next, delivery.CaughtUp)
}

// handleEntry passes a job or home record to the control thread, and a policy record
// to the configuration.
func (a *logAdapter) handleEntry(ctx context.Context, entry *journal.Entry) {
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
		a.process.configuration.replayChange(entry.Offset, &entry.Record)
		return
	case journal.KindSnapshot:
		var header snapshotHeader
		if err = entry.Record.Decode(&header); err == nil && header.Kind == policySnapshotKind {
			a.process.configuration.replaySnapshot(ctx, entry.Offset, &entry.Record)
			return
		}
		var body homeSnapshotBody
		err = entry.Record.Decode(&body)
		in.Began = &body.HomeBegan
	default:
		return
	}
	if err == nil {
		a.process.sendInput(ctx, in)
	}
}
