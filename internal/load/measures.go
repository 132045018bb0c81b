package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"yuccalanding.example/yuccalanding/internal/worker"
)

// Range of the histograms in microseconds. Values have 3 significant digits.
const (
	minHistogramMicros = 1
	maxHistogramMicros = int64(time.Hour / time.Microsecond)
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minHistogramMicros, maxHistogramMicros, 3)
}

// recordDuration adds a duration to a histogram and clamps it to the range.
func recordDuration(histogram *hdrhistogram.Histogram, value time.Duration) {
	_ = histogram.RecordValue(min(max(value.Microseconds(), 0), maxHistogramMicros))
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	if h.TotalCount() == 0 {
		return Quantiles{}
	}
	toMS := func(micros int64) float64 { return float64(micros) / 1000 }
	return Quantiles{h.TotalCount(), toMS(h.ValueAtQuantile(50)), toMS(h.ValueAtQuantile(99)), toMS(h.Max())}
}

// callerWait is the waiting time by the caller's clock: from the scheduled time
// of sending to the complete answer, less the run time.
func (r *requestRecord) callerWait() time.Duration { return r.doneAt - r.dueAt - r.ran }

// measure computes the measurements of one window. A waiting time belongs to the
// window in which its request was due.
func (r *run) measure(window Window, workers []worker.State, points []PackingPoint) WindowMeasure {
	m := WindowMeasure{Name: window.Name, FromMS: milliseconds(window.From), UntilMS: milliseconds(window.Until), window: window}
	for streamIndex := range r.options.Mix.Arrivals {
		if wait := r.measureWait(streamIndex, window); wait.OfferedPerSecond > 0 {
			m.Waits = append(m.Waits, wait)
		}
	}
	m.Packing = packing(window, points)
	m.Control = r.controlCost(window, workers)
	return m
}

// measureWait measures one arrival stream in one window. Answers are counted by
// the time of the answer, everything else by the scheduled time of the request.
func (r *run) measureWait(streamIndex int, window Window) Wait {
	a := &r.options.Mix.Arrivals[streamIndex]
	wait := Wait{Arrivals: a.Name, Kind: a.Kind}
	reportedWaits, callerWaits := newHistogram(), newHistogram()
	offered, answered := 0, 0
	for _, record := range r.records {
		if record.streamIndex != streamIndex {
			continue
		}
		if record.outcome == Answered && window.contains(record.doneAt) {
			answered++
		}
		if !window.contains(record.dueAt) {
			continue
		}
		offered++
		switch record.outcome {
		case Answered:
			recordDuration(reportedWaits, record.waited)
			recordDuration(callerWaits, record.callerWait())
		case NotRun:
			wait.Refused++
		}
	}
	wait.OfferedPerSecond, wait.AnsweredPerSecond = float64(offered)/window.seconds(), float64(answered)/window.seconds()
	wait.ReportedWait, wait.CallerWait = quantiles(reportedWaits), quantiles(callerWaits)
	return wait
}

// controlCost computes what the scheduler used in a window from the samples at
// the start and the end of the window.
func (r *run) controlCost(window Window, workers []worker.State) ControlCost {
	cost := ControlCost{CPUPerStartMicros: -1, AppendsPerSecond: -1, NodeBytesPerSecond: -1, CrossRegionBytesPerSecond: -1}
	from, until := r.start.Add(window.From).UnixMilli(), r.start.Add(window.Until).UnixMilli()
	for i := range workers {
		for _, record := range workers[i].Started {
			if record.StartedAtMS >= from && record.StartedAtMS < until {
				cost.TaskStarts++
			}
		}
	}
	first, last := r.sampleAt(window.From), r.sampleAt(window.Until)
	if first == nil || last == nil || last.at <= first.at {
		return cost
	}
	if cost.TaskStarts > 0 && first.cost.CPU >= 0 {
		cost.CPUPerStartMicros = float64((last.cost.CPU - first.cost.CPU).Microseconds()) / float64(cost.TaskStarts)
	}
	if first.cost.Appends >= 0 {
		cost.AppendsPerSecond = float64(last.cost.Appends-first.cost.Appends) / (last.at - first.at).Seconds()
	}
	if first.sentBytes >= 0 {
		nodes := float64(len(r.options.Target.MetricsSources))
		cost.NodeBytesPerSecond = float64(last.sentBytes-first.sentBytes) / (last.at - first.at).Seconds() / nodes
		cost.CrossRegionBytesPerSecond = float64(last.crossRegionBytes-first.crossRegionBytes) / (last.at - first.at).Seconds()
	}
	return cost
}

// sampleAt returns the first sample at or after a time, or nil if there is none.
func (r *run) sampleAt(at time.Duration) *sample {
	for i := range r.samples {
		if r.samples[i].at >= at {
			return &r.samples[i]
		}
	}
	return nil
}

// overloads compares the other arrival streams during each flood with the
// baseline window. windows are in the order of Mix.windows.
func (r *run) overloads(windows []WindowMeasure) []Overload {
	overloads := []Overload{}
	baseline := &windows[0]
	for i, flood := range r.options.Mix.Floods {
		during := &windows[i+1]
		overload := Overload{Flood: flood.Arrivals, Kind: r.options.Mix.findArrivals(flood.Arrivals).Kind}
		for _, wait := range during.Waits {
			if wait.Arrivals == flood.Arrivals {
				overload.FloodPerSecond = wait.OfferedPerSecond
				continue
			}
			overload.OtherArrivals = append(overload.OtherArrivals, floodEffect(baseline.findWait(wait.Arrivals), wait))
		}
		overloads = append(overloads, overload)
	}
	return overloads
}

// findWait returns the measurements of one arrival stream, or zeros if the window
// has none.
func (m *WindowMeasure) findWait(arrivals string) Wait {
	for _, wait := range m.Waits {
		if wait.Arrivals == arrivals {
			return wait
		}
	}
	return Wait{Arrivals: arrivals}
}

func floodEffect(baseline, during Wait) FloodEffect {
	return FloodEffect{
		Arrivals: during.Arrivals, Kind: during.Kind,
		ThroughputBefore: baseline.AnsweredPerSecond, ThroughputDuring: during.AnsweredPerSecond,
		ThroughputRatio: ratio(during.AnsweredPerSecond, baseline.AnsweredPerSecond),
		P99BeforeMS:     baseline.CallerWait.P99, P99DuringMS: during.CallerWait.P99,
		P99Ratio: ratio(during.CallerWait.P99, baseline.CallerWait.P99),
	}
}

// ratio returns value divided by the divisor, or 0 if the divisor is 0.
func ratio(value, divisor float64) float64 {
	if divisor == 0 {
		return 0
	}
	return value / divisor
}

// series computes the rates and caller waits of each arrival stream for each
// second of the run.
func series(mix *Mix, records []*requestRecord) []Series {
	seconds := int((mix.Duration + time.Second - 1) / time.Second)
	all := make([]Series, len(mix.Arrivals))
	histograms := make([][]*hdrhistogram.Histogram, len(all))
	for i := range all {
		all[i] = Series{Arrivals: mix.Arrivals[i].Name, Points: make([]SeriesPoint, seconds)}
		histograms[i] = make([]*hdrhistogram.Histogram, seconds)
		for second := range seconds {
			all[i].Points[second].Second = second
		}
	}
	for _, record := range records {
		due, done := int(record.dueAt/time.Second), int(record.doneAt/time.Second)
		points := all[record.streamIndex].Points
		points[due].Offered++
		if record.outcome != Answered {
			continue
		}
		if done < seconds {
			points[done].Answered++
		}
		if histograms[record.streamIndex][due] == nil {
			histograms[record.streamIndex][due] = newHistogram()
		}
		recordDuration(histograms[record.streamIndex][due], record.callerWait())
	}
	for i := range all {
		for second, histogram := range histograms[i] {
			if histogram != nil {
				waits := quantiles(histogram)
				all[i].Points[second].P50, all[i].Points[second].P99 = waits.P50, waits.P99
			}
		}
	}
	return all
}
