package entry_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/manifest"
	"yuccalanding.example/yuccalanding/platform/standin"
)

// slowLink is a link over which answers arrive at a limited rate.
type slowLink struct {
	bytesPerSecond atomic.Int64 // 0 is no limit
	sent           atomic.Int64 // bytes of all answers
}

// slowWriter writes an answer to a link piece by piece.
type slowWriter struct {
	http.ResponseWriter
	link *slowLink
}

func (w slowWriter) Write(content []byte) (int, error) {
	const piecesPerSecond = 20
	written := 0
	for len(content) > written {
		size := len(content) - written
		if rate := int(w.link.bytesPerSecond.Load()); rate > 0 {
			size = min(size, rate/piecesPerSecond)
			time.Sleep(time.Second / piecesPerSecond)
		}
		count, err := w.ResponseWriter.Write(content[written : written+size])
		w.link.sent.Add(int64(count))
		written += count
		if err != nil {
			return written, err
		}
		if flusher, ok := w.ResponseWriter.(http.Flusher); ok {
			flusher.Flush()
		}
	}
	return written, nil
}

// Guards against a manifest that never arrives because each read of it is cut off by a
// time limit and begins anew, which keeps a slow link full (incident inc1).
func TestLargeManifestArrivesOverASlowLink(t *testing.T) {
	c := newCell(t, 1)
	c.configure(1)
	c.submit(c.nodes[0], "/quick/0000000000000001", jobWithTaskMS(50))
	queues := make([]manifest.Queue, 1000)
	for i := range queues {
		queues[i] = manifest.Queue{Host: "cell.example", PathPrefix: fmt.Sprintf("/added-%d/", i), Service: "ledger"}
	}
	text := standin.Manifest(2, queues, []string{"ledger", "review"}, 4096)
	link := &c.nodes[0].storeProxy.link
	link.sent.Store(0)
	link.bytesPerSecond.Store(int64(len(text)) / 3) // the transfer takes 3 s
	c.site.Configure(text)
	require.Eventually(t, func() bool {
		return strings.Contains(c.nodes[0].logs.String(), "version=2 services=2 from=store")
	}, 9*time.Second, 20*time.Millisecond, "the manifest is in force")
	require.Less(t, link.sent.Load(), 2*int64(len(text)), "the manifest is sent once")
}
