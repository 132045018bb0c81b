package load

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"yuccalanding.example/yuccalanding/internal/worker"
)

// Report is what one run measured. Times are in milliseconds.
type Report struct {
	Mix        string    `json:"mix"`
	Seed       uint64    `json:"seed"`
	StartedAt  time.Time `json:"started-at"`
	DurationMS float64   `json:"duration-ms"`
	// OfferedPerSecond is the mean number of requests a second that were due.
	OfferedPerSecond float64 `json:"offered-a-second"`
	// Clocks say where the two waiting times come from.
	Clocks string `json:"clocks"`
	// CostCovers says which processes the CPU time is of.
	CostCovers string          `json:"cost-covers,omitempty"`
	Windows    []WindowMeasure `json:"windows"`
	Overloads  []Overload      `json:"overloads"`
	Actions    []ActionResult  `json:"actions,omitempty"`
	Checks     Checks          `json:"checks"`
	Series     []Series        `json:"series"`
	Packing    []PackingPoint  `json:"packing-over-time,omitempty"`
}

// clocks is the same for all runs.
const clocks = "waited: from acceptance by the entry VM to the start, as the answer says (waited-ms, resolution 1 ms); " +
	"caller: from the planned time of sending to the whole answer, by the caller's clock, less the run time"

// WindowMeasure are the measures of one part of a run.
type WindowMeasure struct {
	Name    string      `json:"name"`
	FromMS  float64     `json:"from-ms"`
	UntilMS float64     `json:"until-ms"`
	Waits   []Wait      `json:"waits"`
	Packing Packing     `json:"packing"`
	Control ControlCost `json:"control"`
	window  Window
}

// Wait is the waiting time of one stream in one window.
type Wait struct {
	Arrivals string `json:"arrivals"`
	Kind     string `json:"kind"`
	// OfferedPerSecond and AnsweredASecond count by planned time and by time of
	// the answer.
	OfferedPerSecond  float64   `json:"offered-a-second"`
	AnsweredPerSecond float64   `json:"answered-a-second"`
	Refused           int       `json:"refused"`
	ReportedWait      Quantiles `json:"waited"`
	CallerWait        Quantiles `json:"caller"`
}

// Quantiles are figures of a histogram, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50-ms"`
	P99   float64 `json:"p99-ms"`
	Max   float64 `json:"max-ms"`
}

// Packing is how much of the fleet was allocated while work waited. Shares are
// from 0 to 1; all are 0 if no work waited.
type Packing struct {
	// WaitingShare is the share of the time in which work waited.
	WaitingShare float64 `json:"waiting-share"`
	Mean         float64 `json:"mean"`
	P10          float64 `json:"p10"`
	// Scarcest is the resource with the highest allocated share on average.
	Scarcest string `json:"scarcest,omitempty"`
	// StrandedAccelerators is the mean number of accelerators that were free on workers
	// where the smallest waiting accelerator task did not fit.
	StrandedAccelerators float64 `json:"stranded-accelerators"`
	Measured             bool    `json:"known"`
}

// ControlCost is what control used. Negative fields were not measured. Bytes
// are those that a node sent to other nodes on average and those that crossed
// between regions, both with requests, answers and UDP and IP headers.
type ControlCost struct {
	TaskStarts                int     `json:"task-starts"`
	CPUPerStartMicros         float64 `json:"cpu-per-start-us"`
	AppendsPerSecond          float64 `json:"log-appends-a-second"`
	NodeBytesPerSecond        float64 `json:"node-bytes-a-second"`
	CrossRegionBytesPerSecond float64 `json:"region-link-bytes-a-second"`
}

// Overload is what other work kept in one flood.
type Overload struct {
	Flood          string        `json:"flood"`
	Kind           string        `json:"kind"`
	OtherArrivals  []FloodEffect `json:"other-work"`
	FloodPerSecond float64       `json:"flood-offered-a-second"`
}

// FloodEffect compares one stream during a flood with the time before. A ratio is 0
// if either side has no answers.
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

// Series is one stream second by second.
type Series struct {
	Arrivals string        `json:"arrivals"`
	Points   []SeriesPoint `json:"points"`
}

// SeriesPoint is one second of a stream.
type SeriesPoint struct {
	Second   int     `json:"second"`
	Offered  int     `json:"offered"`
	Answered int     `json:"answered"`
	P50      float64 `json:"p50-ms"`
	P99      float64 `json:"p99-ms"`
}

// PackingPoint is the allocation at one time. Shares are from 0 to 1.
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

// report computes all measures of a run.
func (r *run) report(workers []worker.State) *Report {
	mix := r.options.Mix
	report := &Report{
		Mix: mix.Name, Seed: mix.Seed, StartedAt: r.start.UTC(), DurationMS: milliseconds(mix.Duration),
		OfferedPerSecond: float64(len(r.records)) / mix.Duration.Seconds(), Clocks: clocks, CostCovers: r.options.Target.CPUTimeScope,
		Actions: r.actions, Checks: check(r.start, r.records, workers), Series: series(mix, r.records),
	}
	report.Packing = packingOverTime(r.start, mix.Duration, r.records, workers)
	for _, window := range mix.windows() {
		report.Windows = append(report.Windows, r.measure(window, workers, report.Packing))
	}
	report.Overloads = r.overloads(report.Windows)
	return report
}

// WriteJSON writes the report.
func (r *Report) WriteJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// ReadReport reads a file that WriteJSON wrote.
func ReadReport(path string) (*Report, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	report := &Report{}
	if err := json.Unmarshal(content, report); err != nil {
		return nil, fmt.Errorf("%s is no report of a load run: %w", path, err)
	}
	return report, nil
}
