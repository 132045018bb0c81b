package job_test

import (
	"encoding/hex"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/job"
)

// Times must outlive a record exactly. Cut to whole seconds, scheduled jobs started up to 1 s
// early under the next leader (review/5).
func TestRecordsKeepTimesExactly(t *testing.T) {
	at := time.UnixMilli(1_700_000_000_900).Add(123 * time.Nanosecond)
	t.Run("acceptance", func(t *testing.T) {
		encoded, err := job.Encode(job.Accepted{Spec: job.Spec{Repeat: 2, FirstStart: at}, At: at})
		require.NoError(t, err)
		var decoded job.Accepted
		require.NoError(t, job.Decode(encoded, &decoded))
		require.True(t, at.Equal(decoded.Spec.FirstStart), decoded.Spec.FirstStart)
		require.True(t, at.Equal(decoded.At), decoded.At)
	})
	for name, ms := range map[string]int64{
		"year 9999 in UTC":        253402300799999,
		"year 9999 west of UTC":   253402318799000,
		"latest in milliseconds":  math.MaxInt64,
		"before year 0":           -62198755200000 - 366*24*3600*1000,
		"first in milliseconds":   math.MinInt64,
		"1970":                    0,
		"before 1970, fractional": -1,
	} {
		t.Run(name, func(t *testing.T) {
			start := time.UnixMilli(ms)
			encoded, err := job.Encode(job.Accepted{Spec: job.Spec{Text: "a", Repeat: 1, FirstStart: start, Interval: time.Second}, At: at})
			require.NoError(t, err)
			var decoded job.Accepted
			require.NoError(t, job.Decode(encoded, &decoded))
			require.True(t, start.Equal(decoded.Spec.FirstStart), decoded.Spec.FirstStart)
			decoded.Spec.FirstStart = start
			require.Equal(t, job.Spec{Text: "a", Repeat: 1, FirstStart: start, Interval: time.Second}, decoded.Spec)
		})
	}
	t.Run("progress", func(t *testing.T) {
		encoded, err := job.Encode(job.Progress{State: job.Completed, EndedAt: at})
		require.NoError(t, err)
		var decoded job.Progress
		require.NoError(t, job.Decode(encoded, &decoded))
		require.True(t, at.Equal(decoded.EndedAt), decoded.EndedAt)
	})
	t.Run("written by an earlier program", func(t *testing.T) {
		encoded, err := hex.DecodeString("a301a101617102a50161610281a2010202a003010476323032332d31312d31345432323a31333a32302e395a051a3b9aca000374323032332d31312d31345432323a31333a32305a")
		require.NoError(t, err)
		var decoded job.Accepted
		require.NoError(t, job.Decode(encoded, &decoded))
		require.Equal(t, job.Accepted{
			Terms: job.Terms{Queue: "q"}, At: time.UnixMilli(1_700_000_000_000).UTC(),
			Spec: job.Spec{Text: "a", Steps: []job.Step{{Count: 2}}, Repeat: 1, FirstStart: time.UnixMilli(1_700_000_000_900).UTC(), Interval: time.Second},
		}, decoded)
		again, err := job.Encode(decoded)
		require.NoError(t, err)
		require.Equal(t, encoded, again, "earlier programs can read it")
	})
	t.Run("no time", func(t *testing.T) {
		encoded, err := job.Encode(job.Accepted{})
		require.NoError(t, err)
		var decoded job.Accepted
		require.NoError(t, job.Decode(encoded, &decoded))
		require.True(t, decoded.At.IsZero(), decoded.At)
	})
}
