package estimate

import (
	"math"
	"time"
)

const (
	// bucketsPerOctave gives buckets of 19%; estimates need no more precision.
	bucketsPerOctave = 4
	// The buckets cover 2^-10 to 2^32: ratios of a thousandth, and 30 days in
	// milliseconds. Values outside count in the first or last bucket.
	lowestOctave = -10
	octaves      = 42
	buckets      = octaves * bucketsPerOctave
	// largestTotal limits the weight of the past: when it is reached, all
	// observations lose half their weight.
	largestTotal = 256
	// ageStep is the part of a half life in steps of which weights are reduced.
	ageStep = 8
)

// histogram holds weighted observations on a logarithmic scale.
type histogram struct {
	weights []float32
	total   float64
	agedAt  time.Time
}

func (h *histogram) add(value float64) {
	if h.weights == nil {
		h.weights = make([]float32, buckets)
	}
	if h.total >= largestTotal {
		h.scale(0.5)
	}
	at := 0
	if value > 0 {
		at = int(math.Floor((math.Log2(value) - lowestOctave) * bucketsPerOctave))
	}
	h.weights[min(max(at, 0), buckets-1)]++
	h.total++
}

// addRatio adds the observed use of something that was declared.
func (h *histogram) addRatio(used, declared int64) {
	if declared > 0 {
		h.add(float64(used) / float64(declared))
	}
}

func (h *histogram) scale(factor float64) {
	h.total = 0
	for i := range h.weights {
		h.weights[i] *= float32(factor)
		h.total += float64(h.weights[i])
	}
}

// age reduces the weight of observations by their age.
func (h *histogram) age(now time.Time, halfLife time.Duration) {
	passed := now.Sub(h.agedAt)
	if h.agedAt.IsZero() {
		h.agedAt = now
	} else if passed >= halfLife/ageStep {
		h.scale(math.Exp2(-float64(passed) / float64(halfLife)))
		h.agedAt = now
	}
}

// quantile returns the middle of the bucket that holds the quantile.
func (h *histogram) quantile(q float64) float64 {
	left, last := q*h.total, 0
	for i, weight := range h.weights {
		if weight > 0 {
			last = i
			if left -= float64(weight); left <= 0 {
				break
			}
		}
	}
	return math.Exp2((float64(last)+0.5)/bucketsPerOctave + lowestOctave)
}

// spread is the ratio between the 90% and the 10% quantile.
func (h *histogram) spread() float64 { return h.quantile(0.9) / h.quantile(0.1) }

func (h *histogram) correct(declared int64) int64 {
	if declared <= 0 || h.total < minSamples {
		return declared
	}
	ratio := min(max(h.quantile(sizeQuantile)*sizeMargin, 1.0/largestCorrection), largestCorrection)
	return max(int64(float64(declared)*ratio), 1)
}
