package entry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/job"
)

// Guards against a job that gets 200 although it isn't stored, and is gone after a restart of all
// processes: it is due at a time that has no RFC 3339 form (LOST).
func TestJobOfFarTimeOutlivesRestart(t *testing.T) {
	c := newCell(t, 2)
	c.configure(1)
	const path = "/batch/00000000000000aa"
	for _, n := range c.nodes { // one of them forwards the submission
		c.submit(n, path, `{"spec":"50","steps":[{"count":1,"cpu":500,"mem-mb":10}],"repeat-count":1,"start-at-ms":253402318799000}`)
	}
	c.restartAll()
	for _, n := range c.nodes {
		c.requireState(n, path, job.Queued, 10*time.Second)
	}
	require.Empty(t, c.site.Runs())
}
