package load

import (
	"bytes"
	"fmt"
	"image/color"
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Size of a plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// minPlottedMS is the lower end of the logarithmic axis, in milliseconds. Lower
// values are drawn at it.
const minPlottedMS = 0.1

// shadeColor is the background colour of overloads and named windows.
var shadeColor = color.RGBA{R: 250, G: 240, B: 222, A: 255}

// namedPlot is one plot of a report with the name of its file, without extension.
type namedPlot struct {
	file string
	plot *plot.Plot
}

func (r *Report) plots() ([]namedPlot, error) {
	builders := []struct {
		file  string
		build func(*Report) (*plot.Plot, error)
	}{{"waiting", (*Report).plotWaits}, {"rates", (*Report).plotRates}, {"packing", (*Report).plotPacking}}
	var plots []namedPlot
	for _, builder := range builders {
		built, err := builder.build(r)
		if err != nil {
			return nil, fmt.Errorf("plot %s: %w", builder.file, err)
		}
		plots = append(plots, namedPlot{builder.file, built})
	}
	return plots, nil
}

func newPlot(title, yLabel string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "seconds since the start", yLabel
	p.Legend.Top, p.Legend.Padding = true, vg.Points(2)
	return p
}

// shadeWindows shades all windows but the baseline, which is the first, and adds
// the grid.
func (r *Report) shadeWindows(p *plot.Plot, bottom, top float64) error {
	for _, window := range r.Windows[min(1, len(r.Windows)):] {
		from, until := window.FromMS/1000, window.UntilMS/1000
		area, err := plotter.NewPolygon(plotter.XYs{{X: from, Y: bottom}, {X: until, Y: bottom}, {X: until, Y: top}, {X: from, Y: top}})
		if err != nil {
			return err
		}
		area.Color, area.LineStyle.Color, area.LineStyle.Width = shadeColor, shadeColor, 0
		p.Add(area)
	}
	p.Add(plotter.NewGrid())
	return nil
}

// addLine adds a line with a legend entry. The index selects its colour and its
// dashes: after 7 lines the colours repeat with other dashes. Without points it
// does nothing.
func addLine(p *plot.Plot, name string, index int, points plotter.XYs) error {
	if len(points) == 0 {
		return nil
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color, line.Dashes, line.Width = plotutil.Color(index), plotutil.Dashes(index/7), vg.Points(1.5)
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}

// plotWaits plots the p99 of the waits by the caller's clock.
func (r *Report) plotWaits() (*plot.Plot, error) {
	p := newPlot("p99 wait of each second, caller's clock (shaded: overloads and named windows)", "milliseconds")
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	highest := 1.0
	for _, s := range r.Series {
		for _, point := range s.Points {
			highest = max(highest, point.P99)
		}
	}
	if err := r.shadeWindows(p, minPlottedMS, highest*1.1); err != nil {
		return nil, err
	}
	p.Y.Min, p.Y.Max = minPlottedMS, highest*1.1
	for i, s := range r.Series {
		var points plotter.XYs
		for _, point := range s.Points {
			if point.P99 > 0 {
				points = append(points, plotter.XY{X: float64(point.Second) + 0.5, Y: max(point.P99, minPlottedMS)})
			}
		}
		if err := addLine(p, s.Arrivals, i, points); err != nil {
			return nil, err
		}
	}
	return r.setTimeAxis(p), nil
}

// plotRates plots the requests that were due and those that were answered.
func (r *Report) plotRates() (*plot.Plot, error) {
	p := newPlot("Requests due (thin) and answered (thick) in each second", "requests")
	highest := 1.0
	for _, s := range r.Series {
		for _, point := range s.Points {
			highest = max(highest, float64(point.Offered), float64(point.Answered))
		}
	}
	if err := r.shadeWindows(p, 0, highest*1.1); err != nil {
		return nil, err
	}
	p.Y.Min, p.Y.Max = 0, highest*1.1
	for i, s := range r.Series {
		var due, answered plotter.XYs
		for _, point := range s.Points {
			due = append(due, plotter.XY{X: float64(point.Second) + 0.5, Y: float64(point.Offered)})
			answered = append(answered, plotter.XY{X: float64(point.Second) + 0.5, Y: float64(point.Answered)})
		}
		thin, err := plotter.NewLine(due)
		if err != nil {
			return nil, err
		}
		thin.Color, thin.Width = plotutil.Color(i), vg.Points(0.5)
		p.Add(thin)
		if err := addLine(p, s.Arrivals, i, answered); err != nil {
			return nil, err
		}
	}
	return r.setTimeAxis(p), nil
}

// plotPacking plots the allocated share of each resource.
func (r *Report) plotPacking() (*plot.Plot, error) {
	p := newPlot("Allocated share of the fleet", "share")
	if err := r.shadeWindows(p, 0, 1.05); err != nil {
		return nil, err
	}
	p.Y.Min, p.Y.Max = 0, 1.05
	lines := []struct {
		name  string
		value func(PackingPoint) float64
	}{
		{"milli-cpu", func(p PackingPoint) float64 { return p.CPU }},
		{"memory-mb", func(p PackingPoint) float64 { return p.Memory }},
		{"accelerators", func(p PackingPoint) float64 { return p.Accelerators }},
		{"slots", func(p PackingPoint) float64 { return p.Slots }},
	}
	for i, line := range lines {
		var points plotter.XYs
		for _, point := range r.Packing {
			points = append(points, plotter.XY{X: point.AtMS / 1000, Y: line.value(point)})
		}
		if err := addLine(p, line.name, i, points); err != nil {
			return nil, err
		}
	}
	return r.setTimeAxis(p), nil
}

// setTimeAxis sets the range of the time axis to the duration and a quarter of it
// as space for the legend, and returns the plot.
func (r *Report) setTimeAxis(p *plot.Plot) *plot.Plot {
	p.X.Min, p.X.Max = 0, r.DurationMS/1000*1.25
	return p
}

// svg renders a plot as an SVG element.
func (n *namedPlot) svg() (string, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	n.plot.Draw(draw.New(canvas))
	var text bytes.Buffer
	if _, err := canvas.WriteTo(&text); err != nil {
		return "", err
	}
	// The XML declaration is not allowed inside HTML.
	_, element, found := bytes.Cut(text.Bytes(), []byte("<svg"))
	if !found {
		return "", fmt.Errorf("plot %s: the renderer wrote no svg element", n.file)
	}
	return "<svg" + string(element), nil
}

// WritePNG writes the plots as PNG files into an existing folder. It fails if a
// plot can't be drawn or a file can't be written.
func (r *Report) WritePNG(folder string) error {
	plots, err := r.plots()
	if err != nil {
		return err
	}
	for i := range plots {
		canvas := vgimg.PngCanvas{Canvas: vgimg.New(plotWidth, plotHeight)}
		plots[i].plot.Draw(draw.New(canvas))
		var image bytes.Buffer
		if _, err := canvas.WriteTo(&image); err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(folder, plots[i].file+".png"), image.Bytes(), 0o644); err != nil {
			return err
		}
	}
	return nil
}
