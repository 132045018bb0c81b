package entry

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"yuccalanding.example/yuccalanding/internal/right"
	"yuccalanding.example/yuccalanding/platform"
)

// takeRight notes a right's record; the lock is held.
func (p *Process) takeRight(record platform.Record) {
	if service, is := strings.CutPrefix(record.Key, countKey); is {
		p.takeCount(service, record)
		return
	}
	if service, is := strings.CutPrefix(record.Key, countingKey); is {
		p.takeCounting(service, string(record.Value))
		return
	}
	var read rightRecord
	if err := cbor.Unmarshal(record.Value, &read); err != nil {
		p.log("record-unreadable", "key", record.Key, "cause", err)
		return
	}
	p.noteRight(record.Key, right.Holding{Epoch: record.Offset + 1, Node: read.Node, Boot: read.Boot, Address: read.Address, Released: read.Released}, "store")
}

// noteRight takes what the store or another node says of a right, if it is
// newer; the lock is held.
func (p *Process) noteRight(name string, holding right.Holding, from string) {
	if p.rights[name].Epoch >= holding.Epoch {
		return
	}
	p.rights[name] = holding
	p.log("right-seen", "service", name, "epoch", holding.Epoch, "holder", holding.Node, "released", holding.Released, "from", from)
	if h := p.holders[name]; h != nil && holding.Epoch > h.epoch && !(holding.Node == p.settings.Node && holding.Boot == p.boot) {
		h.lose("a newer claim is known")
	}
	p.announce()
}

// announce wakes those who wait for a change of a right; the lock is held.
func (p *Process) announce() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// claimRights greets the holders and claims rights that nobody uses.
func (p *Process) claimRights(ctx context.Context) {
	watched := map[string]chan struct{}{}
	for ctx.Err() == nil {
		p.mu.Lock()
		changed := p.changed
		p.mu.Unlock()
		for _, part := range p.parts(ctx) {
			if watched[part.name()] == nil {
				done := make(chan struct{})
				watched[part.name()] = done
				go func() { defer close(done); p.watchRight(ctx, part) }()
			}
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(right.Step):
		}
	}
	for _, done := range watched {
		<-done
	}
}

// parts returns the shards of the services in force. It counts the shards of
// a service that is new.
func (p *Process) parts(ctx context.Context) []part {
	current := p.manifest.Load()
	if current == nil {
		return nil
	}
	var parts []part
	for _, service := range current.Services {
		if service.Spare {
			continue
		}
		p.mu.Lock()
		count, read := p.counts[service.Name], p.rightsRead
		p.mu.Unlock()
		if count == 0 && read {
			p.countShards(ctx, service.Name)
			continue
		}
		for index := range count {
			parts = append(parts, part{service.Name, index, count})
		}
	}
	return parts
}

// watchRight is the loop of one service.
func (p *Process) watchRight(ctx context.Context, shard part) {
	service := shard.name()
	lastHello := time.Time{}
	var greeting chan helloResult
	greeted := right.Holding{}
	for ctx.Err() == nil {
		p.mu.Lock()
		holding, read, changed, at := p.rights[service], p.rightsRead, p.changed, p.rightsEnd
		v := p.viewOf(service, holding)
		holds := p.holders[service] != nil
		p.mu.Unlock()
		now := time.Now()
		mine := holding.Node == p.settings.Node
		due := now.Sub(lastHello) >= helloPause(v) || greeted.Epoch != holding.Epoch
		if greeting == nil && !mine && holding.Epoch > 0 && due {
			lastHello, greeted = now, holding
			greeting = make(chan helloResult, 1)
			go func(result chan helloResult) { result <- p.greet(ctx, service, holding) }(greeting)
		}
		wait := right.Step
		if read && !holds && !p.stopping.Load() {
			wait = p.consider(ctx, shard, holding, v, now, at)
		}
		select {
		case <-ctx.Done():
		case result := <-greeting:
			greeting = nil
			p.heard(service, greeted, result)
		case <-changed:
		case <-time.After(wait):
		}
	}
}

// viewOf returns the view of a holding; the lock is held.
func (p *Process) viewOf(service string, holding right.Holding) *view {
	v := p.views[service]
	if v == nil || v.holding.Epoch != holding.Epoch {
		next := &view{holding: holding, since: time.Now(), heard: time.Now()}
		if v != nil {
			next.peers, next.watches, next.pause = v.peers, v.watches, v.pause
		}
		if holding.Epoch == 0 || holding.Released || holding.Node == p.settings.Node {
			next.vacant = time.Now()
		}
		p.views[service] = next
		v = next
	}
	return v
}

type helloResult struct {
	answer helloAnswer
	err    error
	sent   time.Time
}

func (p *Process) greet(ctx context.Context, service string, holding right.Holding) helloResult {
	sent := time.Now()
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	answer, err := ask[helloAnswer](ctx, p.peers, holding.Address, pathHello, helloRequest{
		Service: service, Node: p.settings.Node, Address: p.address, Near: p.near() && p.settings.Cores >= smallCores,
	})
	return helloResult{answer, err, sent}
}

// heard notes the answer to a greeting.
func (p *Process) heard(service string, greeted right.Holding, result helloResult) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.views[service]
	if v == nil || v.holding.Epoch != greeted.Epoch {
		return
	}
	now := time.Now()
	switch {
	case result.err == nil:
		v.heard, v.refused = result.sent, time.Time{}
		if !v.holding.Released {
			v.vacant = time.Time{}
		}
		v.proofAge, v.peers, v.watches = result.answer.ProofAge, result.answer.Peers, result.answer.Watch
		v.pause = result.answer.Pause
	case errors.Is(result.err, errNotHolder):
		// A node that has just claimed may answer before it knows that it has.
		if v.vacant.IsZero() && now.Sub(v.since) >= claimTimeout {
			v.vacant = now
		}
	case notSent(result.err) && !isTimeout(result.err):
		if v.refused.IsZero() {
			v.refused = now
		}
	}
}

func isTimeout(err error) bool {
	var netError net.Error
	return errors.As(err, &netError) && netError.Timeout()
}

// consider claims the right if it is free. It returns the pause until the next look.
func (p *Process) consider(ctx context.Context, shard part, holding right.Holding, v *view, now time.Time, at int64) time.Duration {
	service := shard.name()
	p.mu.Lock()
	known := right.View{
		Now: now, Holding: holding, Self: holding.Node == p.settings.Node, Vacant: v.vacant, Heard: v.heard, Refused: v.refused,
		ProofAge: v.proofAge, StoreSound: p.storeSound(), Near: p.near(), Small: p.settings.Cores < smallCores,
		Load: len(p.holders), Rights: len(p.views), Jitter: p.jitter(service),
		Newer: p.boot > holding.Boot, Watches: v.watches, Pause: v.pause,
	}
	others := make([]netip.AddrPort, 0, len(v.peers))
	for _, address := range v.peers {
		if address != p.address && address != holding.Address {
			others = append(others, address)
		}
	}
	p.mu.Unlock()
	claim, cause := right.Decide(known)
	if !claim {
		return right.Wait(known)
	}
	if cause == right.Silent {
		known.Others, known.Reached, known.Vouched = p.askOthers(ctx, service, holding, others)
		if claim, cause = right.Decide(known); !claim {
			return right.Step
		}
	}
	p.mu.Lock()
	turn := p.turns.Begin(now)
	p.mu.Unlock()
	if !turn {
		return claimTurn
	}
	stored := p.claim(ctx, shard, cause, now.Sub(v.heard), at)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.turns.End(time.Now(), stored, rand.Float64())
	return claimTurn
}

func (p *Process) jitter(service string) float64 {
	sum := fnv.New32a()
	_, _ = io.WriteString(sum, p.settings.Node+"/"+service)
	return float64(sum.Sum32()%1000) / 1000
}

// askOthers asks the other nodes whether they hear the holder.
func (p *Process) askOthers(ctx context.Context, service string, holding right.Holding, others []netip.AddrPort) (asked, reached int, vouched bool) {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	answers := make(chan *viewAnswer, len(others))
	for _, address := range others {
		go func() {
			answer, err := ask[viewAnswer](ctx, p.peers, address, pathView, jobRequest{Service: service})
			if err != nil {
				answers <- nil
				return
			}
			answers <- &answer
		}()
	}
	for range others {
		if answer := <-answers; answer != nil {
			reached++
			if answer.Epoch == holding.Epoch && answer.Heard < right.SuspectAfter {
				vouched = true
			}
		}
	}
	return len(others), reached, vouched
}

// claim appends a claim, which fails if anybody appended after the node
// looked: at is the end of the rights then. It reports whether it is stored.
func (p *Process) claim(ctx context.Context, shard part, cause right.Cause, silence time.Duration, at int64) bool {
	service := shard.name()
	sent := time.Now()
	offset, end, err := p.appendRight(ctx, service, rightRecord{Node: p.settings.Node, Boot: p.boot, Address: p.address}, at)
	if err != nil {
		p.log("claim-failed", "service", service, "at", at, "cause", cause, "error", err)
		return false
	}
	p.log("right-claimed", "service", service, "epoch", offset+1, "cause", cause, "silence", silence, "near", p.near())
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rightsEnd = max(p.rightsEnd, end)
	p.rights[service] = right.Holding{Epoch: offset + 1, Node: p.settings.Node, Boot: p.boot, Address: p.address}
	h := newHolder(ctx, p, shard, offset+1, cause.FormerActs())
	h.prove(sent)
	p.holders[service] = h
	p.announce()
	go func() {
		h.run()
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.holders[service] == h {
			delete(p.holders, service)
		}
	}()
	return true
}

// appendRight appends a right's record if the rights still end at the offset.
func (p *Process) appendRight(ctx context.Context, service string, record rightRecord, at int64) (offset, end int64, err error) {
	value, err := cbor.Marshal(record)
	if err != nil {
		return 0, 0, fmt.Errorf("the right of %s: %w", service, err)
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	return p.appendAt(ctx, platform.Record{Key: service, Value: value}, at)
}

// appendAt appends a record to the rights if they still end at the offset.
func (p *Process) appendAt(ctx context.Context, record platform.Record, at int64) (offset, end int64, err error) {
	return p.store.Append(ctx, platform.Append{Partition: rightsPartition, At: at, Records: []platform.Record{record}})
}

// helloPause is the pause between two greetings of a holder.
func helloPause(v *view) time.Duration {
	if v.watches {
		return helloEvery
	}
	return max(idleHelloEvery, v.pause)
}

// offerRights releases the rights that this process holds, so that other nodes
// claim them, and returns a function that waits until they have.
func (p *Process) offerRights(ctx context.Context) (wait func()) {
	p.mu.Lock()
	held := make([]*holder, 0, len(p.holders))
	for _, h := range p.holders {
		held = append(held, h)
	}
	p.mu.Unlock()
	for _, h := range held {
		go p.offer(ctx, h)
	}
	return func() {
		for _, h := range held {
			select {
			case <-h.ended:
			case <-ctx.Done():
				p.log("right-left", "service", h.service, "epoch", h.epoch, "offered", h.offered.Load())
			}
		}
	}
}

// offer releases a right. Its holder acts until another node claims it, so
// nothing waits meanwhile; while the store doesn't take the release, nobody can.
func (p *Process) offer(ctx context.Context, h *holder) {
	for ctx.Err() == nil && h.ctx.Err() == nil {
		p.mu.Lock()
		at := p.rightsEnd
		p.mu.Unlock()
		record := rightRecord{Node: p.settings.Node, Boot: p.boot, Address: p.address, Released: true}
		offset, _, err := p.appendRight(ctx, h.service, record, at)
		if err == nil {
			h.offered.Store(true)
			p.log("right-released", "service", h.service, "epoch", h.epoch, "offset", offset)
			return
		}
		p.log("release-failed", "service", h.service, "cause", err)
		h.pause(appendRetry)
	}
}
