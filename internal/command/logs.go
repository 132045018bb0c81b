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
	Usage:   "Show the timeline of one job from the log files of several nodes.",
	Example: Program + " logs 5c0e7a21d94b36f8 entry-1.log entry-2.log",
	New:     newLogs,
}

type logsFlags struct {
	ID    string   `arg:"" help:"Identity of the job; lines that contain it are shown."`
	Files []string `arg:"" help:"Log files of the nodes; - is standard input."`
}

func newLogs() (any, Run) {
	flags := &logsFlags{}
	return flags, flags.run
}

// logLine is one line of a node's log. detail holds the fields that have no
// column of their own, as key=value, except the level and the event number.
type logLine struct {
	timestamp time.Time
	node      string
	event     string
	detail    string
}

// maxLogLineBytes limits the memory for one line; a longer line is an error.
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
		return fmt.Errorf("no line of %d files contains %s; check the identity and name the log files of all nodes", len(f.Files), f.ID)
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].timestamp.Before(lines[j].timestamp) })
	rows := make([][]string, len(lines))
	for i, line := range lines {
		sincePrevious := time.Duration(0)
		if i > 0 {
			sincePrevious = line.timestamp.Sub(lines[i-1].timestamp)
		}
		rows[i] = []string{
			line.timestamp.UTC().Format("15:04:05.000"), sincePrevious.Round(time.Millisecond).String(), line.node, line.event, line.detail,
		}
	}
	writeTable(environment.Out, []string{"AT", "AFTER", "NODE", "EVENT", "DETAIL"}, rows)
	duration := lines[len(lines)-1].timestamp.Sub(lines[0].timestamp).Round(time.Millisecond)
	fmt.Fprintf(environment.Out, "\n%d lines in %s\n", len(lines), duration)
	return nil
}

// readFile returns the lines of a log file that contain the identity and can be
// parsed. If the name is "-", it reads from in instead of a file.
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

// parseLogLine parses a line in logfmt and ignores everything before its time
// field. It reports false if the line has no valid time or no event name.
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
				timestamp, err := time.Parse(time.RFC3339Nano, value)
				if err != nil {
					return logLine{}, false
				}
				line.timestamp = timestamp
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
