package command

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

var logsVerb = Verb{
	Name:    "logs",
	Usage:   "Join the log lines of several nodes that concern one job into its timeline.",
	Example: Program + " logs 5c0e7a21d94b36f8 entry-1.log entry-2.log",
	New:     newLogs,
}

type logsFlags struct {
	ID    string   `arg:"" help:"The job's identity."`
	Files []string `arg:"" help:"Logs of the nodes; - is standard input."`
}

func newLogs() (any, Run) {
	flags := &logsFlags{}
	return flags, flags.run
}

// logLine is one line of a node's log.
type logLine struct {
	timestamp time.Time
	node      string
	event     string
	detail    string
}

// maxLogLineBytes bounds one line of a log.
const maxLogLineBytes = 1 << 20

func (f *logsFlags) run(_ context.Context, environment *Environment) error {
	var lines []logLine
	for _, name := range f.Files {
		found, err := f.readFile(name, environment.In)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		lines = append(lines, found...)
	}
	if len(lines) == 0 {
		return fmt.Errorf("no line of %d files names %s; check the identity and take the logs of all nodes", len(f.Files), f.ID)
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].timestamp.Before(lines[j].timestamp) })
	rows := make([][]string, len(lines))
	for i, line := range lines {
		since := time.Duration(0)
		if i > 0 {
			since = line.timestamp.Sub(lines[i-1].timestamp)
		}
		rows[i] = []string{
			line.timestamp.UTC().Format("15:04:05.000"), since.Round(time.Millisecond).String(), line.node, line.event, line.detail,
		}
	}
	writeTable(environment.Out, []string{"AT", "AFTER", "NODE", "EVENT", "DETAIL"}, rows)
	whole := lines[len(lines)-1].timestamp.Sub(lines[0].timestamp).Round(time.Millisecond)
	fmt.Fprintf(environment.Out, "\n%d lines in %s\n", len(lines), whole)
	return nil
}

func (f *logsFlags) readFile(name string, in io.Reader) ([]logLine, error) {
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		defer file.Close()
		in = file
	}
	var lines []logLine
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		if !strings.Contains(text, f.ID) {
			continue
		}
		if line, ok := parseLogLine(text); ok {
			lines = append(lines, line)
		}
	}
	return lines, scanner.Err()
}

// parseLogLine reads a line in logfmt; what stands before its time is passed over.
func parseLogLine(text string) (logLine, bool) {
	start := strings.Index(text, "time=")
	if start < 0 {
		return logLine{}, false
	}
	var line logLine
	var detail []string
	decoder := logfmt.NewDecoder(strings.NewReader(text[start:]))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			key, value := string(decoder.Key()), string(decoder.Value())
			switch key {
			case "time":
				at, err := time.Parse(time.RFC3339Nano, value)
				if err != nil {
					return logLine{}, false
				}
				line.timestamp = at
			case "node":
				line.node = value
			case "name":
				line.event = value
			case "level", "event":
			default:
				detail = append(detail, key+"="+value)
			}
		}
	}
	line.detail = strings.Join(detail, " ")
	return line, decoder.Err() == nil && line.event != ""
}
