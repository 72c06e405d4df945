// Package configurer reads the settings of one router process from a YAML file. Package declarer
// reads the declarations that all routers share.
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

// Kinds of errors.
const (
	KindInvalid Kind = "invalid settings"
	KindRead    Kind = "cannot read"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

// Settings are the settings of one router process.
type Settings struct {
	// Name is the name of the router in the platform's list of instances.
	Name             string `yaml:"name"`
	AvailabilityZone string `yaml:"availability-zone"`
	// Callers, Operators and Peers are the listeners for callers, operators and other routers.
	Callers   Listener `yaml:"callers"`
	Operators Listener `yaml:"operators"`
	Peers     Listener `yaml:"peers"`
	// PlatformURL is the base URL of the platform's services.
	PlatformURL string `yaml:"platform"`
	PlatformTLS TLS    `yaml:"platform-tls,omitempty"`
	// OperatorToken is the token that requests to the operators' listener must present.
	OperatorToken string `yaml:"operator-token"`
	Limits        Limits `yaml:"limits,omitempty"`
	// BalancerDelay is the maximum time until the load balancer stops sending connections to a
	// router that is not ready.
	BalancerDelay declarer.Duration `yaml:"balancer-delay,omitempty"`
}

// Listener is an address to listen on and its TLS settings.
type Listener struct {
	Address string `yaml:"address"`
	TLS     TLS    `yaml:"tls,omitempty"`
}

// TLS holds the paths of PEM files. The zero value means no TLS.
type TLS struct {
	CertificateFile string `yaml:"certificate,omitempty"`
	KeyFile         string `yaml:"key,omitempty"`
	// CAFile contains the certificate authorities that the peer's certificate is verified against.
	CAFile string `yaml:"authority,omitempty"`
}

// Limits are the limits on requests that a router holds. Zero means the default.
type Limits struct {
	WaitingRequests int `yaml:"waiting-requests,omitempty"`
	WaitingBytes    int `yaml:"waiting-bytes,omitempty"`
	BodyBytes       int `yaml:"body-bytes,omitempty"`
}

// Defaults and bounds of settings.
const (
	DefaultWaitingRequests = 1024
	DefaultWaitingBytes    = 64 << 20
	DefaultBodyBytes       = 1 << 20
	DefaultBalancerDelay   = 5 * time.Second
	maxWaitingRequests     = 1_000_000
)

// Load reads and validates a settings file.
func Load(path string) (Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, failer.Wrap("load settings", KindRead, err)
	}
	return Parse(path, b)
}

// Parse decodes and validates settings. The error lists all invalid settings.
func Parse(name string, b []byte) (Settings, error) {
	var s Settings
	d := yaml.NewDecoder(bytes.NewReader(b))
	d.KnownFields(true)
	if err := d.Decode(&s); err != nil && !errors.Is(err, io.EOF) {
		return Settings{}, failer.Wrap("load settings "+name, KindInvalid, err)
	}
	s.setDefaults()
	if problems := s.Validate(); len(problems) > 0 {
		return Settings{}, failer.New("load settings "+name, KindInvalid, strings.Join(problems, "; "))
	}
	return s, nil
}

func (s *Settings) setDefaults() {
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

// Validate returns a message for each invalid setting.
func (s *Settings) Validate() []string {
	var problems []string
	if s.Name == "" {
		problems = append(problems, "name is empty: set it to the name of this router in the platform's list of instances")
	}
	if s.AvailabilityZone == "" {
		problems = append(problems, "availability-zone is empty")
	}
	problems = append(problems, s.Callers.validate("callers")...)
	problems = append(problems, s.Operators.validate("operators")...)
	problems = append(problems, s.Peers.validate("peers")...)
	if !strings.HasPrefix(s.PlatformURL, "http://") && !strings.HasPrefix(s.PlatformURL, "https://") {
		problems = append(problems, fmt.Sprintf("platform %q: must be a URL that starts with http:// or https://", s.PlatformURL))
	}
	if s.OperatorToken == "" {
		problems = append(problems, "operator-token is empty: it is required for the operators' listener")
	}
	if s.Limits.WaitingRequests < 1 || s.Limits.WaitingRequests > maxWaitingRequests {
		problems = append(problems, fmt.Sprintf("limits.waiting-requests %d: must be from 1 to %d", s.Limits.WaitingRequests, maxWaitingRequests))
	}
	if s.Limits.WaitingBytes < 1 || s.Limits.BodyBytes < 1 {
		problems = append(problems, "limits: waiting-bytes and body-bytes must be at least 1")
	}
	if s.BalancerDelay < 0 {
		problems = append(problems, "balancer-delay is negative")
	}
	return problems
}

func (l Listener) validate(name string) []string {
	var problems []string
	if _, _, err := net.SplitHostPort(l.Address); err != nil {
		problems = append(problems, fmt.Sprintf("%s.address %q: must be host:port", name, l.Address))
	}
	if (l.TLS.CertificateFile == "") != (l.TLS.KeyFile == "") {
		problems = append(problems, name+".tls: certificate and key must be set together")
	}
	return problems
}

// ServerConfig returns the TLS configuration of a listener, or nil without a certificate. If CAFile
// is set, clients must present a certificate signed by one of its authorities.
func (t TLS) ServerConfig() (*tls.Config, error) {
	if t.CertificateFile == "" {
		return nil, nil
	}
	config, err := t.loadConfig()
	if err != nil {
		return nil, err
	}
	if t.CAFile != "" {
		config.ClientCAs = config.RootCAs
		config.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return config, nil
}

// ClientConfig returns the TLS configuration of a client, or nil if CAFile is empty.
func (t TLS) ClientConfig() (*tls.Config, error) {
	if t.CAFile == "" {
		return nil, nil
	}
	return t.loadConfig()
}

func (t TLS) loadConfig() (*tls.Config, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS13}
	if t.CertificateFile != "" {
		certificate, err := tls.LoadX509KeyPair(t.CertificateFile, t.KeyFile)
		if err != nil {
			return nil, failer.Wrap("load certificate", KindRead, err)
		}
		config.Certificates = []tls.Certificate{certificate}
	}
	if t.CAFile == "" {
		return config, nil
	}
	b, err := os.ReadFile(t.CAFile)
	if err != nil {
		return nil, failer.Wrap("load certificate authority", KindRead, err)
	}
	config.RootCAs = x509.NewCertPool()
	if !config.RootCAs.AppendCertsFromPEM(b) {
		return nil, failer.New("load certificate authority", KindInvalid, "no PEM certificate in "+t.CAFile)
	}
	return config, nil
}
