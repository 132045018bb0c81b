package entry_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// heldJob is the job whose appends a storeProxy holds back.
const heldJob = "00000000000000ff"

// heldAppend is an append that a storeProxy holds back.
type heldAppend struct {
	partition string
	epoch     int
	carryOut  chan bool // carries it out, and answers it or loses the answer
	done      chan struct{}
}

// holdAppend holds an append of heldJob back if heldAppends is set. It reports whether it
// did.
func (p *storeProxy) holdAppend(w http.ResponseWriter, r *http.Request) bool {
	held, query := p.heldAppends.Load(), r.URL.Query()
	if held == nil {
		return false
	}
	body, _ := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(body))
	epoch, err := strconv.Atoi(query.Get("epoch"))
	if err != nil || !bytes.Contains(body, []byte(heldJob)) {
		return false
	}
	h := heldAppend{query.Get("topic") + "/" + query.Get("part"), epoch, make(chan bool), make(chan struct{})}
	defer close(h.done)
	*held <- h
	if answered := <-h.carryOut; answered {
		p.store.ServeHTTP(w, r)
		return true
	}
	p.store.ServeHTTP(httptest.NewRecorder(), r)
	panic(http.ErrAbortHandler)
}

// Guards against a leader that takes the refusal of its own earlier attempt at an append for
// a newer leader, and steps down: the store carried out the later attempt first, and that
// answer was lost.
func TestLateAppendDoesNotReplaceTheLeader(t *testing.T) {
	t.Parallel()
	c := newCellWithCores(t, 1, 1)
	c.configure(1)
	c.submit(c.nodes[0], "/quick/0000000000000001", jobWithTaskMS(10))
	held := make(chan heldAppend, 1000)
	proxy := c.nodes[0].storeProxy
	proxy.heldAppends.Store(&held)
	accepted := make(chan struct{})
	go func() {
		defer close(accepted)
		c.submit(c.nodes[0], "/quick/"+heldJob, jobWithTaskMS(10))
	}()
	first := map[string]heldAppend{}
	later := <-held
	for first[later.partition].done == nil {
		first[later.partition] = later
		later = <-held
	}
	earlier := first[later.partition]
	require.Greater(t, later.epoch, earlier.epoch)
	delete(first, later.partition)
	proxy.heldAppends.Store(nil)
	later.carryOut <- false
	<-later.done
	earlier.carryOut <- true
	<-earlier.done
	for _, other := range first {
		other.carryOut <- false
	}
	for len(held) > 0 {
		(<-held).carryOut <- false
	}
	<-accepted
	time.Sleep(time.Second) // until a refusal would have been read
	require.NotContains(t, c.nodes[0].logs.String(), "name=right-lost")
}
