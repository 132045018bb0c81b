package load

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"yuccalanding.example/yuccalanding/internal/worker"
)

// Report holds the measurements of one run. Times are in milliseconds, and rates
// of requests in requests per second.
type Report struct {
	Mix        string    `json:"mix"`
	Seed       uint64    `json:"seed"`
	StartedAt  time.Time `json:"started-at"`
	DurationMS float64   `json:"duration-ms"`
	// OfferedPerSecond is the mean rate of the requests that were due.
	OfferedPerSecond float64 `json:"offered-a-second"`
	// WaitDefinitions says how the two waiting times are measured.
	WaitDefinitions string `json:"clocks"`
	// CPUTimeScope says which processes the CPU time covers, as in Target.
	CPUTimeScope string          `json:"cost-covers,omitempty"`
	Windows      []WindowMeasure `json:"windows"`
	Overloads    []Overload      `json:"overloads"`
	Actions      []ActionResult  `json:"actions,omitempty"`
	Checks       Checks          `json:"checks"`
	Series       []Series        `json:"series"`
	Packing      []PackingPoint  `json:"packing-over-time,omitempty"`
}

// waitDefinitions is the text of Report.WaitDefinitions, the same for all runs.
const waitDefinitions = "waited: from acceptance by the entry VM to the start, as the answer says (waited-ms, resolution 1 ms); " +
	"caller: from the planned time of sending to the whole answer, by the caller's clock, less the run time"

// WindowMeasure holds the measurements of one window of a run.
type WindowMeasure struct {
	Name    string      `json:"name"`
	FromMS  float64     `json:"from-ms"`
	UntilMS float64     `json:"until-ms"`
	Waits   []Wait      `json:"waits"`
	Packing Packing     `json:"packing"`
	Control ControlCost `json:"control"`
	window  Window
}

// Wait holds the rates and waiting times of one arrival stream in one window.
type Wait struct {
	Arrivals string `json:"arrivals"`
	Kind     string `json:"kind"`
	// OfferedPerSecond counts requests by their scheduled time, AnsweredPerSecond
	// by the time of the answer. Refused is the number of requests that were
	// refused as not run. ReportedWait comes from the answers, CallerWait from the
	// caller's clock.
	OfferedPerSecond  float64   `json:"offered-a-second"`
	AnsweredPerSecond float64   `json:"answered-a-second"`
	Refused           int       `json:"refused"`
	ReportedWait      Quantiles `json:"waited"`
	CallerWait        Quantiles `json:"caller"`
}

// Quantiles summarizes a histogram: the number of values, and the median, the
// 99th percentile and the maximum in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50-ms"`
	P99   float64 `json:"p99-ms"`
	Max   float64 `json:"max-ms"`
}

// Packing says how much of the fleet was allocated while work waited. Shares are
// from 0 to 1; all are 0 if no work waited.
type Packing struct {
	// WaitingShare is the share of the time in which work waited.
	WaitingShare float64 `json:"waiting-share"`
	// Mean and P10 are the mean and the 10th percentile over time of the highest
	// allocated share among CPU, memory, accelerators and slots.
	Mean float64 `json:"mean"`
	P10  float64 `json:"p10"`
	// Scarcest is the resource with the highest allocated share on average.
	Scarcest string `json:"scarcest,omitempty"`
	// StrandedAccelerators is the mean number of accelerators that were free on
	// workers without room for the waiting task with the fewest accelerators. Tasks
	// that need none are not considered.
	StrandedAccelerators float64 `json:"stranded-accelerators"`
	// Measured is set if the workers' start records were read.
	Measured bool `json:"known"`
}

// ControlCost is what the scheduler itself used in one window. A negative field
// was not measured. CPUPerStartMicros is in microseconds of CPU time per start of
// a task. NodeBytesPerSecond is the mean of what each node sent to other nodes,
// CrossRegionBytesPerSecond the sum of what all nodes sent to other regions. Both
// include requests, answers, and UDP and IP headers.
type ControlCost struct {
	TaskStarts                int     `json:"task-starts"`
	CPUPerStartMicros         float64 `json:"cpu-per-start-us"`
	AppendsPerSecond          float64 `json:"log-appends-a-second"`
	NodeBytesPerSecond        float64 `json:"node-bytes-a-second"`
	CrossRegionBytesPerSecond float64 `json:"region-link-bytes-a-second"`
}

// Overload describes the effect of one flood on the other arrival streams.
// FloodPerSecond is the rate at which requests of the flood's own stream were due.
type Overload struct {
	Flood          string        `json:"flood"`
	Kind           string        `json:"kind"`
	OtherArrivals  []FloodEffect `json:"other-work"`
	FloodPerSecond float64       `json:"flood-offered-a-second"`
}

// FloodEffect compares one arrival stream during a flood with the baseline window.
// Throughputs are in answers per second. P99BeforeMS and P99DuringMS are 99th
// percentiles of the waits by the caller's clock. A ratio is 0 if either window has
// no answers.
type FloodEffect struct {
	Arrivals         string  `json:"arrivals"`
	Kind             string  `json:"kind"`
	ThroughputBefore float64 `json:"throughput-before"`
	ThroughputDuring float64 `json:"throughput-during"`
	ThroughputRatio  float64 `json:"throughput-ratio"`
	P99BeforeMS      float64 `json:"p99-before-ms"`
	P99DuringMS      float64 `json:"p99-during-ms"`
	P99Ratio         float64 `json:"p99-ratio"`
}

// Series holds the figures of one arrival stream for each second of the run.
type Series struct {
	Arrivals string        `json:"arrivals"`
	Points   []SeriesPoint `json:"points"`
}

// SeriesPoint holds the figures of one second of an arrival stream. Offered counts
// the requests that were due, Answered the answers that arrived. P50 and P99 are
// the median and the 99th percentile of the waits by the caller's clock, in
// milliseconds. They cover the answered requests that were due in that second.
type SeriesPoint struct {
	Second   int     `json:"second"`
	Offered  int     `json:"offered"`
	Answered int     `json:"answered"`
	P50      float64 `json:"p50-ms"`
	P99      float64 `json:"p99-ms"`
}

// PackingPoint is the allocation of the fleet at one time. Shares are from 0 to 1.
// Waiting is the number of waiting requests. StrandedAccelerators is as in
// Packing.
type PackingPoint struct {
	AtMS                 float64 `json:"at-ms"`
	CPU                  float64 `json:"cpu"`
	Memory               float64 `json:"memory"`
	Accelerators         float64 `json:"accelerators"`
	Slots                float64 `json:"slots"`
	Waiting              int     `json:"waiting"`
	StrandedAccelerators int64   `json:"stranded-accelerators"`
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// report computes the report of a run. workers is nil if the workers' states were
// not read.
func (r *run) report(workers []worker.State) *Report {
	mix := r.options.Mix
	report := &Report{
		Mix: mix.Name, Seed: mix.Seed, StartedAt: r.start.UTC(), DurationMS: milliseconds(mix.Duration),
		OfferedPerSecond: float64(len(r.records)) / mix.Duration.Seconds(), WaitDefinitions: waitDefinitions, CPUTimeScope: r.options.Target.CPUTimeScope,
		Actions: r.actions, Checks: check(r.start, r.records, workers), Series: series(mix, r.records),
	}
	report.Packing = packingOverTime(r.start, mix.Duration, r.records, workers)
	for _, window := range mix.windows() {
		report.Windows = append(report.Windows, r.measure(window, workers, report.Packing))
	}
	report.Overloads = r.overloads(report.Windows)
	return report
}

// WriteJSON writes the report as indented JSON.
func (r *Report) WriteJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// ReadReport reads a file that WriteJSON wrote. It fails if the file can't be read
// or doesn't hold a report.
func ReadReport(path string) (*Report, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	report := &Report{}
	if err := json.Unmarshal(content, report); err != nil {
		return nil, fmt.Errorf("%s is not a report of a load run: %w", path, err)
	}
	return report, nil
}
