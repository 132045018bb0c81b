package control

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/google/uuid"

	"yuccalanding.example/yuccalanding/pkg/workload"
)

const maxSimAttempts = 40

// simCaller submits one request, and retries with the same key after broken
// connections and temporary refusals.
type simCaller struct {
	world   *world
	request workload.Request
	// node and id are the entry VM and the number of the open connection.
	node     *simNode
	id       uint64
	nextID   uint64
	issuedAt time.Duration
	// waits is set while the caller waits for the answer of its accepted
	// durable job.
	waits       bool
	accepted    bool
	done        bool
	outcome     string
	answers     int
	cancelAfter time.Duration
	canceled    bool
	regions     []string
	// notRun holds the "not-run" refusals that the caller received.
	notRun []notRun
}

type notRun struct {
	at      time.Duration
	attempt int
	code    workload.Code
	message string
	// resubmittedAt is when the caller submitted again; zero if it has not.
	resubmittedAt time.Duration
}

// newKey returns a UUIDv7 from a clock that is off by up to a second.
func (w *world) newKey() workload.Key {
	var id uuid.UUID
	issued := simStart.Add(w.now + w.between(-time.Second, time.Second)).UnixMilli()
	binary.BigEndian.PutUint64(id[:8], uint64(issued)<<16|0x7000|w.random.Uint64N(1<<12))
	binary.BigEndian.PutUint64(id[8:], 1<<63|w.random.Uint64N(1<<62))
	return workload.Key(id.String())
}

func (w *world) addCaller(at time.Duration, request workload.Request) *simCaller {
	c := &simCaller{world: w, request: request, regions: []string{request.Region}}
	w.callers = append(w.callers, c)
	c.nextID = uint64(len(w.callers)) << 16
	w.after(at-w.now, func() {
		c.request.Key = w.newKey()
		c.request.Payload = fmt.Appendf(nil, "p%d", len(c.request.Key)+int(c.nextID))
		c.issuedAt = w.now
		w.checks.submitted(c)
		c.submit()
	})
	return c
}

// entryNode picks an entry VM that accepts connections, preferably in the
// region of the request.
func (c *simCaller) entryNode() *simNode {
	w := c.world
	var choices []*simNode
	for _, n := range w.nodes {
		if n.up && !n.paused && !n.draining && (n.region == c.request.Region || w.chance(0.2)) {
			choices = append(choices, n)
		}
	}
	if len(choices) == 0 {
		return nil
	}
	return choices[w.random.IntN(len(choices))]
}

func (c *simCaller) submit() {
	n := c.entryNode()
	if n == nil {
		c.retryAfter(200 * time.Millisecond)
		return
	}
	if len(c.notRun) > 0 && c.notRun[len(c.notRun)-1].resubmittedAt == 0 {
		c.notRun[len(c.notRun)-1].resubmittedAt = c.world.now
	}
	c.nextID++
	c.node, c.id = n, c.nextID
	n.connections[c.id] = c
	id, request := c.id, c.request
	c.world.trace("caller %s attempt %d at %s (wait %t)", c.request.Key, c.request.Attempt, n.name, c.waits)
	n.afterIfUp(c.world.between(time.Millisecond, 3*time.Millisecond), func() {
		switch {
		case n.connections[id] != c:
		case c.waits:
			n.deliver(&WaitFor{RequestID: id, Key: request.Key, Team: request.Team, Region: request.Region})
		default:
			n.deliver(&Submit{RequestID: id, Request: request})
		}
	})
	if c.cancelAfter > 0 && !c.canceled {
		c.world.after(c.cancelAfter, c.cancel)
	}
}

func (c *simCaller) cancel() {
	if c.done || c.node == nil || c.canceled {
		return
	}
	c.canceled = true
	c.nextID++
	n, id := c.node, c.nextID
	c.world.trace("caller %s cancels at %s", c.request.Key, n.name)
	n.afterIfUp(time.Millisecond, func() {
		n.deliver(&CancelRequest{RequestID: id, Key: c.request.Key, Team: c.request.Team, Region: c.request.Region})
	})
}

// resubmit submits the same key after a delay, with a higher attempt number
// unless the caller waits for an accepted job.
func (c *simCaller) resubmit(delay time.Duration) {
	if !c.waits {
		c.request.Attempt++
	}
	c.retryAfter(delay)
}

func (c *simCaller) retryAfter(delay time.Duration) {
	c.world.after(delay, func() {
		if !c.done && c.node == nil {
			c.submit()
		}
	})
}

func (c *simCaller) detach(n *simNode, id uint64) {
	delete(n.connections, id)
	c.node, c.id = nil, 0
}

// connectionLost ends a connection without a reply; the caller notices it after
// a delay.
func (c *simCaller) connectionLost(n *simNode, id uint64, noticedAfter time.Duration) {
	if c.id != id || c.node != n {
		return
	}
	c.detach(n, id)
	if !c.done {
		c.world.trace("caller %s loses its connection to %s", c.request.Key, n.name)
		c.resubmit(noticedAfter)
	}
}

// breakConnection breaks the connection while the node is up.
func (c *simCaller) breakConnection() {
	if c.node == nil || c.done {
		return
	}
	n, id := c.node, c.id
	c.connectionLost(n, id, c.world.between(0, time.Second))
	n.afterIfUp(time.Millisecond, func() { n.deliver(&ConnectionClosed{RequestID: id}) })
}

func (c *simCaller) finish(outcome string) {
	c.done, c.outcome = true, outcome
}

// reply handles the node's reply on the open connection.
func (c *simCaller) reply(n *simNode, out *Reply) {
	if c.id != out.RequestID || c.node != n || c.done {
		return
	}
	id := c.id
	c.detach(n, id)
	if c.world.chance(0.03) {
		c.world.trace("caller %s loses the answer of %s", c.request.Key, n.name)
		n.afterIfUp(time.Millisecond, func() { n.deliver(&ConnectionClosed{RequestID: id}) })
		c.resubmit(c.world.between(0, time.Second))
		return
	}
	n.afterIfUp(time.Millisecond, func() { n.deliver(&AnswerDelivered{RequestID: id}) })
	switch {
	case out.Answer != nil:
		c.world.trace("caller %s gets its answer from %s: failed %t %s", c.request.Key, n.name, out.Answer.Failed, out.Answer.Body)
		c.answers++
		c.world.checks.answered(c, out.Answer)
		c.finish("answer")
	case out.Accepted != nil:
		c.world.trace("caller %s gets the acceptance of its job from %s", c.request.Key, n.name)
		c.accepted = true
		c.world.checks.accepted(c)
		if c.request.Mode == workload.ModeService || c.world.chance(0.5) {
			c.finish("accepted")
			return
		}
		c.waits = true
		c.retryAfter(10 * time.Millisecond)
	case out.Refusal != nil:
		c.refused(n, out.Refusal)
	}
}

func (c *simCaller) refused(n *simNode, refusal *workload.Refusal) {
	c.world.trace("caller %s is refused by %s: %v", c.request.Key, n.name, refusal)
	if c.waits {
		c.waitRefused(refusal)
		return
	}
	if refusal.Run == workload.NotRun {
		c.request.NotRunAttempts++
		c.notRun = append(c.notRun, notRun{at: c.world.now, attempt: c.request.Attempt, code: refusal.Code, message: refusal.Message})
		c.world.checks.refusedNotRun(c, refusal)
	}
	if refusal.RetryAfterMS > 0 && c.request.Attempt < maxSimAttempts && (refusal.Run == workload.NotRun || !c.request.NonIdempotent) {
		c.resubmit(time.Duration(refusal.RetryAfterMS) * time.Millisecond)
		return
	}
	c.finish("refused " + string(refusal.Code) + " " + string(refusal.Run))
}

// waitRefused handles the refusal of a call that waits for an accepted job.
func (c *simCaller) waitRefused(refusal *workload.Refusal) {
	if refusal.RetryAfterMS > 0 {
		c.retryAfter(time.Duration(refusal.RetryAfterMS) * time.Millisecond)
		return
	}
	c.finish("wait refused " + string(refusal.Code))
}
