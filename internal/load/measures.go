package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"yuccalanding.example/yuccalanding/internal/worker"
)

// Bounds of the histograms, in microseconds; values have 3 significant digits.
const (
	shortestMicros = 1
	longestMicros  = int64(time.Hour / time.Microsecond)
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(shortestMicros, longestMicros, 3)
}

func put(histogram *hdrhistogram.Histogram, value time.Duration) {
	_ = histogram.RecordValue(min(max(value.Microseconds(), 0), longestMicros))
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	if h.TotalCount() == 0 {
		return Quantiles{}
	}
	in := func(micros int64) float64 { return float64(micros) / 1000 }
	return Quantiles{h.TotalCount(), in(h.ValueAtQuantile(50)), in(h.ValueAtQuantile(99)), in(h.Max())}
}

// callerWait is the waiting time by the caller's clock, counted from the
// planned time of sending.
func (r *record) callerWait() time.Duration { return r.doneAt - r.at - r.ran }

// measure computes the measures of one window. Waits belong to the window in
// which their request was due.
func (r *run) measure(window Window, workers []worker.State, points []PackingPoint) WindowMeasure {
	m := WindowMeasure{Name: window.Name, FromMS: milliseconds(window.From), UntilMS: milliseconds(window.Until), window: window}
	for stream := range r.options.Mix.Arrivals {
		if wait := r.wait(stream, window); wait.OfferedASecond > 0 {
			m.Waits = append(m.Waits, wait)
		}
	}
	m.Packing = packing(window, points)
	m.Control = r.control(window, workers)
	return m
}

func (r *run) wait(stream int, window Window) Wait {
	a := &r.options.Mix.Arrivals[stream]
	wait := Wait{Arrivals: a.Name, Kind: a.Kind}
	waited, byCaller := newHistogram(), newHistogram()
	offered, answered := 0, 0
	for _, each := range r.records {
		if each.stream != stream {
			continue
		}
		if each.outcome == Answered && window.holds(each.doneAt) {
			answered++
		}
		if !window.holds(each.at) {
			continue
		}
		offered++
		switch each.outcome {
		case Answered:
			put(waited, each.waited)
			put(byCaller, each.callerWait())
		case NotRun:
			wait.Refused++
		}
	}
	wait.OfferedASecond, wait.AnsweredASecond = float64(offered)/window.seconds(), float64(answered)/window.seconds()
	wait.Waited, wait.Caller = quantiles(waited), quantiles(byCaller)
	return wait
}

// control computes the cost of a window from the samples at its edges.
func (r *run) control(window Window, workers []worker.State) ControlCost {
	cost := ControlCost{CPUPerStartMicros: -1, AppendsASecond: -1, NodeBytesASecond: -1, RegionLinkASecond: -1}
	from, until := r.start.Add(window.From).UnixMilli(), r.start.Add(window.Until).UnixMilli()
	for i := range workers {
		for _, each := range workers[i].Started {
			if each.StartedAtMS >= from && each.StartedAtMS < until {
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
		cost.AppendsASecond = float64(last.cost.Appends-first.cost.Appends) / (last.at - first.at).Seconds()
	}
	if first.sent >= 0 {
		nodes := float64(len(r.options.Target.Metrics))
		cost.NodeBytesASecond = float64(last.sent-first.sent) / (last.at - first.at).Seconds() / nodes
		cost.RegionLinkASecond = float64(last.links-first.links) / (last.at - first.at).Seconds()
	}
	return cost
}

// sampleAt returns the first sample that is not before a time.
func (r *run) sampleAt(at time.Duration) *sample {
	for i := range r.samples {
		if r.samples[i].at >= at {
			return &r.samples[i]
		}
	}
	return nil
}

// overloads compares each flood with the window before all floods.
func (r *run) overloads(windows []WindowMeasure) []Overload {
	overloads := []Overload{}
	before := &windows[0]
	for i, flood := range r.options.Mix.Floods {
		during := &windows[i+1]
		overload := Overload{Flood: flood.Arrivals, Kind: r.options.Mix.arrivals(flood.Arrivals).Kind}
		for _, wait := range during.Waits {
			if wait.Arrivals == flood.Arrivals {
				overload.Rate = wait.OfferedASecond
				continue
			}
			overload.Other = append(overload.Other, kept(before.wait(wait.Arrivals), wait))
		}
		overloads = append(overloads, overload)
	}
	return overloads
}

func (m *WindowMeasure) wait(arrivals string) Wait {
	for _, wait := range m.Waits {
		if wait.Arrivals == arrivals {
			return wait
		}
	}
	return Wait{Arrivals: arrivals}
}

func kept(before, during Wait) Kept {
	return Kept{
		Arrivals: during.Arrivals, Kind: during.Kind,
		ThroughputBefore: before.AnsweredASecond, ThroughputDuring: during.AnsweredASecond,
		ThroughputRatio: ratio(during.AnsweredASecond, before.AnsweredASecond),
		P99BeforeMS:     before.Caller.P99, P99DuringMS: during.Caller.P99,
		P99Ratio: ratio(during.Caller.P99, before.Caller.P99),
	}
}

// ratio is 0 if the divisor is.
func ratio(value, by float64) float64 {
	if by == 0 {
		return 0
	}
	return value / by
}

// series computes the figures of each second.
func series(mix *Mix, records []*record) []Series {
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
	for _, each := range records {
		due, done := int(each.at/time.Second), int(each.doneAt/time.Second)
		points := all[each.stream].Points
		points[due].Offered++
		if each.outcome != Answered {
			continue
		}
		if done < seconds {
			points[done].Answered++
		}
		if histograms[each.stream][due] == nil {
			histograms[each.stream][due] = newHistogram()
		}
		put(histograms[each.stream][due], each.callerWait())
	}
	for i := range all {
		for second, histogram := range histograms[i] {
			if histogram != nil {
				figures := quantiles(histogram)
				all[i].Points[second].P50, all[i].Points[second].P99 = figures.P50, figures.P99
			}
		}
	}
	return all
}
