package command

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"

	"yuccalanding.example/yuccalanding/pkg/caller"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// maxAttempts is the largest value of --attempts.
const maxAttempts = 100

// callerFlags are the flags of verbs that use the callers' interface.
type callerFlags struct {
	Node      []string `help:"Callers' addresses of entry VMs." placeholder:"IP:PORT" default:"127.0.0.1:8080" env:"YUCCALANDING_NODE"`
	Team      string   `help:"Team of the work; required if the token doesn't belong to a single team." placeholder:"TEAM"`
	TokenFile string   `help:"File that holds the token." placeholder:"FILE" env:"YUCCALANDING_TOKEN_FILE"`
	CAFile    string   `help:"Certificates of the authorities that sign the nodes' certificates; turns on TLS." name:"ca-file" placeholder:"FILE" env:"YUCCALANDING_CA_FILE"`
	Attempts  int      `help:"Maximum number of attempts, including the first." default:"6"`
	JSON      bool     `help:"Write JSON instead of a table." name:"json"`
}

// keyFlags are the flags of verbs that take the key of one request or job.
type keyFlags struct {
	Key string `arg:"" help:"Key of the request or job."`
	callerFlags
}

// query returns the query for the key, or a UsageError if the key is not a
// UUIDv7.
func (f *keyFlags) query() (caller.Query, error) {
	key := workload.Key(f.Key)
	if _, ok := key.IssuedAt(); !ok {
		return caller.Query{}, &UsageError{fmt.Sprintf("the key must be a UUIDv7, got %q", f.Key)}
	}
	return caller.Query{Key: key, Team: f.Team}, nil
}

// client returns a client that is configured by the flags.
func (f *callerFlags) client() (*caller.Client, error) {
	addresses, err := parseAddresses("--node", f.Node)
	if err != nil {
		return nil, err
	}
	if f.Attempts < 1 || f.Attempts > maxAttempts {
		return nil, &UsageError{fmt.Sprintf("--attempts: must be from 1 to %d, got %d", maxAttempts, f.Attempts)}
	}
	token, err := readToken(f.TokenFile)
	if err != nil {
		return nil, err
	}
	tlsConfig, err := readTLSConfig(f.CAFile)
	if err != nil {
		return nil, err
	}
	return caller.New(caller.Options{Addresses: addresses, Token: token, TLS: tlsConfig, Team: f.Team, Attempts: f.Attempts})
}

func parseAddresses(flag string, texts []string) ([]netip.AddrPort, error) {
	var addresses []netip.AddrPort
	for _, text := range texts {
		address, err := netip.ParseAddrPort(text)
		if err != nil || address.Port() == 0 {
			return nil, &UsageError{fmt.Sprintf("%s: must be an IP address and a port such as 10.0.1.1:8080, got %q", flag, text)}
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// readTLSConfig returns a TLS configuration that trusts the certificates in a
// file, or nil, which means plain HTTP, if no file is named.
func readTLSConfig(file string) (*tls.Config, error) {
	if file == "" {
		return nil, nil
	}
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("the certificates can't be read: %w; name a readable file with --ca-file", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(content) {
		return nil, fmt.Errorf("%s: contains no certificate in PEM form; name another file with --ca-file", file)
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}, nil
}

// readToken returns the token in a file, or "" if no file is named. There is no
// flag for the token itself, because other users of the machine can see command
// lines.
func readToken(file string) (string, error) {
	if file == "" {
		return "", nil
	}
	content, err := os.ReadFile(file)
	if err != nil {
		return "", fmt.Errorf("the token can't be read: %w; name a readable file with --token-file", err)
	}
	return strings.TrimSpace(string(content)), nil
}

// addHints adds to the error of a failed call its findings and hints on what to
// do next. key is the key of the request, or "" to leave out the hint to look up
// its status.
func (f *callerFlags) addHints(key workload.Key, err error) error {
	var failure *caller.Error
	if !errors.As(err, &failure) {
		return err
	}
	text := failure.Error()
	for _, finding := range failure.Refusal.Findings {
		text += "\n  " + finding.Place + ": " + finding.Message
	}
	switch {
	case failure.Cause != nil:
		text += fmt.Sprintf("\nCheck that an entry VM listens at %s (--node).", strings.Join(f.Node, ", "))
	case failure.Refusal.RetryAfterMS > 0:
		text += fmt.Sprintf("\nTry again in %s.", formatMilliseconds(failure.Refusal.RetryAfterMS))
	case failure.Refusal.Code == workload.CodeForbidden:
		text += "\nName a token for this team with --token-file."
	}
	canLookUp := failure.Refusal.Code != workload.CodeNotFound && failure.Refusal.Code != workload.CodeForbidden
	if key != "" && canLookUp && failure.Refusal.Run == workload.MayHaveRun {
		text += fmt.Sprintf("\nThe request may have run; look it up with: %s status %s", Program, key)
	}
	return errors.New(text)
}
