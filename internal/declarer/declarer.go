// Package declarer defines the declarations of the fleet: workspaces, work kinds, pools and backend
// servers. Each declaration is a row of its own, so that changing one of many workspaces is a small
// change.
package declarer

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"regexp"
	"strings"
	"time"

	"papayapaddle/internal/failer"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of error.
const (
	KindInvalid Kind = "invalid declaration"
	KindRead    Kind = "cannot read"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

// Section is a type of declaration and the first part of a row's key.
type Section string

// The sections of a declaration directory.
const (
	SectionWorkspaces     Section = "workspaces"
	SectionPools          Section = "pools"
	SectionWorkKinds      Section = "kinds"
	SectionBackendServers Section = "backend-servers"
)

// PoolType distinguishes pools of model engines from pools of plain services.
type PoolType string

// The types of pool.
const (
	PoolModel   PoolType = "model"
	PoolService PoolType = "service"
)

// Urgency prioritizes the requests of one workspace against each other.
type Urgency string

// The urgencies, lowest first.
const (
	UrgencyLow    Urgency = "low"
	UrgencyNormal Urgency = "normal"
	UrgencyHigh   Urgency = "high"
)

// Level returns the urgency as a number, 0 for the lowest. An empty urgency is normal.
func (u Urgency) Level() uint8 {
	switch u {
	case UrgencyLow:
		return 0
	case UrgencyHigh:
		return 2
	default:
		return 1
	}
}

// Limits and defaults of declarations.
const (
	// MaxWeight is the largest weight of a workspace. It limits how far one can outweigh others.
	MaxWeight = 1000.0
	// MaxSlots is the largest number of slots of a backend server.
	MaxSlots = 1024
	// DefaultTimeout is the request timeout if the work kind declares none.
	DefaultTimeout = 60 * time.Second
	// MaxTimeout is the longest timeout that a work kind may declare.
	MaxTimeout = time.Hour
)

// Workspace is a tenant of the fleet.
type Workspace struct {
	Name string `yaml:"name" json:"name"`
	// Weight is the share of the capacity relative to other workspaces.
	Weight float64 `yaml:"weight" json:"weight"`
	// KeyHashes are the hex-encoded SHA-256 hashes of the API keys, which are never stored
	// themselves.
	KeyHashes []string `yaml:"key-hashes" json:"key-hashes"`
	// KindHeader allows callers to select the work kind by a request header.
	KindHeader bool `yaml:"kind-header,omitempty" json:"kind-header,omitempty"`
}

// Pool is a set of interchangeable backend servers.
type Pool struct {
	Name string   `yaml:"name" json:"name"`
	Type PoolType `yaml:"type" json:"type"`
	// Models are the names of the models that the pool serves.
	Models []string `yaml:"models,omitempty" json:"models,omitempty"`
	// Service is the name of a plain service, which is its path segment under /services/.
	Service string `yaml:"service,omitempty" json:"service,omitempty"`
}

// WorkKind declares how matching requests are scheduled.
type WorkKind struct {
	Name string `yaml:"name" json:"name"`
	Pool string `yaml:"pool" json:"pool"`
	// Methods are the HTTP methods to match; empty matches all.
	Methods []string `yaml:"methods,omitempty" json:"methods,omitempty"`
	// Path is the path prefix to match, relative to the path of the service.
	Path string `yaml:"path,omitempty" json:"path,omitempty"`
	// Model is the model to match; empty matches all.
	Model   string  `yaml:"model,omitempty" json:"model,omitempty"`
	Urgency Urgency `yaml:"urgency" json:"urgency"`
	// Idempotent requests may be retried; all others are dispatched at most once.
	Idempotent bool `yaml:"idempotent" json:"idempotent"`
	// Timeout sets the deadline of a request, counted from when it is accepted.
	Timeout Duration `yaml:"timeout,omitempty" json:"timeout,omitempty"`
	// CostHint is an estimate of the cost, in tokens or in milliseconds of a plain service.
	CostHint float64 `yaml:"cost-hint,omitempty" json:"cost-hint,omitempty"`
}

// BackendServer is an instance to which routers forward requests.
type BackendServer struct {
	Name             string `yaml:"name" json:"name"`
	Pool             string `yaml:"pool" json:"pool"`
	Address          string `yaml:"address" json:"address"`
	AvailabilityZone string `yaml:"availability-zone" json:"availability-zone"`
	// Slots is the maximum number of concurrent requests.
	Slots int `yaml:"slots" json:"slots"`
	// BurstSlots are slots beyond Slots, granted to a workspace that holds fewer slots than
	// another, so that it does not wait until requests of an overloading workspace complete.
	// While they are in use, the engine slows down in proportion.
	BurstSlots int `yaml:"burst-slots,omitempty" json:"burst-slots,omitempty"`
	// ChecksFencing reports whether the server rejects requests with an outdated fencing number.
	ChecksFencing bool `yaml:"checks-fencing,omitempty" json:"checks-fencing,omitempty"`
	// NotRunStatuses are the HTTP status codes with which the server reports that it did not run
	// a request.
	NotRunStatuses []int `yaml:"not-run-statuses,omitempty" json:"not-run-statuses,omitempty"`
}

// Duration is a time.Duration that is encoded as text such as "30s".
type Duration time.Duration

// MarshalText encodes the duration in the format of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText decodes a duration in the format of time.ParseDuration.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("%q is no duration; write a number with a unit, for example 30s", b)
	}
	*d = Duration(v)
	return nil
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,62}[a-z0-9])?$`)

func validateName(name string) []string {
	if namePattern.MatchString(name) {
		return nil
	}
	return []string{fmt.Sprintf("name %q: use 1 to 64 lower-case letters, digits, dots and hyphens", name)}
}

// Validate returns the problems of the workspace, without regard to other declarations.
func (w *Workspace) Validate() []string {
	problems := validateName(w.Name)
	if !(w.Weight > 0) || w.Weight > MaxWeight {
		problems = append(problems, fmt.Sprintf("weight %v: give a number above 0 and up to %v", w.Weight, MaxWeight))
	}
	if len(w.KeyHashes) == 0 {
		problems = append(problems, "key-hashes is empty: give the SHA-256 of at least one key")
	}
	for _, h := range w.KeyHashes {
		if b, err := hex.DecodeString(h); err != nil || len(b) != sha256.Size || strings.ToLower(h) != h {
			problems = append(problems, fmt.Sprintf("key hash %q: give 64 lower-case hex digits", h))
		}
	}
	return problems
}

// Validate returns the problems of the pool, without regard to other declarations.
func (p *Pool) Validate() []string {
	problems := validateName(p.Name)
	switch p.Type {
	case PoolModel:
		if len(p.Models) == 0 {
			problems = append(problems, "models is empty: a pool of type model needs at least one model")
		}
		if p.Service != "" {
			problems = append(problems, "service is set: only a pool of type service may set it")
		}
	case PoolService:
		if p.Service == "" {
			problems = append(problems, "service is empty: give the path segment under /services/")
		}
		if len(p.Models) > 0 {
			problems = append(problems, "models is set: only a pool of type model may set it")
		}
	default:
		problems = append(problems, fmt.Sprintf("type %q: use model or service", p.Type))
	}
	return problems
}

// Validate returns the problems of the work kind, without regard to other declarations.
func (k *WorkKind) Validate() []string {
	problems := validateName(k.Name)
	switch k.Urgency {
	case UrgencyLow, UrgencyNormal, UrgencyHigh:
	default:
		problems = append(problems, fmt.Sprintf("urgency %q: use low, normal or high", k.Urgency))
	}
	if k.Timeout < 0 || time.Duration(k.Timeout) > MaxTimeout {
		problems = append(problems, fmt.Sprintf("timeout %v: use 0s to %v", time.Duration(k.Timeout), MaxTimeout))
	}
	if k.CostHint < 0 {
		problems = append(problems, "cost-hint is negative: use 0 or more")
	}
	if k.Path != "" && !strings.HasPrefix(k.Path, "/") {
		problems = append(problems, fmt.Sprintf("path %q: start it with a slash", k.Path))
	}
	return problems
}

// Validate returns the problems of the backend server, without regard to other declarations.
func (s *BackendServer) Validate() []string {
	problems := validateName(s.Name)
	if s.Slots < 1 || s.Slots > MaxSlots {
		problems = append(problems, fmt.Sprintf("slots %d: use 1 to %d", s.Slots, MaxSlots))
	}
	if s.BurstSlots < 0 || s.BurstSlots > s.Slots {
		problems = append(problems, fmt.Sprintf("burst-slots %d: use 0 to the number of slots", s.BurstSlots))
	}
	if !strings.Contains(s.Address, ":") {
		problems = append(problems, fmt.Sprintf("address %q: give host:port", s.Address))
	}
	for _, c := range s.NotRunStatuses {
		if c < 400 || c > 599 {
			problems = append(problems, fmt.Sprintf("not-run status %d: use 400 to 599", c))
		}
	}
	return problems
}

// HashAPIKey returns the hash of an API key as listed in Workspace.KeyHashes.
func HashAPIKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
