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

// writeTable writes aligned columns; the heading may be nil.
func writeTable(out io.Writer, heading []string, rows [][]string) {
	writer := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if heading != nil {
		fmt.Fprintln(writer, strings.Join(heading, "\t"))
	}
	for _, row := range rows {
		for i, cell := range row {
			row[i] = printable(cell)
		}
		fmt.Fprintln(writer, strings.Join(row, "\t"))
	}
	_ = writer.Flush()
}

// printable replaces control characters, which could move a terminal's cursor
// or break the columns, and marks empty cells.
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

func writeJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func formatResources(r workload.Resources) string {
	return fmt.Sprintf("%dm cpu, %d MB, %d acc", r.MilliCPU, r.MemoryMB, r.Accelerators)
}

func formatTime(at time.Time) string {
	if at.IsZero() {
		return ""
	}
	return at.UTC().Format(time.RFC3339)
}

func formatMilliseconds(n int64) string { return (time.Duration(n) * time.Millisecond).String() }
