// Package configurer reads a process's own settings from one YAML file. The
// fleet's declarations are another matter; see package declarer.
package configurer

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"time"

	"gopkg.in/yaml.v3"

	"papayapaddle/internal/declarer"
	"papayapaddle/internal/failer"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of error.
const (
	KindInvalid Kind = "invalid settings"
	KindRead    Kind = "cannot read"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

// Settings are the settings of one router process.
type Settings struct {
	// Name is the router's name in the platform's list.
	Name             string `yaml:"name"`
	AvailabilityZone string `yaml:"availability-zone"`
	// Callers, Operators and Peers are the addresses to listen on.
	Callers   Listener `yaml:"callers"`
	Operators Listener `yaml:"operators"`
	Peers     Listener `yaml:"peers"`
	// PlatformURL is the base URL of the platform's services.
	PlatformURL string `yaml:"platform"`
	PlatformTLS TLS    `yaml:"platform-tls,omitempty"`
	// OperatorToken guards the operators' listener.
	OperatorToken string `yaml:"operator-token"`
	Limits        Limits `yaml:"limits,omitempty"`
	// BalancerDelay is how long the balancer may take to turn away from a
	// router that is not ready.
	BalancerDelay declarer.Duration `yaml:"balancer-delay,omitempty"`
}

// Listener is an address to listen on, and its keys.
type Listener struct {
	Address string `yaml:"address"`
	TLS     TLS    `yaml:"tls,omitempty"`
}

// TLS names the files of a certificate. Empty means no TLS.
type TLS struct {
	CertificateFile string `yaml:"certificate,omitempty"`
	KeyFile         string `yaml:"key,omitempty"`
	// CAFile is the file with the certificates that the other side must be
	// signed by.
	CAFile string `yaml:"authority,omitempty"`
}

// Limits bounds what one router holds for callers. Zero means the default.
type Limits struct {
	WaitingRequests int `yaml:"waiting-requests,omitempty"`
	WaitingBytes    int `yaml:"waiting-bytes,omitempty"`
	BodyBytes       int `yaml:"body-bytes,omitempty"`
}

// The defaults of Limits and of BalancerDelay.
const (
	DefaultWaitingRequests = 1024
	DefaultWaitingBytes    = 64 << 20
	DefaultBodyBytes       = 1 << 20
	DefaultBalancerDelay   = 5 * time.Second
	maxWaitingRequests     = 1_000_000
)

// Load reads and checks a settings file.
func Load(path string) (Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, failer.Wrap("load settings", KindRead, err)
	}
	return Parse(path, b)
}

// Parse reads settings, with all that is wrong in one error.
func Parse(name string, b []byte) (Settings, error) {
	var s Settings
	d := yaml.NewDecoder(bytes.NewReader(b))
	d.KnownFields(true)
	if err := d.Decode(&s); err != nil && !errors.Is(err, io.EOF) {
		return Settings{}, failer.Wrap("load settings "+name, KindInvalid, err)
	}
	s.fill()
	if bad := s.Validate(); len(bad) > 0 {
		return Settings{}, failer.New("load settings "+name, KindInvalid, strings.Join(bad, "; "))
	}
	return s, nil
}

func (s *Settings) fill() {
	if s.Limits.WaitingRequests == 0 {
		s.Limits.WaitingRequests = DefaultWaitingRequests
	}
	if s.Limits.WaitingBytes == 0 {
		s.Limits.WaitingBytes = DefaultWaitingBytes
	}
	if s.Limits.BodyBytes == 0 {
		s.Limits.BodyBytes = DefaultBodyBytes
	}
	if s.BalancerDelay == 0 {
		s.BalancerDelay = declarer.Duration(DefaultBalancerDelay)
	}
}

// Validate returns all that is wrong.
func (s *Settings) Validate() []string {
	var bad []string
	if s.Name == "" {
		bad = append(bad, "name is empty: give this router's name in the platform's list")
	}
	if s.AvailabilityZone == "" {
		bad = append(bad, "availability-zone is empty")
	}
	bad = append(bad, s.Callers.check("callers")...)
	bad = append(bad, s.Operators.check("operators")...)
	bad = append(bad, s.Peers.check("peers")...)
	if !strings.HasPrefix(s.PlatformURL, "http://") && !strings.HasPrefix(s.PlatformURL, "https://") {
		bad = append(bad, fmt.Sprintf("platform %q: give a URL that starts with http:// or https://", s.PlatformURL))
	}
	if s.OperatorToken == "" {
		bad = append(bad, "operator-token is empty: the operators' listener needs one")
	}
	if s.Limits.WaitingRequests < 1 || s.Limits.WaitingRequests > maxWaitingRequests {
		bad = append(bad, fmt.Sprintf("limits.waiting-requests %d: use 1 to %d", s.Limits.WaitingRequests, maxWaitingRequests))
	}
	if s.Limits.WaitingBytes < 1 || s.Limits.BodyBytes < 1 {
		bad = append(bad, "limits: a limit in bytes is below 1")
	}
	if s.BalancerDelay < 0 {
		bad = append(bad, "balancer-delay is negative")
	}
	return bad
}

func (l Listener) check(name string) []string {
	var bad []string
	if _, _, err := net.SplitHostPort(l.Address); err != nil {
		bad = append(bad, fmt.Sprintf("%s.address %q: give host:port", name, l.Address))
	}
	if (l.TLS.CertificateFile == "") != (l.TLS.KeyFile == "") {
		bad = append(bad, name+".tls: give both certificate and key, or neither")
	}
	return bad
}

// ServerConfig returns the TLS configuration of a listener, nil without TLS. With an
// authority, clients must show a certificate that it signed.
func (t TLS) ServerConfig() (*tls.Config, error) {
	if t.CertificateFile == "" {
		return nil, nil
	}
	c, err := t.load()
	if err != nil {
		return nil, err
	}
	if t.CAFile != "" {
		c.ClientCAs = c.RootCAs
		c.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return c, nil
}

// ClientConfig returns the TLS configuration of a dialer, nil without TLS.
func (t TLS) ClientConfig() (*tls.Config, error) {
	if t.CAFile == "" {
		return nil, nil
	}
	return t.load()
}

func (t TLS) load() (*tls.Config, error) {
	c := &tls.Config{MinVersion: tls.VersionTLS13}
	if t.CertificateFile != "" {
		pair, err := tls.LoadX509KeyPair(t.CertificateFile, t.KeyFile)
		if err != nil {
			return nil, failer.Wrap("load certificate", KindRead, err)
		}
		c.Certificates = []tls.Certificate{pair}
	}
	if t.CAFile == "" {
		return c, nil
	}
	b, err := os.ReadFile(t.CAFile)
	if err != nil {
		return nil, failer.Wrap("load authority", KindRead, err)
	}
	c.RootCAs = x509.NewCertPool()
	if !c.RootCAs.AppendCertsFromPEM(b) {
		return nil, failer.New("load authority", KindInvalid, "no certificate in "+t.CAFile)
	}
	return c, nil
}
