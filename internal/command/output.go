package command

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"yuccalanding.example/yuccalanding/pkg/workload"
)

// writeTable writes rows with aligned columns. It writes no header line if header
// is nil.
func writeTable(out io.Writer, header []string, rows [][]string) {
	writer := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if header != nil {
		fmt.Fprintln(writer, strings.Join(header, "\t"))
	}
	for _, row := range rows {
		for i, cell := range row {
			row[i] = printable(cell)
		}
		fmt.Fprintln(writer, strings.Join(row, "\t"))
	}
	_ = writer.Flush()
}

// printable replaces the control characters of a cell by "?", because they could
// move the terminal's cursor or break the columns, and an empty cell by "-".
func printable(cell string) string {
	if cell == "" {
		return "-"
	}
	return strings.Map(func(char rune) rune {
		if char < ' ' || char == 0x7f {
			return '?'
		}
		return char
	}, cell)
}

// writeJSON writes a value as indented JSON.
func writeJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func formatResources(r workload.Resources) string {
	return fmt.Sprintf("%dm cpu, %d MB, %d acc", r.MilliCPU, r.MemoryMB, r.Accelerators)
}

// formatTime formats a time in UTC, to the second; the zero time becomes "".
func formatTime(at time.Time) string {
	if at.IsZero() {
		return ""
	}
	return at.UTC().Format(time.RFC3339)
}

// formatMilliseconds formats a number of milliseconds as a duration, such as
// "1.5s".
func formatMilliseconds(n int64) string { return (time.Duration(n) * time.Millisecond).String() }
