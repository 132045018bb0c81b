package capacity

import (
	"math"
	"slices"
)

// Point is one measurement: a value at a size.
type Point struct{ Size, Value float64 }

// Line is a straight line fitted to points by least squares.
type Line struct {
	Slope, Intercept float64
	// Residual is the root mean square error, in the unit of the values.
	Residual float64
}

// Fit returns the least-squares line through the points. If all points have the
// same size, the slope is 0. Without points it returns the zero Line.
func Fit(points []Point) Line {
	count := float64(len(points))
	if count == 0 {
		return Line{}
	}
	var meanSize, meanValue float64
	for _, p := range points {
		meanSize += p.Size / count
		meanValue += p.Value / count
	}
	var covariance, variance float64
	for _, p := range points {
		covariance += (p.Size - meanSize) * (p.Value - meanValue)
		variance += (p.Size - meanSize) * (p.Size - meanSize)
	}
	line := Line{Intercept: meanValue}
	if variance > 0 {
		line.Slope = covariance / variance
		line.Intercept = meanValue - line.Slope*meanSize
	}
	var squares float64
	for _, p := range points {
		distance := p.Value - line.At(p.Size)
		squares += distance * distance
	}
	line.Residual = math.Sqrt(squares / count)
	return line
}

// At returns the value of the line at a size.
func (l Line) At(size float64) float64 { return l.Intercept + l.Slope*size }

func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}

// quantile returns the value at a share of 0 to 1 of the sorted values, or 0
// without values.
func quantile(values []float64, share float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(int(share*float64(len(sorted))), len(sorted)-1)]
}
