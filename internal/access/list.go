package access

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"yuccalanding.example/yuccalanding/internal/event"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

const (
	// minTokenBytes keeps tokens from being guessed; it is 128 bits in hex.
	minTokenBytes = 32
	maxTokens     = 4096
	maxFileBytes  = 1 << 20
	// pollEvery is how often the file is looked at; a revoked token is refused
	// within this time and one reading.
	pollEvery = 2 * time.Second
)

// Errors of Authorize.
var (
	ErrNoToken      = errors.New("the call needs a token: send it as \"Authorization: Bearer TOKEN\"")
	ErrUnknownToken = errors.New("the token is not known here: check it against the node's token file")
	ErrNotLoopback  = errors.New("the node has no token file and takes calls from loopback addresses only: set token-file in section [access]")
)

// Options configure a List.
type Options struct {
	// File is the token file; empty is open access from loopback only.
	File string
	// Record takes events about reloading; nil discards them.
	Record func(definition event.Definition, keyvals ...any)
	// PollInterval is how often Watch looks at the file; 0 is 2 s.
	PollInterval time.Duration
}

// List holds the tokens in force. Its methods may be called from any goroutine.
type List struct {
	options Options
	entries atomic.Pointer[[]entry]
	// content is the digest of the file that was read last, good or not. Only
	// Open and the goroutine of Watch use it.
	content [sha256.Size]byte
}

type entry struct {
	digest [sha256.Size]byte
	grant  Grant
	line   int
}

// Open reads the token file. The error is of type workload.Findings if the
// file has faults.
func Open(options Options) (*List, error) {
	if options.Record == nil {
		options.Record = func(event.Definition, ...any) {}
	}
	if options.PollInterval == 0 {
		options.PollInterval = pollEvery
	}
	list := &List{options: options}
	if options.File == "" {
		return list, nil
	}
	if _, err := list.reload(); err != nil {
		return nil, err
	}
	return list, nil
}

// Watch reads the file again when its content changes, until the context ends.
// The channel is closed when it has stopped.
func (l *List) Watch(ctx context.Context) <-chan struct{} {
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		if l.options.File == "" {
			return
		}
		ticker := time.NewTicker(l.options.PollInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				l.poll()
			}
		}
	}()
	return stopped
}

// poll keeps the tokens in force when the file is gone or has faults, so that
// a mistake while editing locks nobody out.
func (l *List) poll() {
	changed, err := l.reload()
	switch {
	case err != nil && changed:
		l.options.Record(event.TokensBad, "findings", err.Error())
	case changed:
		l.options.Record(event.TokensLoaded, "file", l.options.File, "tokens", len(*l.entries.Load()))
	}
}

// reload reports whether the file changed since the last reading.
func (l *List) reload() (bool, error) {
	content, err := readBounded(l.options.File)
	if err != nil {
		content = []byte(err.Error())
	}
	digest := sha256.Sum256(content)
	if digest == l.content {
		return false, nil
	}
	l.content = digest
	if err != nil {
		return true, workload.Findings{{Place: l.options.File, Message: "can't be read: " + err.Error()}}
	}
	entries, findings := parse(l.options.File, content)
	if len(findings) > 0 {
		return true, findings
	}
	l.entries.Store(&entries)
	return true, nil
}

func readBounded(file string) ([]byte, error) {
	about, err := os.Stat(file)
	if err != nil {
		return nil, err
	}
	if about.Size() > maxFileBytes {
		return nil, fmt.Errorf("has %d bytes, more than %d", about.Size(), maxFileBytes)
	}
	return os.ReadFile(file)
}

// parse reads one token a line: role, name, team ("-" for all), token. It
// never puts a token into a finding.
func parse(file string, content []byte) ([]entry, workload.Findings) {
	var entries []entry
	var findings workload.Findings
	first := map[[sha256.Size]byte]int{}
	for i, raw := range bytes.Split(content, []byte("\n")) {
		place := fmt.Sprintf("%s:%d", file, i+1)
		fields := strings.Fields(string(raw))
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		if len(fields) != 4 {
			findings.Add(place, "must have 4 fields (role, name, team or -, token), got %d", len(fields))
			continue
		}
		parsed := entry{digest: sha256.Sum256([]byte(fields[3])), line: i + 1,
			grant: Grant{Role: Role(fields[0]), Name: fields[1], Team: strings.TrimPrefix(fields[2], "-")}}
		checkGrant(place, parsed.grant, &findings)
		if len(fields[3]) < minTokenBytes {
			findings.Add(place, "the token must have at least %d characters, got %d", minTokenBytes, len(fields[3]))
		}
		if line, again := first[parsed.digest]; again {
			findings.Add(place, "the token is that of line %d", line)
		}
		first[parsed.digest] = i + 1
		entries = append(entries, parsed)
	}
	if len(entries) > maxTokens {
		findings.Add(file, "has %d tokens, more than %d", len(entries), maxTokens)
	}
	return entries, findings
}

func checkGrant(place string, grant Grant, findings *workload.Findings) {
	switch grant.Role {
	case RoleCaller:
		if grant.Team == "" || len(grant.Team) > workload.MaxNameLength {
			findings.Add(place, "role caller needs a team of 1 to %d characters", workload.MaxNameLength)
		}
	case RoleSupport, RoleOperator:
		if grant.Team != "" {
			findings.Add(place, "role %s is for all teams: write - in place of team %q", grant.Role, grant.Team)
		}
	default:
		findings.Add(place, "the role must be %s, %s or %s, got %q", RoleCaller, RoleSupport, RoleOperator, grant.Role)
	}
}

// Authorize returns what the token allows. It compares digests with all
// entries in constant time, so that the time tells nothing about a token.
func (l *List) Authorize(token string, remote netip.AddrPort) (Grant, error) {
	entries := l.entries.Load()
	if entries == nil {
		if remote.Addr().Unmap().IsLoopback() {
			return Grant{Role: RoleOpen, Name: "loopback"}, nil
		}
		return Grant{}, ErrNotLoopback
	}
	if token == "" {
		return Grant{}, ErrNoToken
	}
	digest := sha256.Sum256([]byte(token))
	match := -1
	for i := range *entries {
		equal := subtle.ConstantTimeCompare(digest[:], (*entries)[i].digest[:])
		match = subtle.ConstantTimeSelect(equal, i, match)
	}
	if match < 0 {
		return Grant{}, ErrUnknownToken
	}
	return (*entries)[match].grant, nil
}
