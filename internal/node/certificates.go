package node

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"fmt"
	"os"
	"sync/atomic"
	"time"

	"yuccalanding.example/yuccalanding/internal/event"
	"yuccalanding.example/yuccalanding/internal/settings"
)

// certificatePollInterval is how often the certificate files are checked for changes.
const certificatePollInterval = 2 * time.Second

// certificates serves the TLS certificate of the listeners for callers and
// operators. It reloads changed files without a restart; open connections keep
// the certificate of their handshake.
type certificates struct {
	files       settings.TLS
	recordEvent func(definition event.Definition, keyvals ...any)
	current     atomic.Pointer[tls.Certificate]
	// lastDigest is the digest of the most recently read files, valid or not, so that
	// unchanged files are not loaded again.
	lastDigest [sha256.Size]byte
}

// openCertificates loads the files if the settings name any. It fails if they can't
// be read or are not a valid pair.
func openCertificates(files settings.TLS, recordEvent func(event.Definition, ...any)) (*certificates, error) {
	c := &certificates{files: files, recordEvent: recordEvent}
	if files.CertificateFile == "" {
		return c, nil
	}
	_, err := c.reload()
	return c, err
}

// tlsConfig returns the TLS configuration of a listener, or nil for plain HTTP.
func (c *certificates) tlsConfig() *tls.Config {
	if c.files.CertificateFile == "" {
		return nil
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.current.Load(), nil },
	}
}

// reload reads the files and reports whether they changed. The two files are
// replaced one after the other, so that they may not match in between. Such a pair
// is rejected and the pair in use is kept.
func (c *certificates) reload() (bool, error) {
	certificate, err := os.ReadFile(c.files.CertificateFile)
	if err != nil {
		return false, fmt.Errorf("read certificate file: %w", err)
	}
	key, err := os.ReadFile(c.files.KeyFile)
	if err != nil {
		return false, fmt.Errorf("read key file: %w", err)
	}
	digest := sha256.Sum256(append(append([]byte{}, certificate...), key...))
	if digest == c.lastDigest {
		return false, nil
	}
	c.lastDigest = digest
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return true, fmt.Errorf("certificate %s with key %s: %w", c.files.CertificateFile, c.files.KeyFile, err)
	}
	c.current.Store(&pair)
	return true, nil
}

// watch reloads changed files until the context ends. If they can't be used, the
// certificate in use is kept and the error is logged once.
func (c *certificates) watch(ctx context.Context) error {
	if c.files.CertificateFile == "" {
		<-ctx.Done()
		return nil
	}
	ticker := time.NewTicker(certificatePollInterval)
	defer ticker.Stop()
	lastError := ""
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		changed, err := c.reload()
		switch {
		case err != nil && err.Error() != lastError:
			lastError = err.Error()
			c.recordEvent(event.CertificateBad, "reason", lastError)
		case err == nil && changed:
			lastError = ""
			c.recordEvent(event.CertificateLoaded, "file", c.files.CertificateFile)
		}
	}
}
