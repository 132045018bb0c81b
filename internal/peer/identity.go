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
	// ProtocolVersion changes whenever frames of two versions differ.
	ProtocolVersion = 1
	// MinSecretBytes makes a search for the secret infeasible; every handshake
	// shows values derived from it.
	MinSecretBytes = 16

	certificateName = "yuccalanding"
	fingerprintSize = 8
)

// The validity of certificates does not limit anything: a new secret replaces
// them. Fixed times keep nodes with wrong clocks in the cluster.
var (
	validFrom  = time.Date(2020, 1, 1, 0, 0, 0, 0, time.UTC)
	validUntil = time.Date(2120, 1, 1, 0, 0, 0, 0, time.UTC)
	validAt    = time.Date(2070, 1, 1, 0, 0, 0, 0, time.UTC)
)

// identity is a process's proof that it knows the cluster secret. The
// authority is the same in all processes with one secret; the certificate and
// its key are new in each process.
type identity struct {
	certificate tls.Certificate
	authority   *x509.CertPool
	// protocol is offered in the TLS handshake. It names the version and a
	// fingerprint of the secret, so that the accepting side can tell the reason
	// of a refusal at the first message.
	protocol, protocolPrefix string
	resetKey                 quic.StatelessResetKey
}

func newIdentity(self string, secret []byte, version int) (*identity, error) {
	seed, err := derive(secret, "authority", ed25519.SeedSize)
	if err != nil {
		return nil, err
	}
	fingerprint, err := derive(secret, "fingerprint", fingerprintSize)
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

func derive(secret []byte, purpose string, size int) ([]byte, error) {
	return hkdf.Key(sha256.New, secret, nil, certificateName+" "+purpose, size)
}

// newAuthority returns a certificate that depends on the key alone: Ed25519
// signatures are deterministic.
func newAuthority(key ed25519.PrivateKey) (*x509.Certificate, error) {
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: certificateName + " authority"},
		NotBefore: validFrom, NotAfter: validUntil,
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
		NotBefore: validFrom, NotAfter: validUntil, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, authority, public, authorityKey)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private}, err
}

// nameOf returns the node's name that a verified certificate proves.
func nameOf(state tls.ConnectionState) string {
	if len(state.PeerCertificates) == 0 {
		return ""
	}
	return state.PeerCertificates[0].Subject.CommonName
}

// verify checks that the other side's certificate was made with our secret.
func (i *identity) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("no certificate")
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: i.authority, DNSName: certificateName, CurrentTime: validAt,
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

// serverTLS records refused handshakes here, because QUIC does not report
// failed handshakes to the accepting side.
func (t *Transport) serverTLS() *tls.Config {
	config := t.tlsConfig()
	config.ClientAuth = tls.RequireAnyClientCert
	config.GetConfigForClient = func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
		if !slices.Contains(hello.SupportedProtos, t.identity.protocol) {
			t.event(t.protocolMismatch(hello))
		}
		// Without a common protocol the handshake fails by itself, with an
		// alert that tells the dialing side why.
		return nil, nil
	}
	config.VerifyConnection = func(state tls.ConnectionState) error {
		err := t.identity.verify(state)
		if err != nil {
			t.event(Event{Kind: RefusedSecret, Err: err})
		}
		return err
	}
	return config
}

func (t *Transport) protocolMismatch(hello *tls.ClientHelloInfo) Event {
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

// clientTLS verifies the certificate itself: the standard verification uses
// the present time, which may be wrong on a VM without a clock source.
func (t *Transport) clientTLS(name string) *tls.Config {
	config := t.tlsConfig()
	config.ServerName = certificateName
	config.InsecureSkipVerify = true
	config.VerifyConnection = func(state tls.ConnectionState) error {
		if err := t.identity.verify(state); err != nil {
			return fmt.Errorf("%w: %w", errOtherSecret, err)
		}
		if nameOf(state) != name {
			return fmt.Errorf("%w: it is %q", errOtherName, nameOf(state))
		}
		return nil
	}
	return config
}

var (
	errOtherSecret = errors.New("the node has another cluster secret")
	errOtherName   = errors.New("the node at this address has another name")
)

// alertNoProtocol is the TLS alert no_application_protocol as a QUIC error.
const alertNoProtocol = 0x100 + 120

// dialKind classifies a failed dial.
func dialKind(err error) Kind {
	var failure *quic.TransportError
	switch {
	case errors.Is(err, errOtherName):
		return RefusedMember
	case errors.Is(err, errOtherSecret):
		return RefusedSecret
	case errors.As(err, &failure) && failure.ErrorCode == alertNoProtocol:
		return RefusedByPeer
	}
	return DialFailed
}
