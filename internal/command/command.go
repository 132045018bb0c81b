// Package command implements the command line of the program: a table of verbs
// and the code that selects one of them, parses its flags and runs it.
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
// To add a verb to this package, write a file with its flags, its usage text and
// its constructor, and add a line to the table verbs. Verbs of other packages,
// such as "node" or "standin log", are passed in Options.Verbs.
//
// The exit status is 0 if the verb succeeded, 1 if it failed or was refused, and
// 2 if the command line was invalid. Results go to standard output, errors to
// standard error.
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

// Verb is one subcommand of the program.
type Verb struct {
	// Name is one or two words, such as "status" or "config apply".
	Name string
	// Usage is one sentence that says what the verb does.
	Usage string
	// Example is a complete command line.
	Example string
	// New returns a pointer to a struct of flags with kong tags, and the
	// function that runs the verb after the flags have been parsed.
	New func() (flags any, run Run)
}

// Run runs a verb. An error is printed and ends the program with exit status 1,
// or 2 if it is a UsageError.
type Run func(ctx context.Context, environment *Environment) error

// UsageError is an error in the command line. It leads to exit status 2.
type UsageError struct{ Message string }

// Error returns the message.
func (e *UsageError) Error() string { return e.Message }

// Environment holds the standard streams for a verb and the functions that other
// packages provide.
type Environment struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
	// Terminal is set if Err is a terminal; progress is shown only in that case.
	Terminal bool
	// CheckFolder checks a configuration folder in this process; if it is nil,
	// the folder is sent to a node, which checks it.
	CheckFolder func(folder operator.Folder) []operator.Finding
}

// Progress prints a line about the progress of the verb to Err if Err is a
// terminal.
func (e *Environment) Progress(format string, arguments ...any) {
	if e.Terminal {
		fmt.Fprintf(e.Err, format+"\n", arguments...)
	}
}

// Options configure Main. A nil stream means the standard stream of the process.
type Options struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
	// Verbs are added after the verbs of this package.
	Verbs []Verb
	// CheckFolder is passed to the verbs in Environment.
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

// Main runs one command line, without the program's name, and returns the exit
// status.
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
		info, err := file.Stat()
		environment.Terminal = err == nil && info.Mode()&os.ModeCharDevice != 0
	}
	return environment
}

// findVerb returns the verb whose name is the first one or two arguments, and
// the remaining arguments. It returns a UsageError if there is none.
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

// parseAndRun parses the flags of the verb, runs it and returns the exit status.
func (v Verb) parseAndRun(ctx context.Context, arguments []string, environment *Environment) int {
	name := Program + " " + v.Name
	flags, run := v.New()
	helpShown := false
	parser, err := kong.New(flags,
		kong.Name(name),
		kong.Description(v.Usage+"\n\nExample: "+v.Example),
		kong.Writers(environment.Out, environment.Err),
		// The flag --help calls this function and parsing continues, so the
		// result of parsing is ignored below.
		kong.Exit(func(int) { helpShown = true }),
	)
	if err != nil {
		return reportError(environment, name, err)
	}
	_, err = parser.Parse(arguments)
	if helpShown {
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

// reportError prints an error after the name of the command that failed, and
// returns the exit status.
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
