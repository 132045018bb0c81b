package workload_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/pkg/workload"
)

// Guards against a request whose faults are reported one at a time, and
// against absurd sizes reaching the scheduler.
func TestValidateReportsEveryFinding(t *testing.T) {
	valid := workload.Request{
		Key: workload.NewKey(), Team: "ledger", Kind: "balance-check",
		Resources: workload.Resources{MilliCPU: 100},
	}
	cases := map[string]struct {
		change func(*workload.Request)
		places []string
	}{
		"valid":              {func(*workload.Request) {}, nil},
		"key without a time": {func(r *workload.Request) { r.Key = "7" }, []string{"key"}},
		"negative memory":    {func(r *workload.Request) { r.Resources.MemoryMB = -1 }, []string{"resources.memory-mb"}},
		"no team and a huge gang": {func(r *workload.Request) {
			r.Team, r.GangSize = "", workload.MaxGangSize+1
		}, []string{"team", "gang-size"}},
		"nothing asked for": {func(r *workload.Request) { r.Resources = workload.Resources{} }, []string{"resources"}},
		"unknown mode":      {func(r *workload.Request) { r.Mode = "later" }, []string{"mode"}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			request := valid
			test.change(&request)
			var places []string
			for _, finding := range request.Validate(time.Now()) {
				places = append(places, finding.Place)
			}
			require.Equal(t, test.places, places)
		})
	}
}

// Guards against a retry that is taken for a different request, and against a
// different request that hides behind a used key.
func TestDigestIgnoresOnlyTheAttempt(t *testing.T) {
	request := workload.Request{Key: workload.NewKey(), Team: "a", Kind: "b", Payload: []byte("x")}
	retry := request
	retry.Attempt = 3
	require.Equal(t, request.Digest(), retry.Digest())
	other := request
	other.Payload = []byte("y")
	require.NotEqual(t, request.Digest(), other.Digest())
}

// Guards against a new home that takes an old request for a new one.
func TestKeyCarriesItsTimeOfIssue(t *testing.T) {
	issued, ok := workload.NewKey().IssuedAt()
	require.True(t, ok)
	require.WithinDuration(t, time.Now(), issued, time.Second)
}
