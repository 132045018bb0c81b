package entry

import (
	"io"
	"net/http"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/election"
	"yuccalanding.example/yuccalanding/internal/event"
	"yuccalanding.example/yuccalanding/platform"
	"yuccalanding.example/yuccalanding/platform/standin"
)

// Guards against a leader that acts for 10 s without a confirmation although its release is
// stored, because the answer was lost: the next leader waits for 1 s and a lease.
func TestReleaseCountsFromBeforeItIsSent(t *testing.T) {
	type outcome int
	const (
		stored outcome = iota
		lost           // carried out, without an answer
		unsent         // not carried out, without an answer
		unavailable
		conflict // another record was appended
	)
	for name, c := range map[string]struct {
		outcomes []outcome // of the calls
		released bool      // after the last one
	}{
		"it is stored":                                  {[]outcome{stored}, true},
		"its answer is lost":                            {[]outcome{lost}, true},
		"it has no answer":                              {[]outcome{unsent}, true},
		"the store refuses it":                          {[]outcome{unavailable}, false},
		"another record was appended":                   {[]outcome{conflict}, false},
		"it is stored after a refusal":                  {[]outcome{unavailable, stored}, true},
		"its answer is lost, then it is refused":        {[]outcome{lost, unavailable}, true},
		"its answer is lost, and the topic's end moved": {[]outcome{lost, conflict}, true},
		"it has no answer, then it is refused":          {[]outcome{unsent, conflict}, true},
	} {
		t.Run(name, func(t *testing.T) {
			site := standin.New()
			t.Cleanup(site.Close)
			var l *shardLeader
			calls, releasedAtCall := 0, []bool{}
			isReleased := func() bool { return l.maxConfirmationAge() == election.MaxConfirmationAgeReleased }
			address, err := site.Serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				releasedAtCall = append(releasedAtCall, isReleased())
				next := c.outcomes[calls]
				if calls++; calls == len(c.outcomes) {
					l.cancel() // ends the retries
				}
				switch next {
				case lost:
					site.Store.ServeHTTP(discardedAnswer{}, r)
					panic(http.ErrAbortHandler)
				case unsent:
					panic(http.ErrAbortHandler)
				case unavailable:
					w.WriteHeader(http.StatusServiceUnavailable)
				case conflict:
					w.WriteHeader(http.StatusPreconditionFailed)
				default:
					site.Store.ServeHTTP(w, r)
				}
			}))
			require.NoError(t, err)
			settings := platform.Settings{Node: "entry-1", Store: platform.StoreSettings{Address: netip.MustParseAddrPort(address), Partitions: standin.Partitions}}
			p := New(settings, event.New(t.Context(), event.Options{Out: io.Discard, Node: "entry-1"}))
			l = newShardLeader(t.Context(), p, shardRef{"ledger", 0, 1}, 7, election.Leader{}, 0)
			p.release(t.Context(), l)
			require.Equal(t, c.released, isReleased())
			require.Len(t, releasedAtCall, len(c.outcomes))
			require.NotContains(t, releasedAtCall, false, "another node may claim as soon as the store has the release")
		})
	}
}

// discardedAnswer is a response whose content isn't sent.
type discardedAnswer struct{}

func (discardedAnswer) Header() http.Header               { return http.Header{} }
func (discardedAnswer) Write(content []byte) (int, error) { return len(content), nil }
func (discardedAnswer) WriteHeader(int)                   {}
