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
	// minTokenBytes is the length of 128 bits in hex, which can't be guessed.
	minTokenBytes = 32
	maxTokens     = 4096
	maxFileBytes  = 1 << 20
	// defaultPollInterval is the time between two reads of the file. A revoked
	// token is refused after at most this time and the time of one read.
	defaultPollInterval = 2 * time.Second
)

// Errors of Authorize.
var (
	ErrNoToken      = errors.New("the call needs a token: send it as \"Authorization: Bearer TOKEN\"")
	ErrUnknownToken = errors.New("the token is not known here: check it against the node's token file")
	ErrNotLoopback  = errors.New("the node has no token file and takes calls from loopback addresses only: set token-file in section [access]")
)

// Options configure a List.
type Options struct {
	// File is the path of the token file. If it is empty, only calls from loopback
	// addresses are allowed.
	File string
	// Record receives the events TokensLoaded and TokensBad when the file has
	// changed; nil discards them.
	Record func(definition event.Definition, keyvals ...any)
	// PollInterval is the time between two reads of the file by Watch; 0 means 2 s.
	PollInterval time.Duration
}

// List holds the tokens in force. It is safe for use by several goroutines.
type List struct {
	options Options
	entries atomic.Pointer[[]tokenEntry]
	// contentDigest is the SHA-256 digest of the content that was read last, whether
	// valid or not. Only Open and the goroutine of Watch use it.
	contentDigest [sha256.Size]byte
}

// tokenEntry is one line of the token file.
type tokenEntry struct {
	// digest is the SHA-256 digest of the token.
	digest [sha256.Size]byte
	grant  Grant
	line   int
}

// Open reads the token file. If the file can't be read or is invalid, the error is
// of type workload.Findings and holds a finding for each fault.
func Open(options Options) (*List, error) {
	if options.Record == nil {
		options.Record = func(event.Definition, ...any) {}
	}
	if options.PollInterval == 0 {
		options.PollInterval = defaultPollInterval
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

// Watch reads the file every PollInterval until the context ends and puts changed
// tokens in force. It returns at once; the channel is closed when the reads have
// stopped.
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

// poll reads the file once. If the file is missing or invalid, the tokens in force
// are kept, so that a mistake in an edit revokes no token.
func (l *List) poll() {
	changed, err := l.reload()
	switch {
	case err != nil && changed:
		l.options.Record(event.TokensBad, "findings", err.Error())
	case changed:
		l.options.Record(event.TokensLoaded, "file", l.options.File, "tokens", len(*l.entries.Load()))
	}
}

// reload reads the file and replaces the tokens if its content is new and valid. It
// reports whether the content differs from that of the last read. The text of a
// read error counts as content, so that a lasting error is reported only once.
func (l *List) reload() (bool, error) {
	content, err := readLimited(l.options.File)
	if err != nil {
		content = []byte(err.Error())
	}
	digest := sha256.Sum256(content)
	if digest == l.contentDigest {
		return false, nil
	}
	l.contentDigest = digest
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

// readLimited reads a file of at most maxFileBytes.
func readLimited(file string) ([]byte, error) {
	info, err := os.Stat(file)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxFileBytes {
		return nil, fmt.Errorf("has %d bytes, more than %d", info.Size(), maxFileBytes)
	}
	return os.ReadFile(file)
}

// parse parses one token per line: role, name, team ("-" for all) and token. It
// returns a finding for each fault; findings never contain a token.
func parse(file string, content []byte) ([]tokenEntry, workload.Findings) {
	var entries []tokenEntry
	var findings workload.Findings
	lineByDigest := map[[sha256.Size]byte]int{}
	for i, lineText := range bytes.Split(content, []byte("\n")) {
		place := fmt.Sprintf("%s:%d", file, i+1)
		fields := strings.Fields(string(lineText))
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		if len(fields) != 4 {
			findings.Add(place, "must have 4 fields (role, name, team or -, token), got %d", len(fields))
			continue
		}
		parsed := tokenEntry{digest: sha256.Sum256([]byte(fields[3])), line: i + 1,
			grant: Grant{Role: Role(fields[0]), Name: fields[1], Team: strings.TrimPrefix(fields[2], "-")}}
		checkGrant(place, parsed.grant, &findings)
		if len(fields[3]) < minTokenBytes {
			findings.Add(place, "the token must have at least %d characters, got %d", minTokenBytes, len(fields[3]))
		}
		if line, duplicate := lineByDigest[parsed.digest]; duplicate {
			findings.Add(place, "the token is the same as in line %d", line)
		}
		lineByDigest[parsed.digest] = i + 1
		entries = append(entries, parsed)
	}
	if len(entries) > maxTokens {
		findings.Add(file, "has %d tokens, more than %d", len(entries), maxTokens)
	}
	return entries, findings
}

// checkGrant adds a finding if the role is unknown or the team is invalid for the
// role.
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

// Authorize returns what the token allows for a call from the address remote. The
// error is ErrNoToken, ErrUnknownToken or ErrNotLoopback. The digest of the token
// is compared with all entries in constant time, so that the duration reveals
// nothing about the tokens.
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
