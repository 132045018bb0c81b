package load

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"yuccalanding.example/yuccalanding/internal/standin/workervm"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// requestRecord is one request of a run: what was planned, and what came of it.
type requestRecord struct {
	arrivals    *Arrivals
	streamIndex int
	// dueAt is the planned time since the start of the run.
	dueAt    time.Duration
	runTime  time.Duration
	willFail bool
	key      workload.Key
	digest   string

	// sent and done order the fields below between goroutines.
	sent, done atomic.Bool
	cancelled  atomic.Bool
	outcome    Outcome
	code       workload.Code
	message    string
	// accepted is set for a durable job whose receipt came, at acceptedAt.
	accepted   bool
	acceptedAt time.Duration
	// sentAt is when the driver really sent, doneAt when the outcome was whole.
	sentAt, doneAt time.Duration
	waited, ran    time.Duration
	body           []byte
	worker         string
}

// Outcome is what a caller learned of its request.
type Outcome string

// The outcomes.
const (
	Answered Outcome = "answered"
	// Failed work ran and ended with an error.
	Failed Outcome = "failed"
	// NotRun was refused with the promise that it didn't run; MayHaveRun without.
	NotRun     Outcome = "not-run"
	MayHaveRun Outcome = "may-have-run"
	// Cancelled work was cancelled by the driver.
	Cancelled Outcome = "cancelled"
	// Unanswered work got nothing until the end of the run.
	Unanswered Outcome = "unanswered"
	// NotSent was held back because too many requests were open.
	NotSent Outcome = "not-sent"
	// Started is the outcome of a service, which has no answer while it runs.
	Started Outcome = "service-accepted"
)

// schedule plans all requests of a mix from its seed.
func schedule(mix *Mix) []*requestRecord {
	var records []*requestRecord
	for i := range mix.Arrivals {
		random := rand.New(rand.NewPCG(mix.Seed, uint64(i)))
		records = append(records, mix.plan(i, random)...)
	}
	slices.SortStableFunc(records, func(a, b *requestRecord) int { return int(a.dueAt - b.dueAt) })
	return records
}

// plan returns the requests of one stream. Each distance is drawn in units of
// the mean distance and then stretched by the rate, which may change meanwhile.
func (m *Mix) plan(streamIndex int, random *rand.Rand) []*requestRecord {
	a := &m.Arrivals[streamIndex]
	var records []*requestRecord
	dueAt := a.From
	for len(records) < MaxArrivals {
		distance := 1.0
		if a.Process == Poisson {
			distance = random.ExpFloat64()
		}
		var inside bool
		if dueAt, inside = m.advance(a, dueAt, distance); !inside {
			break
		}
		spread := 1 + a.RunTimeSpread*(2*random.Float64()-1)
		records = append(records, &requestRecord{
			arrivals: a, streamIndex: streamIndex, dueAt: dueAt,
			runTime: time.Duration(float64(a.RunTime) * spread), willFail: random.Float64() < a.FailureShare,
		})
	}
	return records
}

// advance moves from one time by a distance in units of the mean distance. It
// reports false once the stream has ended.
func (m *Mix) advance(a *Arrivals, at time.Duration, distance float64) (time.Duration, bool) {
	for at < a.Until {
		perSecond, until := m.rate(a, at)
		if fits := perSecond * (until - at).Seconds(); distance > fits {
			distance -= fits
			at = until
			continue
		}
		at += time.Duration(distance / perSecond * float64(time.Second))
		return at, at < a.Until
	}
	return at, false
}

// payload is the program of a stand-in worker. The key in it makes every
// payload different, so that an answer to another request is seen.
type payload struct {
	RunMS   int64              `json:"run-ms"`
	Fail    bool               `json:"fail,omitempty"`
	Use     workload.Resources `json:"use,omitzero"`
	Key     workload.Key       `json:"key"`
	Padding string             `json:"padding,omitempty"`
}

// request builds the request of a record and fills in its key and digest.
func (r *requestRecord) request() workload.Request {
	a := r.arrivals
	r.key = workload.NewKey()
	program := payload{RunMS: r.runTime.Milliseconds(), Fail: r.willFail, Key: r.key}
	if a.Mode == workload.ModeService {
		program.RunMS = -1
	}
	if a.UseFactor != 1 {
		program.Use = workload.Resources{
			MilliCPU: int64(float64(a.Resources.MilliCPU) * a.UseFactor),
			MemoryMB: int64(float64(a.Resources.MemoryMB) * a.UseFactor), Accelerators: a.Resources.Accelerators,
		}
	}
	body, err := json.Marshal(program)
	if err != nil {
		panic(err) // payload holds only strings and numbers.
	}
	if missing := a.PayloadBytes - len(body); missing > 0 {
		program.Padding = strings.Repeat("x", missing)
		body, _ = json.Marshal(program)
	}
	r.digest = workervm.Digest(body)
	return workload.Request{
		Key: r.key, Team: a.Team, Kind: a.Kind, Class: a.Class, Mode: a.Mode, Region: a.Region,
		NonIdempotent: a.NonIdempotent, Resources: a.Resources, GangSize: a.GangSize,
		RunTimeMS: int64(float64(a.RunTime.Milliseconds()) * a.DeclaredFactor), StartWithinMS: a.StartWithin.Milliseconds(),
		HoldInOutage: a.Hold, Payload: body,
	}
}
