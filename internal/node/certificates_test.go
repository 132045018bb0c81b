package node

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/event"
	"yuccalanding.example/yuccalanding/internal/settings"
)

// writePair writes a self-signed certificate with the given common name, and its
// private key.
func writePair(t *testing.T, files settings.TLS, name string) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	require.NoError(t, err)
	key, err := x509.MarshalPKCS8PrivateKey(private)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(files.CertificateFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	require.NoError(t, os.WriteFile(files.KeyFile, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: key}), 0o600))
}

// Guards against a new certificate that takes effect only after a restart, and
// against connections that fail while only one of the two files has been replaced.
func TestCertificatesAreReloadedWithoutRestart(t *testing.T) {
	folder := t.TempDir()
	files := settings.TLS{CertificateFile: filepath.Join(folder, "certificate.pem"), KeyFile: filepath.Join(folder, "key.pem")}
	writePair(t, files, "first")
	certificates, err := openCertificates(files, func(event.Definition, ...any) {})
	require.NoError(t, err)
	listener, err := tls.Listen("tcp", "127.0.0.1:0", certificates.tlsConfig())
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, listener.Close()) })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func(connection net.Conn) {
				_ = connection.(*tls.Conn).Handshake()
				_ = connection.Close()
			}(connection)
		}
	}()
	presentedName := func() string {
		connection, err := tls.Dial("tcp", listener.Addr().String(), &tls.Config{InsecureSkipVerify: true})
		require.NoError(t, err)
		defer connection.Close()
		return connection.ConnectionState().PeerCertificates[0].Subject.CommonName
	}
	require.Equal(t, "first", presentedName())
	firstKey, err := os.ReadFile(files.KeyFile)
	require.NoError(t, err)
	writePair(t, files, "second")
	secondKey, err := os.ReadFile(files.KeyFile)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(files.KeyFile, firstKey, 0o600))
	changed, err := certificates.reload()
	require.True(t, changed)
	require.Error(t, err)
	require.Equal(t, "first", presentedName(), "the key does not match the certificate yet")
	require.NoError(t, os.WriteFile(files.KeyFile, secondKey, 0o600))
	changed, err = certificates.reload()
	require.True(t, changed)
	require.NoError(t, err)
	require.Equal(t, "second", presentedName())
	changed, err = certificates.reload()
	require.False(t, changed)
	require.NoError(t, err)
}
