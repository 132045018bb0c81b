package settings_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/settings"
)

const validSettings = `[node]
name = entry-1
region = punjab
failure-domain = lahore
[addresses]
callers = 127.0.0.1:1001
operators = 127.0.0.1:1002
peers = 127.0.0.1:1001
[cluster]
secret = 0123456789abcdef0123456789abcdef
[member entry-2]
peers = 127.0.0.1:2001 ; inline comment
callers = 127.0.0.1:2002
region = sindh
failure-domain = karachi
[platform]
log = 127.0.0.1:7000
vm-list = 127.0.0.1:7001
`

func write(t *testing.T, files map[string]string) string {
	folder := t.TempDir()
	for name, content := range files {
		require.NoError(t, os.WriteFile(filepath.Join(folder, name), []byte(content), 0o600))
	}
	return folder
}

// Guards against a merge that is not in the order of the names, missing defaults,
// and a secret in a dump.
func TestLoadMergesInNameOrder(t *testing.T) {
	folder := write(t, map[string]string{
		"10-site.ini": validSettings,
		"20-late.ini": "[timing]\nsession = 4s\n[member entry-2]\nregion = punjab\n",
		"notes.txt":   "not read",
	})
	got, err := settings.Load(folder)
	require.NoError(t, err)
	require.Equal(t, 4*time.Second, got.Timing.Session)
	require.Equal(t, 20*time.Second, got.Timing.TaskLease)
	require.Equal(t, []settings.Member{{Name: "entry-2", Region: "punjab", FailureDomain: "karachi",
		Peers: netip.MustParseAddrPort("127.0.0.1:2001"), Callers: netip.MustParseAddrPort("127.0.0.1:2002")}}, got.Members)
	dump, err := json.Marshal(got)
	require.NoError(t, err)
	require.NotContains(t, string(dump)+fmt.Sprintf("%v %+v %#v", got, got, got), "0123456789abcdef")
}

// Guards against faults that are accepted or reported with a wrong position.
func TestFindings(t *testing.T) {
	cases := map[string]struct{ old, replacement, want string }{
		"unknown key":           {"region = punjab", "regoin = punjab", `a.ini:3: [node] regoin: unknown key; did you mean "region"?`},
		"unknown section":       {"[platform]", "[plattform]", `a.ini:16: [plattform] unknown section; did you mean "platform"?`},
		"no suggestion":         {"[platform]", "[zzz]", `a.ini:16: [zzz] unknown section; expected one of member NAME, node`},
		"no value":              {"name = entry-1", "name", `a.ini:2: [node] expected key = value, got "name"`},
		"before a section":      {"[node]", "x = 1\n[node]", `a.ini:1: x: is set before the first section`},
		"duplicate key":         {"name = entry-1", "name = entry-1\nname = entry-3", `a.ini:3: [node] name: is already set in line 2`},
		"host name":             {"127.0.0.1:1002", "localhost:1002", `a.ini:7: [addresses] operators: must be an IP address and a port such as 10.0.1.1:8080, got "localhost:1002"`},
		"same address":          {"127.0.0.1:2002", "127.0.0.1:1001", `a.ini:13: [member entry-2] callers: 127.0.0.1:1001 is already the address of [addresses] callers`},
		"port 0 of a member":    {"127.0.0.1:2001", "127.0.0.1:0", `a.ini:12: [member entry-2] peers: must have a port other than 0`},
		"short secret":          {"0123456789abcdef0123456789abcdef", "short", `a.ini:10: [cluster] secret: must have at least 32 characters, got 5`},
		"no secret":             {"secret = 0123456789abcdef0123456789abcdef", "", `[cluster] secret: secret or secret-file must be set`},
		"secret file":           {"secret = 0123456789abcdef0123456789abcdef", "secret-file = none", `none can't be read: no such file or directory`},
		"missing key":           {"region = sindh", "", `[member entry-2] region: is missing`},
		"bad name":              {"entry-1", "entry 1", `a.ini:2: [node] name: may contain only letters, digits, '-', '_' and '.', got "entry 1"`},
		"no unit":               {"[platform]", "[timing]\nsession = 3\n[platform]", `a.ini:17: [timing] session: must be a duration`},
		"renewal too long":      {"[platform]", "[timing]\nsession-renewal = 2s\n[platform]", `a.ini:17: [timing] session-renewal: 2s is more than half of session (1.5s): one lost`},
		"too many appends":      {"[platform]", "[limits]\nappends-per-second = 11\n[platform]", `must be a whole number from 1 to 10, got "11"`},
		"own member":            {"[member entry-2]", "[member entry-1]", `a.ini:12: [member entry-1] peers: is "127.0.0.1:2001", but this node's own setting is "127.0.0.1:1001"`},
		"multi-line value":      {"name = entry-1", `name = """entry-1`, `a.ini:2: [node] name: quoted keys and multi-line values are not supported`},
		"certificate, no key":   {"[platform]", "[tls]\ncertificate-file = a.ini\n[platform]", `certificate-file and key-file must be set together`},
		"section is not closed": {"[cluster]", "[cluster", `a.ini:9: [addresses] a section is written [name], got "[cluster"`},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			require.Contains(t, validSettings, test.old)
			folder := write(t, map[string]string{"a.ini": strings.Replace(validSettings, test.old, test.replacement, 1)})
			_, err := settings.Load(folder)
			var findings settings.Findings
			require.True(t, errors.As(err, &findings))
			require.Contains(t, strings.ReplaceAll(err.Error(), folder+"/", ""), test.want)
		})
	}
}

// Guards against a report that contains only the first fault.
func TestFindingsOfAllFilesTogether(t *testing.T) {
	folder := write(t, map[string]string{"a.ini": strings.Replace(validSettings, "name = ", "nam = ", 1), "b.ini": "[timing]\nsession = x\nheart = 1s\n"})
	_, err := settings.Load(folder)
	require.Len(t, err, 4, "%v", err)
	require.ErrorContains(t, err, "[node] name: is missing")
	_, err = settings.Load(filepath.Join(folder, "none"))
	require.ErrorContains(t, err, "name a settings file or a folder")
	_, err = settings.Load(write(t, nil))
	require.ErrorContains(t, err, "no *.ini file")
}
