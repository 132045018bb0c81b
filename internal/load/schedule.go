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

// requestRecord is one request of a run with its plan and its outcome.
type requestRecord struct {
	arrivals    *Arrivals
	streamIndex int
	// dueAt is the scheduled time of sending, since the start of the run.
	dueAt    time.Duration
	runTime  time.Duration
	willFail bool
	key      workload.Key
	digest   string

	// sent is set after key, digest and sentAt were written, done after the fields
	// of the outcome were. Other goroutines may read these fields only then.
	sent, done atomic.Bool
	// cancelled is set before the driver cancels the request.
	cancelled atomic.Bool
	outcome   Outcome
	code      workload.Code
	message   string
	// accepted is set if the scheduler confirmed a job or service as durable.
	// acceptedAt is the time of the confirmation, since the start of the run.
	accepted   bool
	acceptedAt time.Duration
	// sentAt is the actual time of sending, doneAt the time at which the outcome was
	// known, both since the start of the run. waited and ran are the waiting time
	// and the run time that the answer states.
	sentAt, doneAt time.Duration
	waited, ran    time.Duration
	body           []byte
	worker         string
}

// Outcome is the result of a request as its caller knows it.
type Outcome string

// Outcomes of a request.
const (
	// Answered means that the work ran and its answer arrived.
	Answered Outcome = "answered"
	// Failed means that the work ran and ended with an error.
	Failed Outcome = "failed"
	// NotRun means a refusal that guarantees that the work didn't run.
	// MayHaveRun means an error or a refusal without that guarantee.
	NotRun     Outcome = "not-run"
	MayHaveRun Outcome = "may-have-run"
	// Cancelled means that the driver cancelled the request.
	Cancelled Outcome = "cancelled"
	// Unanswered means that no answer arrived before the end of the run.
	Unanswered Outcome = "unanswered"
	// NotSent means that Mix.MaxOpen requests were open when it was due.
	NotSent Outcome = "not-sent"
	// ServiceAccepted means that a service was accepted; a service has no answer
	// while it runs.
	ServiceAccepted Outcome = "service-accepted"
)

// schedule plans all requests of a mix from its seed, in the order of their
// scheduled times.
func schedule(mix *Mix) []*requestRecord {
	var records []*requestRecord
	for i := range mix.Arrivals {
		random := rand.New(rand.NewPCG(mix.Seed, uint64(i)))
		records = append(records, mix.plan(i, random)...)
	}
	slices.SortStableFunc(records, func(a, b *requestRecord) int { return int(a.dueAt - b.dueAt) })
	return records
}

// plan returns the requests of one arrival stream. Each interarrival time is
// drawn in units of its mean and then scaled by the rate, which may change
// before the next arrival.
func (m *Mix) plan(streamIndex int, random *rand.Rand) []*requestRecord {
	a := &m.Arrivals[streamIndex]
	var records []*requestRecord
	dueAt := a.From
	for len(records) < MaxArrivals {
		interarrival := 1.0
		if a.Process == Poisson {
			interarrival = random.ExpFloat64()
		}
		var ok bool
		if dueAt, ok = m.advance(a, dueAt, interarrival); !ok {
			break
		}
		factor := 1 + a.RunTimeSpread*(2*random.Float64()-1)
		records = append(records, &requestRecord{
			arrivals: a, streamIndex: streamIndex, dueAt: dueAt,
			runTime: time.Duration(float64(a.RunTime) * factor), willFail: random.Float64() < a.FailureShare,
		})
	}
	return records
}

// advance returns the time of the arrival that comes one interarrival time after
// a given time. The interarrival time is in units of its mean. It reports false
// once the stream has ended.
func (m *Mix) advance(a *Arrivals, at time.Duration, interarrival float64) (time.Duration, bool) {
	for at < a.Until {
		perSecond, until := m.rate(a, at)
		if expected := perSecond * (until - at).Seconds(); interarrival > expected {
			interarrival -= expected
			at = until
			continue
		}
		at += time.Duration(interarrival / perSecond * float64(time.Second))
		return at, at < a.Until
	}
	return at, false
}

// payload tells a stand-in worker how to simulate the task. It holds the request's
// key, so that every payload differs and an answer to another request is detected.
type payload struct {
	RunMS   int64              `json:"run-ms"`
	Fail    bool               `json:"fail,omitempty"`
	Use     workload.Resources `json:"use,omitzero"`
	Key     workload.Key       `json:"key"`
	Padding string             `json:"padding,omitempty"`
}

// request builds the request of a record and sets the record's key and payload
// digest.
func (r *requestRecord) request() workload.Request {
	a := r.arrivals
	r.key = workload.NewKey()
	content := payload{RunMS: r.runTime.Milliseconds(), Fail: r.willFail, Key: r.key}
	if a.Mode == workload.ModeService {
		content.RunMS = -1
	}
	if a.UseFactor != 1 {
		content.Use = workload.Resources{
			MilliCPU: int64(float64(a.Resources.MilliCPU) * a.UseFactor),
			MemoryMB: int64(float64(a.Resources.MemoryMB) * a.UseFactor), Accelerators: a.Resources.Accelerators,
		}
	}
	body, err := json.Marshal(content)
	if err != nil {
		panic(err) // impossible: payload holds only strings, numbers and booleans
	}
	if missing := a.PayloadBytes - len(body); missing > 0 {
		content.Padding = strings.Repeat("x", missing)
		body, _ = json.Marshal(content)
	}
	r.digest = workervm.Digest(body)
	return workload.Request{
		Key: r.key, Team: a.Team, Kind: a.Kind, Class: a.Class, Mode: a.Mode, Region: a.Region,
		NonIdempotent: a.NonIdempotent, Resources: a.Resources, GangSize: a.GangSize,
		RunTimeMS: int64(float64(a.RunTime.Milliseconds()) * a.DeclaredFactor), StartWithinMS: a.StartWithin.Milliseconds(),
		HoldInOutage: a.HoldInOutage, Payload: body,
	}
}
