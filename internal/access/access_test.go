package access_test

import (
	"context"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/access"
	"yuccalanding.example/yuccalanding/internal/event"
)

var (
	ledgerToken  = strings.Repeat("a", 32)
	supportToken = strings.Repeat("b", 32)
	remote       = netip.MustParseAddrPort("10.0.0.1:9")
)

// Guards against a token that allows more than its role, and against access of one
// team to the work of another.
func TestGrants(t *testing.T) {
	type allowed struct{ submit, submitOther, readOther, cancelOther, inspect, operate bool }
	cases := map[string]struct {
		grant access.Grant
		want  allowed
	}{
		"caller":   {access.Grant{Role: access.RoleCaller, Team: "ledger"}, allowed{submit: true}},
		"support":  {access.Grant{Role: access.RoleSupport}, allowed{readOther: true, inspect: true}},
		"operator": {access.Grant{Role: access.RoleOperator}, allowed{readOther: true, cancelOther: true, inspect: true, operate: true}},
		"open":     {access.Grant{Role: access.RoleOpen}, allowed{true, true, true, true, true, true}},
		"none":     {access.Grant{}, allowed{}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			g := test.grant
			require.Equal(t, test.want, allowed{g.MaySubmit("ledger"), g.MaySubmit("oven"), g.MayRead("oven"), g.MayCancel("oven"), g.MayInspect(), g.MayOperate()})
		})
	}
}

// Guards against access from the network without a token file, against faults in
// the file that are not reported, and against findings that contain a token.
func TestOpen(t *testing.T) {
	list, err := access.Open(access.Options{})
	require.NoError(t, err)
	_, err = list.Authorize("", remote)
	require.ErrorIs(t, err, access.ErrNotLoopback)
	grant, err := list.Authorize("", netip.MustParseAddrPort("[::ffff:127.0.0.1]:9"))
	require.NoError(t, err)
	require.Equal(t, access.RoleOpen, grant.Role)

	file := filepath.Join(t.TempDir(), "tokens")
	require.NoError(t, os.WriteFile(file, []byte("caller a - "+ledgerToken+"\nsupport b oven "+ledgerToken+"\nroot c - short\ncaller d\n"), 0o600))
	_, err = access.Open(access.Options{File: file})
	require.Equal(t, `:1: role caller needs a team of 1 to 64 characters
:2: role support is for all teams: write - in place of team "oven"
:2: the token is the same as in line 1
:3: the role must be caller, support or operator, got "root"
:3: the token must have at least 32 characters, got 5
:4: must have 4 fields (role, name, team or -, token), got 2`, strings.ReplaceAll(err.Error(), file, ""))
}

// Guards against a revoked token that stays valid, and against an invalid edit of
// the file that revokes all tokens.
func TestWatchReloads(t *testing.T) {
	file := filepath.Join(t.TempDir(), "tokens")
	write := func(content string) { require.NoError(t, os.WriteFile(file, []byte(content), 0o600)) }
	write("caller front ledger " + ledgerToken + "\n")
	var lock sync.Mutex
	recorded := map[string]int{}
	list, err := access.Open(access.Options{File: file, PollInterval: time.Millisecond, Record: func(definition event.Definition, _ ...any) {
		lock.Lock()
		defer lock.Unlock()
		recorded[definition.Name]++
	}})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := list.Watch(ctx)
	seen := func(name string) func() bool {
		return func() bool { lock.Lock(); defer lock.Unlock(); return recorded[name] > 0 }
	}
	write("caller front")
	require.Eventually(t, seen("tokens-bad"), 5*time.Second, time.Millisecond)
	grant, err := list.Authorize(ledgerToken, remote)
	require.NoError(t, err)
	require.Equal(t, "ledger", grant.Team)
	write("support desk - " + supportToken + "\n")
	require.Eventually(t, func() bool { _, err := list.Authorize(supportToken, remote); return err == nil }, 5*time.Second, time.Millisecond)
	_, err = list.Authorize(ledgerToken, remote)
	require.ErrorIs(t, err, access.ErrUnknownToken)
	_, err = list.Authorize("", remote)
	require.ErrorIs(t, err, access.ErrNoToken)
	cancel()
	<-stopped
}
