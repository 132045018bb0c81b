package entry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"yuccalanding.example/yuccalanding/internal/job"
	"yuccalanding.example/yuccalanding/internal/shard"
	"yuccalanding.example/yuccalanding/internal/transfer"
)

// Paths of the calls between nodes.
const (
	pathSubmit    = "/peer/submit"
	pathAccepted  = "/peer/accepted"
	pathState     = "/peer/state"
	pathCancel    = "/peer/cancel"
	pathWaiting   = "/peer/waiting"
	pathHeartbeat = "/peer/hello"
	pathView      = "/peer/view"
	pathAdvise    = "/peer/advise"
	pathPeerState = "/peer/known"
	pathLeaseEnds = "/peer/lease-ends"
)

const (
	// peerConnectTimeout bounds the time to open a connection between nodes,
	// also between regions (60 ms a round trip).
	peerConnectTimeout = 400 * time.Millisecond
	// maxPeerBodyBytes bounds a message between nodes in bytes: a job with the
	// largest body that the manifest allows, and its terms.
	maxPeerBodyBytes = 1 << 20
	// maxIdlePeerConns is how many idle connections to each node are kept after
	// a burst of calls.
	maxIdlePeerConns = 8
)

// errNotLeader means that the called node doesn't lead the shard.
var errNotLeader = errors.New("the node doesn't hold the right to the service")

// errOtherNode means that the call was for another node, which had this one's address.
var errOtherNode = errors.New("the call is for another node")

type submitRequest struct {
	Shard string    `cbor:"1,keyasint"`
	ID    string    `cbor:"2,keyasint"`
	Terms job.Terms `cbor:"3,keyasint"`
	Spec  job.Spec  `cbor:"4,keyasint"`
	// QueueKey is that of the queue's record. Earlier programs don't send it.
	QueueKey string `cbor:"5,keyasint,omitempty"`
	// ManifestVersion is the version of the sender's manifest.
	ManifestVersion int64 `cbor:"6,keyasint,omitempty"`
	// ServiceDisabled means that this manifest disables the service.
	ServiceDisabled bool `cbor:"7,keyasint,omitempty"`
}

// acceptedRequest asks a former service of a queue whether it has accepted a job.
type acceptedRequest struct {
	Shard    string       `cbor:"1,keyasint"`
	ID       string       `cbor:"2,keyasint"`
	QueueKey string       `cbor:"3,keyasint"`
	History  queueHistory `cbor:"4,keyasint"` // in which the service is a former one
}

type acceptedAnswer struct {
	Accepted bool `cbor:"1,keyasint,omitempty"`
}

type submitAnswer struct {
	Accepted   bool          `cbor:"1,keyasint,omitempty"`
	Reason     string        `cbor:"2,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"3,keyasint,omitempty"`
	// Unavailable is set if a fault of the system is the cause, not the load.
	Unavailable bool `cbor:"4,keyasint,omitempty"`
	// QueueMoved is set if the sender's manifest is too old to tell the queue's service. Whether
	// the job was accepted before isn't known.
	QueueMoved bool `cbor:"5,keyasint,omitempty"`
}

// jobRequest names a job and its shard. ID is empty in a call of pathView, which
// is about the shard's leader.
type jobRequest struct {
	Shard string `cbor:"1,keyasint"`
	ID    string `cbor:"2,keyasint"`
}

type stateAnswer struct {
	Known bool      `cbor:"1,keyasint,omitempty"`
	State job.State `cbor:"2,keyasint,omitempty"`
}

type waitingRequest struct {
	Shard string `cbor:"1,keyasint"`
	Queue string `cbor:"2,keyasint"`
}

type waitingAnswer struct {
	Waiting int `cbor:"1,keyasint,omitempty"`
}

type heartbeatRequest struct {
	Shard   string         `cbor:"1,keyasint"`
	Node    string         `cbor:"2,keyasint"`
	Address netip.AddrPort `cbor:"3,keyasint"`
	// NearStore is set if the store is in the node's region and the VM isn't
	// small.
	NearStore bool `cbor:"4,keyasint,omitempty"`
	// Leader is the node that the heartbeat is for.
	Leader string `cbor:"5,keyasint,omitempty"`
}

type heartbeatAnswer struct {
	Epoch           int64         `cbor:"1,keyasint"`
	ConfirmationAge time.Duration `cbor:"2,keyasint"`
	// Monitors are the leader's monitors; Monitor is set if the caller is one.
	Monitors []netip.AddrPort `cbor:"3,keyasint,omitempty"`
	Monitor  bool             `cbor:"4,keyasint,omitempty"`
	// Interval is the time between two heartbeats of a node that is no monitor.
	Interval time.Duration `cbor:"5,keyasint,omitempty"`
}

type viewAnswer struct {
	Epoch int64 `cbor:"1,keyasint"`
	// SinceHeard is how long ago the last heartbeat that the leader answered
	// was sent.
	SinceHeard time.Duration `cbor:"2,keyasint"`
	// NearStore is set if the store is in the node's region.
	NearStore bool `cbor:"3,keyasint,omitempty"`
}

type adviseRequest struct {
	// Step is the step's name, ID.OCCURRENCE.STEP.
	Step    string   `cbor:"1,keyasint"`
	Workers []string `cbor:"2,keyasint"`
}

type adviseAnswer struct {
	// Allowed are the workers that may run the step. Cause is why the call of
	// the adviser failed; empty if it didn't.
	Allowed []shard.AllowedWorker `cbor:"1,keyasint,omitempty"`
	Cause   string                `cbor:"2,keyasint,omitempty"`
}

// peerClient is the client of the other nodes.
type peerClient struct{ client *http.Client }

func newPeerClient() *peerClient {
	dialer := &net.Dialer{Timeout: peerConnectTimeout}
	return &peerClient{client: &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdlePeerConns, IdleConnTimeout: time.Minute, DisableCompression: true,
	}}}
}

// callPeer sends a message to another node and returns its answer. hadNoEffect
// tells whether a failed call may have taken effect.
func callPeer[Answer any](ctx context.Context, p *peerClient, to netip.AddrPort, path string, message any) (answer Answer, err error) {
	err = guardedCall(func() (err error) {
		answer, err = exchange[Answer](ctx, p, to, path, message, func(body io.Reader) io.Reader { return body })
		return err
	})
	return answer, err
}

// downloadFromPeer is callPeer for a large answer: the limit is on the time without a
// byte of it, and not on the whole call.
func downloadFromPeer[Answer any](ctx context.Context, p *peerClient, to netip.AddrPort, path string, message any, maxSilence time.Duration) (answer Answer, err error) {
	ctx, silence := transfer.Limit(ctx, maxSilence, maxSilence)
	defer silence.Stop()
	err = guardedCall(func() (err error) {
		answer, err = exchange[Answer](ctx, p, to, path, message, silence.Reader)
		return err
	})
	return answer, err
}

func exchange[Answer any](ctx context.Context, p *peerClient, to netip.AddrPort, path string, message any, reader func(body io.Reader) io.Reader) (Answer, error) {
	var answer Answer
	body, err := job.Encode(message)
	if err != nil {
		return answer, fmt.Errorf("peer %s: %w", path, err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.String()+path, bytes.NewReader(body))
	if err != nil {
		return answer, fmt.Errorf("peer %s: %w", path, err)
	}
	response, err := p.client.Do(request)
	if err != nil {
		return answer, fmt.Errorf("peer %s: %w", path, err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(reader(response.Body), maxPeerBodyBytes))
	if err != nil {
		return answer, fmt.Errorf("peer %s: reading the answer: %w", path, err)
	}
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusConflict:
		return answer, errNotLeader
	default:
		return answer, fmt.Errorf("peer %s: status %d: %s", path, response.StatusCode, content)
	}
	if err := cbor.Unmarshal(content, &answer); err != nil {
		return answer, fmt.Errorf("peer %s: the answer can't be read: %w", path, err)
	}
	return answer, nil
}

// hadNoEffect reports whether the error proves that the message had no effect:
// it was never sent, or the node doesn't lead the shard.
func hadNoEffect(err error) bool {
	var operation *net.OpError
	return errors.Is(err, errNotLeader) || errors.As(err, &operation) && operation.Op == "dial"
}

// registerCall registers the handler of one call. errNotLeader is answered with
// status 409, other errors with 503.
func registerCall[Request any](mux *http.ServeMux, path string, handle func(context.Context, Request) (any, error)) {
	mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
		content, err := io.ReadAll(io.LimitReader(r.Body, maxPeerBodyBytes))
		if err != nil {
			return // the connection is broken
		}
		var request Request
		if err := cbor.Unmarshal(content, &request); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		answer, err := handle(r.Context(), request)
		if err != nil {
			status := http.StatusServiceUnavailable
			if errors.Is(err, errNotLeader) {
				status = http.StatusConflict
			}
			http.Error(w, err.Error(), status)
			return
		}
		encoded, err := job.Encode(answer)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		_, _ = w.Write(encoded) // the caller notices a broken connection itself
	})
}

// peerHandler returns the handler of other nodes' calls.
func (p *Process) peerHandler() http.Handler {
	mux := http.NewServeMux()
	registerLeaderCall(p, mux, pathSubmit, func(r submitRequest) string { return r.Shard }, (*shardLeader).submit)
	registerLeaderCall(p, mux, pathAccepted, func(r acceptedRequest) string { return r.Shard }, (*shardLeader).acceptedHere)
	registerLeaderCall(p, mux, pathState, func(r jobRequest) string { return r.Shard }, (*shardLeader).jobState)
	registerLeaderCall(p, mux, pathCancel, func(r jobRequest) string { return r.Shard }, (*shardLeader).cancelJob)
	registerLeaderCall(p, mux, pathWaiting, func(r waitingRequest) string { return r.Shard }, (*shardLeader).waitingJobs)
	registerCall(mux, pathHeartbeat, p.handleHeartbeat)
	registerCall(mux, pathView, func(_ context.Context, r jobRequest) (any, error) {
		p.mu.Lock()
		defer p.mu.Unlock()
		v := p.leaderViews[r.Shard]
		if v == nil || !v.refusedSince.IsZero() || !v.vacantSince.IsZero() {
			return viewAnswer{NearStore: p.nearStore()}, nil
		}
		return viewAnswer{Epoch: v.leader.Epoch, SinceHeard: time.Since(v.lastHeard), NearStore: p.nearStore()}, nil
	})
	registerCall(mux, pathPeerState, func(_ context.Context, r peerStateRequest) (any, error) { return p.peerState(r), nil })
	registerCall(mux, pathLeaseEnds, p.handleLeaseEnds)
	registerCall(mux, pathAdvise, func(ctx context.Context, r adviseRequest) (any, error) { return p.askAdviser(ctx, r), nil })
	return mux
}

// registerLeaderCall registers a call that the leader of the named shard
// answers.
func registerLeaderCall[Request, Answer any](p *Process, mux *http.ServeMux, path string, shardKey func(Request) string, handle func(*shardLeader, context.Context, Request) (Answer, error)) {
	registerCall(mux, path, func(ctx context.Context, request Request) (any, error) {
		l, err := p.ledShard(shardKey(request))
		if err != nil {
			return nil, err
		}
		return handle(l, ctx, request)
	})
}
