package command_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/command"
	"yuccalanding.example/yuccalanding/internal/front"
)

var update = flag.Bool("update", false, "write the expected output of cases and docs/interface.md")

// Runs the case in every folder of testdata. The file command is the command
// line, the files output and error are the expected standard output and standard
// error, and the first line of error is the exit status. Words that start with $
// are placeholders for addresses and paths of this run. Guards against changes
// of the output, of the errors and of the exit status.
func TestRegressionCases(t *testing.T) {
	callerHandler, operatorHandler := handlers(t, func(*front.Options) {})
	commandFiles, err := filepath.Glob("testdata/*/command")
	require.NoError(t, err)
	require.NotEmpty(t, commandFiles)
	closedListener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, closedListener.Close())
	placeholders := map[string]string{"$NODE": serve(t, callerHandler), "$OPERATOR": serve(t, operatorHandler), "$CLOSED": closedListener.Addr().String()}
	for name, line := range map[string]int{"$LEDGER": 0, "$DESK": 2, "$OPERATIONS": 3} {
		placeholders[name] = filepath.Join(t.TempDir(), name[1:])
		token := strings.Fields(strings.Split(tokens, "\n")[line])[3]
		require.NoError(t, os.WriteFile(placeholders[name], []byte(token+"\n"), 0o600))
	}
	for _, file := range commandFiles {
		folder := filepath.Dir(file)
		t.Run(filepath.Base(folder), func(t *testing.T) {
			placeholders["$CASE"] = folder
			content, err := os.ReadFile(file)
			require.NoError(t, err)
			var replace, restore []string
			for name, value := range placeholders {
				replace, restore = append(replace, name, value), append(restore, value, name)
			}
			arguments := strings.Fields(strings.NewReplacer(replace...).Replace(string(content)))
			require.Equal(t, command.Program, arguments[0])
			var stdout, stderr bytes.Buffer
			exitStatus := command.Main(context.Background(), arguments[1:], command.Options{In: strings.NewReader("claim"), Out: &stdout, Err: &stderr})
			restorer := strings.NewReplacer(restore...)
			compare(t, filepath.Join(folder, "output"), restorer.Replace(stdout.String()))
			compare(t, filepath.Join(folder, "error"), restorer.Replace(fmt.Sprintf("exit status %d\n%s", exitStatus, stderr.String())))
		})
	}
}

// compare requires that a golden file holds got; with -update it writes the file
// first.
func compare(t *testing.T, file, got string) {
	if *update {
		require.NoError(t, os.WriteFile(file, []byte(got), 0o644))
	}
	want, err := os.ReadFile(file)
	require.NoError(t, err)
	require.Equal(t, string(want), got)
}

// Guards against verbs without usage text or example, against examples of
// another verb, and against verbs in Options.Verbs that are not listed or not
// run.
func TestVerbs(t *testing.T) {
	var out bytes.Buffer
	ran := false
	addedVerb := command.Verb{Name: "standin log", Usage: "Run a log.", Example: "yuccalanding standin log", New: func() (any, command.Run) {
		return &struct{}{}, func(context.Context, *command.Environment) error { ran = true; return nil }
	}}
	options := command.Options{Out: &out, Err: &out, Verbs: []command.Verb{addedVerb}}
	require.Equal(t, command.ExitSuccess, command.Main(context.Background(), []string{"help"}, options))
	require.Contains(t, out.String(), "standin log")
	require.Equal(t, command.ExitSuccess, command.Main(context.Background(), []string{"standin", "log"}, options))
	require.True(t, ran)
	for _, line := range strings.Split(out.String(), "\n") {
		if !strings.HasPrefix(line, "  ") {
			continue
		}
		name, _, _ := strings.Cut(strings.TrimSpace(line), "  ")
		var help bytes.Buffer
		require.Equal(t, command.ExitSuccess, command.Main(context.Background(), append(strings.Fields(name), "--help"), command.Options{Out: &help, Err: &help, Verbs: options.Verbs}), name)
		require.Contains(t, help.String(), "Example: yuccalanding "+name)
	}
}
