package load

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// WriteText writes the measurements and the checks as text: waiting times, packing
// and cost of control in each window, and the effects of overloads. The cost of
// control is what the scheduler itself used. WriteText fails if out fails.
func (r *Report) WriteText(out io.Writer) error {
	text := &strings.Builder{}
	fmt.Fprintf(text, "Mix %s, seed %d, %.1f s, %.0f requests a second due on average\n", r.Mix, r.Seed, r.DurationMS/1000, r.OfferedPerSecond)
	fmt.Fprintf(text, "Waiting times: %s\n", strings.ReplaceAll(r.WaitDefinitions, "; ", ";\n  "))
	if r.CPUTimeScope != "" {
		fmt.Fprintf(text, "CPU time: %s\n", r.CPUTimeScope)
	}
	for _, action := range r.Actions {
		fmt.Fprintf(text, "At %.1f s: %s, took %.0f ms%s\n", action.AtMS/1000, action.Name, action.TookMS, withPrefix(", failed: ", action.Error))
	}
	text.WriteString("\nWaiting time before work starts, ms\n")
	r.writeWaits(text)
	text.WriteString("\nPacking while work waits, and cost of control\n")
	r.writeCost(text)
	text.WriteString("\nOther work during overloads (waits by the caller's clock)\n")
	r.writeOverloads(text)
	text.WriteString("\nChecks\n")
	r.Checks.write(text)
	_, err := io.WriteString(out, text.String())
	return err
}

// withPrefix returns a text after a prefix, or nothing if the text is empty.
func withPrefix(prefix, text string) string {
	if text == "" {
		return ""
	}
	return prefix + text
}

// table writes rows of cells as aligned columns.
func table(out io.Writer, write func(row func(cells ...any))) {
	columns := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	write(func(cells ...any) {
		texts := make([]string, len(cells))
		for i, cell := range cells {
			texts[i] = fmt.Sprint(cell)
		}
		fmt.Fprintln(columns, "  "+strings.Join(texts, "\t"))
	})
	_ = columns.Flush()
}

func (r *Report) writeWaits(out io.Writer) {
	table(out, func(row func(...any)) {
		row("WINDOW", "ARRIVALS", "KIND", "DUE/S", "ANSWERED/S", "REFUSED", "WAITED P50", "P99", "MAX", "CALLER P50", "P99", "MAX")
		for _, window := range r.Windows {
			for _, w := range window.Waits {
				row(window.Name, w.Arrivals, w.Kind, rounded(w.OfferedPerSecond), rounded(w.AnsweredPerSecond), w.Refused,
					rounded(w.ReportedWait.P50), rounded(w.ReportedWait.P99), rounded(w.ReportedWait.Max),
					rounded(w.CallerWait.P50), rounded(w.CallerWait.P99), rounded(w.CallerWait.Max))
			}
		}
	})
}

// rounded formats a value with one decimal.
func rounded(value float64) string { return fmt.Sprintf("%.1f", value) }

// measured formats a value, which is negative if it was not measured.
func measured(value float64, format string) string {
	if value < 0 {
		return "not measured"
	}
	return fmt.Sprintf(format, value)
}

func (r *Report) writeCost(out io.Writer) {
	table(out, func(row func(...any)) {
		row("WINDOW", "WORK WAITS", "PACKED MEAN", "P10", "SCARCEST", "STRANDED ACC.", "STARTS", "CPU/START", "APPENDS/S", "BYTES/S SENT BY A NODE", "BYTES/S BETWEEN REGIONS")
		for _, window := range r.Windows {
			p, c := window.Packing, window.Control
			row(window.Name, fmt.Sprintf("%.0f%%", 100*p.WaitingShare), fmt.Sprintf("%.1f%%", 100*p.Mean), fmt.Sprintf("%.1f%%", 100*p.P10),
				orDash(p.Scarcest), rounded(p.StrandedAccelerators), c.TaskStarts, measured(c.CPUPerStartMicros, "%.0f us"),
				measured(c.AppendsPerSecond, "%.1f"), measured(c.NodeBytesPerSecond, "%.0f"), measured(c.CrossRegionBytesPerSecond, "%.0f"))
		}
	})
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func (r *Report) writeOverloads(out io.Writer) {
	if len(r.Overloads) == 0 {
		fmt.Fprintln(out, "  The mix has no flood.")
		return
	}
	table(out, func(row func(...any)) {
		row("FLOOD OF", "AT/S", "ARRIVALS", "KIND", "THROUGHPUT/S", "BEFORE", "RATIO", "P99 MS", "BEFORE", "RATIO")
		for _, overload := range r.Overloads {
			for _, effect := range overload.OtherArrivals {
				row(overload.Kind, rounded(overload.FloodPerSecond), effect.Arrivals, effect.Kind, rounded(effect.ThroughputDuring), rounded(effect.ThroughputBefore),
					fmt.Sprintf("%.2f", effect.ThroughputRatio), rounded(effect.P99DuringMS), rounded(effect.P99BeforeMS), fmt.Sprintf("%.2f", effect.P99Ratio))
			}
		}
	})
}

func (c *Checks) write(out io.Writer) {
	fmt.Fprintf(out, "  %d requests planned, %d sent, %d task starts\n", c.Planned, c.Sent, c.TaskStarts)
	for _, outcome := range c.Outcomes {
		fmt.Fprintf(out, "  %s: %d\n", outcome.Name, outcome.Count)
	}
	for _, refusal := range c.Refusals {
		fmt.Fprintf(out, "  refused as %s: %d\n", refusal.Name, refusal.Count)
	}
	fmt.Fprintf(out, "  lost %d, doubled %d, wrong %d, refused as not run although started %d, unexpected failures %d, over capacity %d\n",
		c.Lost, c.Doubled, c.Wrong, c.FalselyRefused, c.UnexpectedFailures, c.OverCapacity)
	if !c.WorkersChecked {
		fmt.Fprintln(out, "  The workers' start records were not read, so doubled starts were not checked.")
	}
	for _, example := range c.Examples {
		fmt.Fprintf(out, "  e.g. %s\n", example)
	}
}
