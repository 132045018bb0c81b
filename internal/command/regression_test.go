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

// Runs every folder of testdata: the file command is the command line, the
// files output and error are what it must print, and the first line of error is
// the exit status. Guards against changed output, unclear errors and wrong exit
// statuses. Words that start with $ stand for addresses and paths of this run.
func TestRegressionCases(t *testing.T) {
	callers, operators := handlers(t, func(*front.Options) {})
	folders, err := filepath.Glob("testdata/*/command")
	require.NoError(t, err)
	require.NotEmpty(t, folders)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, closed.Close())
	words := map[string]string{"$NODE": serve(t, callers), "$OPERATOR": serve(t, operators), "$CLOSED": closed.Addr().String()}
	for name, line := range map[string]int{"$LEDGER": 0, "$DESK": 2, "$OPERATIONS": 3} {
		words[name] = filepath.Join(t.TempDir(), name[1:])
		token := strings.Fields(strings.Split(tokens, "\n")[line])[3]
		require.NoError(t, os.WriteFile(words[name], []byte(token+"\n"), 0o600))
	}
	for _, file := range folders {
		folder := filepath.Dir(file)
		t.Run(filepath.Base(folder), func(t *testing.T) {
			words["$CASE"] = folder
			content, err := os.ReadFile(file)
			require.NoError(t, err)
			var replace, restore []string
			for name, value := range words {
				replace, restore = append(replace, name, value), append(restore, value, name)
			}
			arguments := strings.Fields(strings.NewReplacer(replace...).Replace(string(content)))
			require.Equal(t, command.Program, arguments[0])
			var out, problem bytes.Buffer
			exit := command.Main(context.Background(), arguments[1:], command.Options{In: strings.NewReader("claim"), Out: &out, Err: &problem})
			restorer := strings.NewReplacer(restore...)
			compare(t, filepath.Join(folder, "output"), restorer.Replace(out.String()))
			compare(t, filepath.Join(folder, "error"), restorer.Replace(fmt.Sprintf("exit status %d\n%s", exit, problem.String())))
		})
	}
}

func compare(t *testing.T, file, got string) {
	if *update {
		require.NoError(t, os.WriteFile(file, []byte(got), 0o644))
	}
	want, err := os.ReadFile(file)
	require.NoError(t, err)
	require.Equal(t, string(want), got)
}

// Guards against verbs without usage text or example, against examples of
// another verb, and against a registration point that loses verbs.
func TestVerbs(t *testing.T) {
	var out bytes.Buffer
	ran := false
	extra := command.Verb{Name: "standin log", Usage: "Run a log.", Example: "yuccalanding standin log", New: func() (any, command.Run) {
		return &struct{}{}, func(context.Context, *command.Environment) error { ran = true; return nil }
	}}
	options := command.Options{Out: &out, Err: &out, Verbs: []command.Verb{extra}}
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
