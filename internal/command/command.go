// Package command is the command line: a table of verbs and the code that
// finds and runs one of them.
//
// # Usage
//
//	os.Exit(command.Main(context.Background(), os.Args[1:], command.Options{
//		Out: os.Stdout, Err: os.Stderr,
//		Verbs: []command.Verb{{
//			Name:    "node",
//			Usage:   "Run an entry VM.",
//			Example: "yuccalanding node /etc/yuccalanding",
//			New:     newNode,
//		}},
//	}))
//
// A verb of this package is one file with its flags, its usage text and its
// constructor, and one line in the table verbs. Verbs of other packages, such
// as "node" or "standin log", are handed over in Options.Verbs.
//
// The exit status is 0 if the verb did its work, 1 if it was refused or
// failed, and 2 if the command line was wrong. Results go to standard output,
// errors to standard error.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/alecthomas/kong"

	"yuccalanding.example/yuccalanding/internal/operator"
)

// Program is the name of the program in usage texts.
const Program = "yuccalanding"

// Exit statuses.
const (
	ExitSuccess = 0
	ExitFailure = 1
	ExitUsage   = 2
)

// Verb is one row of the table of verbs.
type Verb struct {
	// Name is one word or two, such as "status" or "config apply".
	Name string
	// Usage is one sentence.
	Usage string
	// Example is a whole command line.
	Example string
	// New returns a pointer to a struct of flags with kong tags, and the
	// function that runs the verb once the flags are set.
	New func() (flags any, run Run)
}

// Run does the work of a verb. An error is printed and ends the program with
// status 1, or 2 if it is a UsageError.
type Run func(ctx context.Context, environment *Environment) error

// UsageError is a fault of the command line that only the verb can see.
type UsageError struct{ Message string }

// Error returns the message.
func (e *UsageError) Error() string { return e.Message }

// Environment is what a verb may use of its process.
type Environment struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
	// Terminal is set if Err is a terminal; progress is shown only then.
	Terminal bool
	// CheckFolder checks a configuration folder on this machine; nil leaves it
	// to the node.
	CheckFolder func(folder operator.Folder) []operator.Finding
}

// Progress shows a line to a person who waits.
func (e *Environment) Progress(format string, arguments ...any) {
	if e.Terminal {
		fmt.Fprintf(e.Err, format+"\n", arguments...)
	}
}

// Options configure Main. Nil streams are those of the process.
type Options struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
	// Verbs are added to the table.
	Verbs []Verb
	// CheckFolder is passed on to the verbs.
	CheckFolder func(folder operator.Folder) []operator.Finding
}

// verbs is the table of this package's verbs in the order of the usage text.
var verbs = []Verb{
	submitVerb,
	statusVerb,
	waitVerb,
	cancelVerb,
	explainVerb,
	logsVerb,
	nodesVerb,
	workersVerb,
	alarmsVerb,
	dumpVerb,
	drainVerb,
	configCheckVerb,
	configShowVerb,
	configDiffVerb,
	configApplyVerb,
	configHistoryVerb,
	configRecoverVerb,
	settingsCheckVerb,
}

// Main runs one command line and returns the exit status.
func Main(ctx context.Context, arguments []string, options Options) int {
	environment := options.environment()
	table := append(slices.Clone(verbs), options.Verbs...)
	if len(arguments) == 0 {
		writeUsage(environment.Err, table)
		return ExitUsage
	}
	if arguments[0] == "help" || arguments[0] == "--help" || arguments[0] == "-h" {
		writeUsage(environment.Out, table)
		return ExitSuccess
	}
	verb, rest, err := findVerb(table, arguments)
	if err != nil {
		return reportError(environment, Program, err)
	}
	return verb.parseAndRun(ctx, rest, environment)
}

func (o Options) environment() *Environment {
	environment := &Environment{In: o.In, Out: o.Out, Err: o.Err, CheckFolder: o.CheckFolder}
	if environment.In == nil {
		environment.In = os.Stdin
	}
	if environment.Out == nil {
		environment.Out = os.Stdout
	}
	if environment.Err == nil {
		environment.Err = os.Stderr
	}
	if file, ok := environment.Err.(*os.File); ok {
		about, err := file.Stat()
		environment.Terminal = err == nil && about.Mode()&os.ModeCharDevice != 0
	}
	return environment
}

// findVerb returns the verb that the first one or two words name.
func findVerb(table []Verb, arguments []string) (Verb, []string, error) {
	var names, group []string
	for _, verb := range table {
		words := strings.Fields(verb.Name)
		if len(arguments) >= len(words) && slices.Equal(words, arguments[:len(words)]) {
			return verb, arguments[len(words):], nil
		}
		names = append(names, verb.Name)
		if words[0] == arguments[0] {
			group = append(group, verb.Name)
		}
	}
	if len(group) > 0 {
		return Verb{}, nil, &UsageError{fmt.Sprintf("%q needs a second word: one of %s", arguments[0], strings.Join(group, ", "))}
	}
	return Verb{}, nil, &UsageError{fmt.Sprintf("unknown verb %q: use one of %s", arguments[0], strings.Join(names, ", "))}
}

// parseAndRun parses the flags of a verb and runs it.
func (v Verb) parseAndRun(ctx context.Context, arguments []string, environment *Environment) int {
	name := Program + " " + v.Name
	flags, run := v.New()
	helped := false
	parser, err := kong.New(flags,
		kong.Name(name),
		kong.Description(v.Usage+"\n\nExample: "+v.Example),
		kong.Writers(environment.Out, environment.Err),
		// Help calls this and parsing goes on, so its result is dropped.
		kong.Exit(func(int) { helped = true }),
	)
	if err != nil {
		return reportError(environment, name, err)
	}
	_, err = parser.Parse(arguments)
	if helped {
		return ExitSuccess
	}
	if err != nil {
		return reportError(environment, name, &UsageError{err.Error()})
	}
	if err := run(ctx, environment); err != nil {
		return reportError(environment, name, err)
	}
	return ExitSuccess
}

// reportError prints an error with the command that failed, and returns the exit
// status.
func reportError(environment *Environment, name string, err error) int {
	fmt.Fprintf(environment.Err, "%s: %s\n", name, err)
	var usage *UsageError
	if errors.As(err, &usage) {
		fmt.Fprintf(environment.Err, "See \"%s --help\".\n", name)
		return ExitUsage
	}
	return ExitFailure
}

func writeUsage(out io.Writer, table []Verb) {
	fmt.Fprintf(out, "Usage: %s VERB [ARGUMENTS]\n\n", Program)
	rows := make([][]string, len(table))
	for i, verb := range table {
		rows[i] = []string{"  " + verb.Name, verb.Usage}
	}
	writeTable(out, nil, rows)
	fmt.Fprintf(out, "\n\"%s VERB --help\" shows the flags of a verb and an example.\n", Program)
}
