package entry

import (
	"net/http"
	"time"
)

// PanicInControlLoop makes the control loop of a shard panic. It reports false if this
// process doesn't lead the shard.
func (p *Process) PanicInControlLoop(key string) bool {
	l, err := p.ledShard(key)
	return err == nil && l.enqueue(func(time.Time) { panic("a fault of the test") })
}

// SetSinceBoot replaces the clock that times the confirmations of leadership. Call it
// before Run.
func (p *Process) SetSinceBoot(read func() time.Duration) { p.sinceBoot = read }

// WrapPeerTransport replaces the transport of the calls to other nodes by what wrap
// returns for it. Call it before Run.
func (p *Process) WrapPeerTransport(wrap func(http.RoundTripper) http.RoundTripper) {
	p.peerClient.client.Transport = wrap(p.peerClient.client.Transport)
}

// AdviceSlotsOf is how many calls for advice this number of nodes may have in flight.
var AdviceSlotsOf = adviceSlotsOf
