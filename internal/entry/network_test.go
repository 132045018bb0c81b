package entry_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// storeProxy forwards one node's calls to the store. While unavailable is set,
// it answers them with status 503. While silent is set, it holds them back, and
// then carries them out even if the caller has left. While cut is set, the calls and the
// answers to earlier ones are lost.
type storeProxy struct {
	store                    http.Handler
	unavailable, silent, cut atomic.Bool
	appendDelay              atomic.Int64                    // before each append of a shard's records, in ns
	heldAppends              atomic.Pointer[chan heldAppend] // takes the appends of heldJob
	link                     slowLink
}

func (p *storeProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if delay := p.appendDelay.Load(); delay > 0 && strings.Contains(r.URL.RawQuery, "producer=") {
		time.Sleep(time.Duration(delay))
	}
	if p.cut.Load() {
		_, _ = io.Copy(io.Discard, r.Body) // the server notices that the caller has left only once the body is read
		<-r.Context().Done()
		return
	}
	if p.holdAppend(w, r) {
		return
	}
	w = cutWriter{w, &p.cut}
	if p.unavailable.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if p.silent.Load() {
		body, _ := io.ReadAll(r.Body)
		for p.silent.Load() {
			time.Sleep(time.Millisecond)
		}
		r = r.Clone(context.WithoutCancel(r.Context()))
		r.Body = io.NopCloser(bytes.NewReader(body))
	}
	if strings.HasSuffix(r.URL.Path, "/log-newest") {
		// The stand-in store holds its lock until it has written the answer.
		answer := httptest.NewRecorder()
		p.store.ServeHTTP(answer, r)
		w.WriteHeader(answer.Code)
		_, _ = slowWriter{w, &p.link}.Write(answer.Body.Bytes())
		return
	}
	p.store.ServeHTTP(slowWriter{w, &p.link}, r)
}

// cutWriter breaks the connection instead of writing an answer while cut is set.
type cutWriter struct {
	http.ResponseWriter
	cut *atomic.Bool
}

func (w cutWriter) Write(content []byte) (int, error) {
	if w.cut.Load() {
		panic(http.ErrAbortHandler)
	}
	return w.ResponseWriter.Write(content)
}

func (w cutWriter) Flush() { w.ResponseWriter.(http.Flusher).Flush() }

// peerNetwork carries a node's calls to other nodes. Calls from and to isolated nodes get
// no answer.
type peerNetwork struct {
	http.RoundTripper
	isolated *sync.Map
	source   string
}

func (p peerNetwork) RoundTrip(request *http.Request) (*http.Response, error) {
	_, fromIsolated := p.isolated.Load(p.source)
	_, toIsolated := p.isolated.Load(request.URL.Hostname())
	if fromIsolated || toIsolated {
		if request.Body != nil {
			_ = request.Body.Close()
		}
		<-request.Context().Done()
		return nil, request.Context().Err()
	}
	return p.RoundTripper.RoundTrip(request)
}

// isolate cuts a node off from the store and from the other nodes.
func (c *cell) isolate(n *node) {
	n.storeProxy.cut.Store(true)
	c.isolated.Store(n.settings.IP.String(), true)
}
