package job_test

import (
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
	t.Run("progress", func(t *testing.T) {
		encoded, err := job.Encode(job.Progress{State: job.Completed, EndedAt: at})
		require.NoError(t, err)
		var decoded job.Progress
		require.NoError(t, job.Decode(encoded, &decoded))
		require.True(t, at.Equal(decoded.EndedAt), decoded.EndedAt)
	})
	t.Run("no time", func(t *testing.T) {
		encoded, err := job.Encode(job.Accepted{})
		require.NoError(t, err)
		var decoded job.Accepted
		require.NoError(t, job.Decode(encoded, &decoded))
		require.True(t, decoded.At.IsZero(), decoded.At)
	})
}
