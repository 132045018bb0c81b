package entry

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/election"
	"yuccalanding.example/yuccalanding/internal/event"
	"yuccalanding.example/yuccalanding/internal/job"
	"yuccalanding.example/yuccalanding/internal/shard"
	"yuccalanding.example/yuccalanding/platform"
)

func TestQueueHistory(t *testing.T) {
	a, renamed, b, c := servedQueue{"ledger", "quick"}, servedQueue{"ledger", "fast"}, servedQueue{"review", "quick"}, servedQueue{"scan", "quick"}
	var history queueHistory
	require.Empty(t, history.formerServices())
	require.False(t, history.outdates(1, a), "nothing is known")
	for i, served := range []servedQueue{a, renamed, b, c, b} {
		history = history.movedTo(served, int64(i+1))
		require.True(t, history.covers(served, int64(i+1)))
	}
	require.Equal(t, []servedQueue{b, c, renamed, a}, history.Served)
	require.Equal(t, []string{"scan", "ledger"}, history.formerServices())
	for i := range 2 * maxFormerNames {
		history = history.movedTo(servedQueue{"ledger", fmt.Sprint(i)}, 6)
	}
	require.Len(t, history.Served, maxFormerNames+2, "the names of one service are bounded, its former services are kept")
	require.ElementsMatch(t, []string{"review", "scan"}, history.formerServices())
	history = queueHistory{ManifestVersion: 5, Served: []servedQueue{b, c, renamed, a}}
	for name, c := range map[string]struct {
		version          int64
		served           servedQueue
		outdates, covers bool
	}{
		"older manifest, former service":  {4, c, true, false},
		"same manifest, former service":   {5, a, true, false},
		"newer manifest, former service":  {6, a, false, false},
		"older manifest, present service": {4, b, false, true},
		"newer manifest, present service": {6, b, false, true},
		"older manifest, another name":    {4, servedQueue{"review", "batch"}, false, true},
		"newer manifest, another name":    {6, servedQueue{"review", "batch"}, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.outdates, history.outdates(c.version, c.served))
			require.Equal(t, c.covers, history.covers(c.served, c.version))
		})
	}
}

// Guards against a former leader that accepts a job from a node with an older manifest after it has
// told the queue's present service that it doesn't know the job (TWICE).
func TestFormerServiceAcceptsNoJobAfterItWasAsked(t *testing.T) {
	p := New(platform.Settings{Node: "entry-0"}, event.New(t.Context(), event.Options{Out: &strings.Builder{}}))
	l := newShardLeader(t.Context(), p, shardRef{"ledger", 0, 1}, 7, election.Leader{}, 0)
	defer l.stepDown("the test ends")
	l.confirm(p.sinceBoot() + time.Hour)
	l.shard.Load(time.Now(), nil)
	go func() {
		defer close(l.ended)
		l.controlLoop()
	}()
	const key, id = queueHistoryKey + "1", "00000000000000aa"
	p.queueHistories[key] = queueHistory{ManifestVersion: 1, Served: []servedQueue{{"ledger", "quick"}}}
	moved := queueHistory{ManifestVersion: 2, Served: []servedQueue{{"review", "quick"}, {"ledger", "quick"}}, Offset: 9}

	answer, err := l.acceptedHere(t.Context(), acceptedRequest{Shard: l.key, ID: id, QueueKey: key, History: moved})
	require.NoError(t, err)
	require.False(t, answer.Accepted)
	request := submitRequest{Shard: l.key, ID: id, Terms: job.Terms{Queue: "quick"}, Spec: job.Spec{Steps: []job.Step{{Count: 1}}}, QueueKey: key, ManifestVersion: 1}
	submitted, err := l.submit(t.Context(), request)
	require.NoError(t, err)
	require.Equal(t, submitAnswer{QueueMoved: true}, submitted)

	known, err := askControlLoop(t.Context(), l, errNotLeader, func(now time.Time) bool {
		l.shard.Accept(now, "00000000000000bb", request.Terms, request.Spec)
		return l.shard.Acceptance("00000000000000bb") == shard.Pending
	})
	require.NoError(t, err)
	require.True(t, known)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err = l.acceptedHere(ctx, acceptedRequest{Shard: l.key, ID: "00000000000000bb", QueueKey: key, History: moved})
	require.ErrorIs(t, err, errOutcomeUnknown, "the acceptance isn't stored")
}
