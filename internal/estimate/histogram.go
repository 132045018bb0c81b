package estimate

import (
	"math"
	"time"
)

const (
	// bucketsPerOctave makes each bucket 19% wide. Estimates need no more
	// precision.
	bucketsPerOctave = 4
	// The buckets cover 2^-10 to 2^32: ratios from one thousandth, and
	// milliseconds up to more than 30 days. Values outside of this range count
	// in the first or last bucket.
	lowestOctave = -10
	octaves      = 42
	buckets      = octaves * bucketsPerOctave
	// maxWeight bounds the total weight, and with it the influence of old
	// observations: when the total reaches it, all weights are halved.
	maxWeight = 256
	// decayStepsPerHalfLife is the largest number of times in a half-life that
	// the weights are reduced.
	decayStepsPerHalfLife = 8
)

// histogram is weighted observations on a logarithmic scale.
type histogram struct {
	weights   []float32
	total     float64
	decayedAt time.Time
}

func (h *histogram) add(value float64) {
	if h.weights == nil {
		h.weights = make([]float32, buckets)
	}
	if h.total >= maxWeight {
		h.scale(0.5)
	}
	bucket := 0
	if value > 0 {
		bucket = int(math.Floor((math.Log2(value) - lowestOctave) * bucketsPerOctave))
	}
	h.weights[min(max(bucket, 0), buckets-1)]++
	h.total++
}

// addRatio adds the ratio of the used to the declared quantity of a resource.
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

// decay multiplies the weights by 1/2 to the power of the number of half-lives
// that have passed since they were last reduced.
func (h *histogram) decay(now time.Time, halfLife time.Duration) {
	passed := now.Sub(h.decayedAt)
	if h.decayedAt.IsZero() {
		h.decayedAt = now
	} else if passed >= halfLife/decayStepsPerHalfLife {
		h.scale(math.Exp2(-float64(passed) / float64(halfLife)))
		h.decayedAt = now
	}
}

// quantile returns the middle of the bucket that contains the quantile.
func (h *histogram) quantile(q float64) float64 {
	remaining, last := q*h.total, 0
	for i, weight := range h.weights {
		if weight > 0 {
			last = i
			if remaining -= float64(weight); remaining <= 0 {
				break
			}
		}
	}
	return math.Exp2((float64(last)+0.5)/bucketsPerOctave + lowestOctave)
}

// spread returns the ratio of the 90% quantile to the 10% quantile.
func (h *histogram) spread() float64 { return h.quantile(0.9) / h.quantile(0.1) }

// correct returns the declared value multiplied by resourceQuantile of the
// ratios and by resourceMargin. The factor is limited by maxCorrection.
func (h *histogram) correct(declared int64) int64 {
	if declared <= 0 || h.total < minWeight {
		return declared
	}
	ratio := min(max(h.quantile(resourceQuantile)*resourceMargin, 1.0/maxCorrection), maxCorrection)
	return max(int64(float64(declared)*ratio), 1)
}
