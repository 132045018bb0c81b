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

// certificatePoll is how often the certificate files are looked at.
const certificatePoll = 2 * time.Second

// certificates holds the certificate of the callers' and operators' addresses.
// Changed files are taken over without a restart; open connections keep the
// certificate that they began with.
type certificates struct {
	files   settings.TLS
	record  func(definition event.Definition, keyvals ...any)
	current atomic.Pointer[tls.Certificate]
	// seen is the digest of the files that were read last, good or not.
	seen [sha256.Size]byte
}

// openCertificates reads the files, if the settings name any.
func openCertificates(files settings.TLS, record func(event.Definition, ...any)) (*certificates, error) {
	c := &certificates{files: files, record: record}
	if files.CertificateFile == "" {
		return c, nil
	}
	_, err := c.reload()
	return c, err
}

// config returns the configuration for TLS, or nil for plain HTTP.
func (c *certificates) config() *tls.Config {
	if c.files.CertificateFile == "" {
		return nil
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.current.Load(), nil },
	}
}

// reload reports whether the files changed. A certificate and a key that don't
// match are refused together, since the files are replaced one after the other.
func (c *certificates) reload() (bool, error) {
	certificate, err := os.ReadFile(c.files.CertificateFile)
	if err != nil {
		return false, fmt.Errorf("certificate: %w", err)
	}
	key, err := os.ReadFile(c.files.KeyFile)
	if err != nil {
		return false, fmt.Errorf("key: %w", err)
	}
	digest := sha256.Sum256(append(append([]byte{}, certificate...), key...))
	if digest == c.seen {
		return false, nil
	}
	c.seen = digest
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return true, fmt.Errorf("certificate %s with key %s: %w", c.files.CertificateFile, c.files.KeyFile, err)
	}
	c.current.Store(&pair)
	return true, nil
}

// watch takes over changed files until the context ends. A fault keeps the
// certificate in force.
func (c *certificates) watch(ctx context.Context) error {
	if c.files.CertificateFile == "" {
		<-ctx.Done()
		return nil
	}
	ticker := time.NewTicker(certificatePoll)
	defer ticker.Stop()
	reported := ""
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		changed, err := c.reload()
		switch {
		case err != nil && err.Error() != reported:
			reported = err.Error()
			c.record(event.CertificateBad, "reason", reported)
		case err == nil && changed:
			reported = ""
			c.record(event.CertificateLoaded, "file", c.files.CertificateFile)
		}
	}
}
