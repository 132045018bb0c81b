package peer

import (
	"crypto/ed25519"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"errors"
	"fmt"
	"math/big"
	"slices"
	"strings"
	"time"

	"github.com/quic-go/quic-go"
)

const (
	// ProtocolVersion must be increased with every incompatible change of the
	// frames.
	ProtocolVersion = 1
	// MinSecretBytes makes a brute-force search for the secret infeasible.
	// Every handshake reveals values derived from the secret, against which
	// guesses can be checked.
	MinSecretBytes = 16

	certificateName  = "yuccalanding"
	fingerprintBytes = 8
)

// Certificates do not expire in practice; a new cluster secret replaces them.
// They are verified at a fixed time, so that nodes with wrong clocks are not
// refused.
var (
	certificateNotBefore = time.Date(2020, 1, 1, 0, 0, 0, 0, time.UTC)
	certificateNotAfter  = time.Date(2120, 1, 1, 0, 0, 0, 0, time.UTC)
	verificationTime     = time.Date(2070, 1, 1, 0, 0, 0, 0, time.UTC)
)

// identity proves that a process knows the cluster secret. All processes with the
// same secret derive the same certificate authority from it. Each process creates
// a new key and signs a certificate for it with the authority's key.
type identity struct {
	certificate tls.Certificate
	authority   *x509.CertPool
	// protocol is offered in the TLS handshake as the application protocol
	// (ALPN). It contains the version and a fingerprint of the secret, so that
	// the accepting side knows from the first message why it refuses a node.
	protocol, protocolPrefix string
	resetKey                 quic.StatelessResetKey
}

func newIdentity(self string, secret []byte, version int) (*identity, error) {
	seed, err := derive(secret, "authority", ed25519.SeedSize)
	if err != nil {
		return nil, err
	}
	fingerprint, err := derive(secret, "fingerprint", fingerprintBytes)
	if err != nil {
		return nil, err
	}
	reset, err := derive(secret, "stateless-reset "+self, len(quic.StatelessResetKey{}))
	if err != nil {
		return nil, err
	}
	authorityKey := ed25519.NewKeyFromSeed(seed)
	authority, err := newAuthority(authorityKey)
	if err != nil {
		return nil, err
	}
	i := &identity{authority: x509.NewCertPool(), resetKey: quic.StatelessResetKey(reset)}
	i.authority.AddCert(authority)
	i.protocolPrefix = fmt.Sprintf("%s/%d/", certificateName, version)
	i.protocol = i.protocolPrefix + hex.EncodeToString(fingerprint)
	i.certificate, err = newCertificate(self, authority, authorityKey)
	return i, err
}

// derive returns a value of size bytes that is derived from the secret and
// differs for each purpose.
func derive(secret []byte, purpose string, size int) ([]byte, error) {
	return hkdf.Key(sha256.New, secret, nil, certificateName+" "+purpose, size)
}

// newAuthority returns the certificate of the authority. It depends only on the
// key, because Ed25519 signatures are deterministic.
func newAuthority(key ed25519.PrivateKey) (*x509.Certificate, error) {
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: certificateName + " authority"},
		NotBefore: certificateNotBefore, NotAfter: certificateNotAfter,
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, err
	}
	return x509.ParseCertificate(der)
}

func newCertificate(self string, authority *x509.Certificate, authorityKey ed25519.PrivateKey) (tls.Certificate, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return tls.Certificate{}, err
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		return tls.Certificate{}, err
	}
	der, err := x509.CreateCertificate(rand.Reader, &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: self}, DNSNames: []string{certificateName},
		NotBefore: certificateNotBefore, NotAfter: certificateNotAfter, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, authority, public, authorityKey)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private}, err
}

// peerName returns the node's name in the certificate of the other side, or an
// empty string without a certificate.
func peerName(state tls.ConnectionState) string {
	if len(state.PeerCertificates) == 0 {
		return ""
	}
	return state.PeerCertificates[0].Subject.CommonName
}

// verifyPeer returns an error if the other side's certificate was not signed by
// the authority that this process derived from its secret.
func (i *identity) verifyPeer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("no certificate")
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: i.authority, DNSName: certificateName, CurrentTime: verificationTime,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return err
}

func (t *Transport) tlsConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{t.identity.certificate},
		NextProtos: []string{t.identity.protocol}, SessionTicketsDisabled: true,
	}
}

// serverTLS returns the TLS configuration of the accepting side. It reports
// refused handshakes as events, because quic-go does not report failed handshakes
// to the accepting side.
func (t *Transport) serverTLS() *tls.Config {
	config := t.tlsConfig()
	config.ClientAuth = tls.RequireAnyClientCert
	config.GetConfigForClient = func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
		if !slices.Contains(hello.SupportedProtos, t.identity.protocol) {
			t.reportEvent(t.protocolMismatchEvent(hello))
		}
		// Without a common protocol, TLS ends the handshake with an alert
		// that tells the dialing side why.
		return nil, nil
	}
	config.VerifyConnection = func(state tls.ConnectionState) error {
		err := t.identity.verifyPeer(state)
		if err != nil {
			t.reportEvent(Event{Kind: RefusedSecret, Err: err})
		}
		return err
	}
	return config
}

// protocolMismatchEvent returns the event for a node that does not offer this
// node's protocol: RefusedSecret if it has the same version, else RefusedVersion.
func (t *Transport) protocolMismatchEvent(hello *tls.ClientHelloInfo) Event {
	e := Event{Kind: RefusedVersion, Err: fmt.Errorf("offered protocols %q", hello.SupportedProtos)}
	if hello.Conn != nil && hello.Conn.RemoteAddr() != nil {
		e.Address = hello.Conn.RemoteAddr().String()
	}
	sameVersion := func(protocol string) bool { return strings.HasPrefix(protocol, t.identity.protocolPrefix) }
	if slices.ContainsFunc(hello.SupportedProtos, sameVersion) {
		e.Kind = RefusedSecret
	}
	return e
}

// clientTLS returns the TLS configuration for dialing the named node. It replaces
// the standard verification, which uses the current time: the clock of a VM
// without a time source may be wrong.
func (t *Transport) clientTLS(name string) *tls.Config {
	config := t.tlsConfig()
	config.ServerName = certificateName
	config.InsecureSkipVerify = true
	config.VerifyConnection = func(state tls.ConnectionState) error {
		if err := t.identity.verifyPeer(state); err != nil {
			return fmt.Errorf("%w: %w", errSecretMismatch, err)
		}
		if peerName(state) != name {
			return fmt.Errorf("%w: %q", errNameMismatch, peerName(state))
		}
		return nil
	}
	return config
}

var (
	errSecretMismatch = errors.New("the node has another cluster secret")
	errNameMismatch   = errors.New("the node at this address has another name")
)

// errorNoApplicationProtocol is the QUIC error code for the TLS alert
// no_application_protocol: 0x100 plus the number of the alert.
const errorNoApplicationProtocol = 0x100 + 120

// dialFailureKind returns the kind of event for a failed dial.
func dialFailureKind(err error) Kind {
	var transportError *quic.TransportError
	switch {
	case errors.Is(err, errNameMismatch):
		return RefusedMember
	case errors.Is(err, errSecretMismatch):
		return RefusedSecret
	case errors.As(err, &transportError) && transportError.ErrorCode == errorNoApplicationProtocol:
		return RefusedByPeer
	}
	return DialFailed
}
