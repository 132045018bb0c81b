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
)

// Paths of the interface between nodes.
const (
	pathSubmit  = "/peer/submit"
	pathState   = "/peer/state"
	pathCancel  = "/peer/cancel"
	pathWaiting = "/peer/waiting"
	pathHello   = "/peer/hello"
	pathView    = "/peer/view"
	pathAdvise  = "/peer/advise"
	pathKnown   = "/peer/known"
)

const (
	// peerConnect bounds the opening of a connection between nodes, over the
	// region link too (60 ms a round trip).
	peerConnect = 400 * time.Millisecond
	// maxPeerBody bounds a message between nodes: a job of the largest body
	// that the manifest allows, with room for its terms.
	maxPeerBody = 1 << 20
	// maxPeerIdle keeps the connections of a burst.
	maxPeerIdle = 8
)

// errNotHolder says that the asked node doesn't hold the service's right.
var errNotHolder = errors.New("the node doesn't hold the right to the service")

type submitRequest struct {
	Service string    `cbor:"1,keyasint"`
	ID      string    `cbor:"2,keyasint"`
	Terms   job.Terms `cbor:"3,keyasint"`
	Spec    job.Spec  `cbor:"4,keyasint"`
}

type submitAnswer struct {
	Accepted   bool          `cbor:"1,keyasint,omitempty"`
	Reason     string        `cbor:"2,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"3,keyasint,omitempty"`
	// Unavailable is set if the cause is the system's, not the load.
	Unavailable bool `cbor:"4,keyasint,omitempty"`
}

type jobRequest struct {
	Service string `cbor:"1,keyasint"`
	ID      string `cbor:"2,keyasint"`
}

type stateAnswer struct {
	Known bool      `cbor:"1,keyasint,omitempty"`
	State job.State `cbor:"2,keyasint,omitempty"`
}

type waitingRequest struct {
	Service string `cbor:"1,keyasint"`
	Queue   string `cbor:"2,keyasint"`
}

type waitingAnswer struct {
	Waiting int `cbor:"1,keyasint,omitempty"`
}

type helloRequest struct {
	Service string         `cbor:"1,keyasint"`
	Node    string         `cbor:"2,keyasint"`
	Address netip.AddrPort `cbor:"3,keyasint"`
	// Near is set if the store is near the node, and its VM isn't small.
	Near bool `cbor:"4,keyasint,omitempty"`
}

type helloAnswer struct {
	Epoch    int64         `cbor:"1,keyasint"`
	ProofAge time.Duration `cbor:"2,keyasint"`
	// Peers are the nodes that watch the holder; Watch is set if the asker is one.
	Peers []netip.AddrPort `cbor:"3,keyasint,omitempty"`
	Watch bool             `cbor:"4,keyasint,omitempty"`
	// Pause is the time between two greetings of a node that doesn't watch.
	Pause time.Duration `cbor:"5,keyasint,omitempty"`
}

type viewAnswer struct {
	Epoch int64 `cbor:"1,keyasint"`
	// Heard is how long ago the holder answered.
	Heard time.Duration `cbor:"2,keyasint"`
}

type adviseRequest struct {
	Step    string   `cbor:"1,keyasint"`
	Workers []string `cbor:"2,keyasint"`
}

type adviseAnswer struct {
	Good  []shard.AllowedWorker `cbor:"1,keyasint,omitempty"`
	Cause string                `cbor:"2,keyasint,omitempty"`
}

// peers is the client of the other nodes.
type peers struct{ client *http.Client }

func newPeers() *peers {
	dialer := &net.Dialer{Timeout: peerConnect}
	return &peers{client: &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxPeerIdle, IdleConnTimeout: time.Minute, DisableCompression: true,
	}}}
}

// ask sends a message to another node. An error of a call that was never sent
// satisfies notSent.
func ask[Answer any](ctx context.Context, p *peers, to netip.AddrPort, path string, message any) (Answer, error) {
	var answer Answer
	body, err := cbor.Marshal(message)
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
	content, err := io.ReadAll(io.LimitReader(response.Body, maxPeerBody))
	if err != nil {
		return answer, fmt.Errorf("peer %s: reading the answer: %w", path, err)
	}
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusConflict:
		return answer, errNotHolder
	default:
		return answer, fmt.Errorf("peer %s: status %d: %s", path, response.StatusCode, content)
	}
	if err := cbor.Unmarshal(content, &answer); err != nil {
		return answer, fmt.Errorf("peer %s: the answer can't be read: %w", path, err)
	}
	return answer, nil
}

// notSent reports whether the error proves that the message had no effect.
func notSent(err error) bool {
	var operation *net.OpError
	return errors.Is(err, errNotHolder) || errors.As(err, &operation) && operation.Op == "dial"
}

// serve registers a handler for one message.
func serve[Request any](mux *http.ServeMux, path string, handle func(context.Context, Request) (any, error)) {
	mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
		content, err := io.ReadAll(io.LimitReader(r.Body, maxPeerBody))
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
			if errors.Is(err, errNotHolder) {
				status = http.StatusConflict
			}
			http.Error(w, err.Error(), status)
			return
		}
		encoded, err := cbor.Marshal(answer)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		_, _ = w.Write(encoded) // a broken connection is the asker's to notice
	})
}

// peerHandler answers the other nodes.
func (p *Process) peerHandler() http.Handler {
	mux := http.NewServeMux()
	serveHolder(p, mux, pathSubmit, func(r submitRequest) string { return r.Service }, (*holder).submit)
	serveHolder(p, mux, pathState, func(r jobRequest) string { return r.Service }, (*holder).state)
	serveHolder(p, mux, pathCancel, func(r jobRequest) string { return r.Service }, (*holder).stopJob)
	serveHolder(p, mux, pathWaiting, func(r waitingRequest) string { return r.Service }, (*holder).waiting)
	serveHolder(p, mux, pathHello, func(r helloRequest) string { return r.Service }, (*holder).greeted)
	serve(mux, pathView, func(_ context.Context, r jobRequest) (any, error) {
		p.mu.Lock()
		defer p.mu.Unlock()
		v := p.views[r.Service]
		if v == nil || !v.refused.IsZero() || !v.vacant.IsZero() {
			return viewAnswer{}, nil
		}
		return viewAnswer{Epoch: v.holding.Epoch, Heard: time.Since(v.heard)}, nil
	})
	serve(mux, pathKnown, func(_ context.Context, r knownRequest) (any, error) { return p.known(r), nil })
	serve(mux, pathAdvise, func(ctx context.Context, r adviseRequest) (any, error) { return p.advise(ctx, r), nil })
	return mux
}

// serveHolder registers a message that the holder of its shard answers.
func serveHolder[Request, Answer any](p *Process, mux *http.ServeMux, path string, service func(Request) string, handle func(*holder, context.Context, Request) (Answer, error)) {
	serve(mux, path, func(ctx context.Context, request Request) (any, error) {
		h, err := p.holderOf(service(request))
		if err != nil {
			return nil, err
		}
		return handle(h, ctx, request)
	})
}
