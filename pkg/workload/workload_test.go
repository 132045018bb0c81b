package workload_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/pkg/workload"
)

// Guards against a validation that stops at the first error, and against sizes
// beyond the limits that reach the scheduler.
func TestValidateReportsEveryFinding(t *testing.T) {
	valid := workload.Request{
		Key: workload.NewKey(), Team: "ledger", Kind: "balance-check",
		Resources: workload.Resources{MilliCPU: 100},
	}
	cases := map[string]struct {
		modify func(*workload.Request)
		places []string
	}{
		"valid":               {func(*workload.Request) {}, nil},
		"key is not a UUIDv7": {func(r *workload.Request) { r.Key = "7" }, []string{"key"}},
		"negative memory":     {func(r *workload.Request) { r.Resources.MemoryMB = -1 }, []string{"resources.memory-mb"}},
		"no team and too large a gang": {func(r *workload.Request) {
			r.Team, r.GangSize = "", workload.MaxGangSize+1
		}, []string{"team", "gang-size"}},
		"no resources": {func(r *workload.Request) { r.Resources = workload.Resources{} }, []string{"resources"}},
		"unknown mode": {func(r *workload.Request) { r.Mode = "later" }, []string{"mode"}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			request := valid
			test.modify(&request)
			var places []string
			for _, finding := range request.Validate(time.Now()) {
				places = append(places, finding.Place)
			}
			require.Equal(t, test.places, places)
		})
	}
}

// Guards against a retry whose digest differs from that of the first attempt,
// and against an equal digest for a different request under the same key.
func TestDigestIgnoresAttempt(t *testing.T) {
	request := workload.Request{Key: workload.NewKey(), Team: "a", Kind: "b", Payload: []byte("x")}
	retry := request
	retry.Attempt = 3
	require.Equal(t, request.Digest(), retry.Digest())
	other := request
	other.Payload = []byte("y")
	require.NotEqual(t, request.Digest(), other.Digest())
}

// Guards against a node that has just become the home of a team and treats an
// old request as new, because it can't read the time of issue from the key.
func TestKeyContainsItsTimeOfIssue(t *testing.T) {
	issued, ok := workload.NewKey().IssuedAt()
	require.True(t, ok)
	require.WithinDuration(t, time.Now(), issued, time.Second)
}
