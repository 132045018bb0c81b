package load

import (
	"fmt"
	"io"
)

// Comparison compares the figures of two runs. Older and Newer describe the runs.
type Comparison struct {
	Older string        `json:"older"`
	Newer string        `json:"newer"`
	Rows  []ComparedRow `json:"rows"`
}

// ComparedRow is one figure of both runs in one window, in the unit that Figure
// names. Ratio is the newer figure divided by the older; it is 0 if the older is 0
// or if either was not measured.
type ComparedRow struct {
	Window string  `json:"window"`
	Figure string  `json:"figure"`
	Older  float64 `json:"older"`
	Newer  float64 `json:"newer"`
	Ratio  float64 `json:"ratio"`
}

// Compare compares the windows that both runs have. Figures of an arrival stream
// that the newer run lacks are 0.
func Compare(older, newer *Report) Comparison {
	result := Comparison{Older: runLabel(older), Newer: runLabel(newer)}
	for i := range older.Windows {
		for j := range newer.Windows {
			if older.Windows[i].Name == newer.Windows[j].Name {
				result.addWindow(&older.Windows[i], &newer.Windows[j])
			}
		}
	}
	return result
}

// runLabel describes a run by its mix, seed and time.
func runLabel(r *Report) string {
	return fmt.Sprintf("%s, seed %d, %s", r.Mix, r.Seed, r.StartedAt.Format("2006-01-02 15:04:05"))
}

func (c *Comparison) addWindow(older, newer *WindowMeasure) {
	for _, olderWait := range older.Waits {
		newerWait := newer.findWait(olderWait.Arrivals)
		for _, figure := range []struct {
			name         string
			older, newer float64
		}{
			{"answered/s", olderWait.AnsweredPerSecond, newerWait.AnsweredPerSecond},
			{"waited p50 ms", olderWait.ReportedWait.P50, newerWait.ReportedWait.P50},
			{"waited p99 ms", olderWait.ReportedWait.P99, newerWait.ReportedWait.P99},
			{"caller p50 ms", olderWait.CallerWait.P50, newerWait.CallerWait.P50},
			{"caller p99 ms", olderWait.CallerWait.P99, newerWait.CallerWait.P99},
		} {
			c.add(older.Name, olderWait.Arrivals+" "+figure.name, figure.older, figure.newer)
		}
	}
	c.add(older.Name, "packed mean", older.Packing.Mean, newer.Packing.Mean)
	c.add(older.Name, "packed p10", older.Packing.P10, newer.Packing.P10)
	c.add(older.Name, "stranded accelerators", older.Packing.StrandedAccelerators, newer.Packing.StrandedAccelerators)
	c.add(older.Name, "cpu us/start", older.Control.CPUPerStartMicros, newer.Control.CPUPerStartMicros)
	c.add(older.Name, "appends/s", older.Control.AppendsPerSecond, newer.Control.AppendsPerSecond)
}

func (c *Comparison) add(window, figure string, older, newer float64) {
	row := ComparedRow{Window: window, Figure: figure, Older: older, Newer: newer}
	if older > 0 && newer >= 0 {
		row.Ratio = newer / older
	}
	c.Rows = append(c.Rows, row)
}

// WriteText writes a table with one row for each figure. Only an error in writing
// the first lines is returned.
func (c *Comparison) WriteText(out io.Writer) error {
	if _, err := fmt.Fprintf(out, "older: %s\nnewer: %s\n", c.Older, c.Newer); err != nil {
		return err
	}
	table(out, func(row func(...any)) {
		row("WINDOW", "FIGURE", "OLDER", "NEWER", "NEWER/OLDER")
		for _, r := range c.Rows {
			ratio := "-"
			if r.Ratio > 0 {
				ratio = fmt.Sprintf("%.2f", r.Ratio)
			}
			row(r.Window, r.Figure, fmt.Sprintf("%.3f", r.Older), fmt.Sprintf("%.3f", r.Newer), ratio)
		}
	})
	return nil
}
