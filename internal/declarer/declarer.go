// Package declarer holds the fleet's declarations: workspaces, kinds of work,
// pools and backend servers. Declarations are rows, so that one changed
// workspace among many costs one small change.
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

// Section names a type of declaration; it is the first part of a row's key.
type Section string

// The sections of a declaration directory.
const (
	SectionWorkspaces     Section = "workspaces"
	SectionPools          Section = "pools"
	SectionWorkKinds      Section = "kinds"
	SectionBackendServers Section = "backend-servers"
)

// PoolType tells model engines from plain services.
type PoolType string

// The types of pool.
const (
	PoolModel   PoolType = "model"
	PoolService PoolType = "service"
)

// Urgency orders the work inside one workspace.
type Urgency string

// The urgencies, least urgent first.
const (
	UrgencyLow    Urgency = "low"
	UrgencyNormal Urgency = "normal"
	UrgencyHigh   Urgency = "high"
)

// Level returns 0 for the least urgent; an empty urgency is normal.
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

// Limits of single declarations.
const (
	// MaxWeight bounds the ratio between the shares of two workspaces.
	MaxWeight = 1000.0
	// MaxSlots is the largest number of concurrent requests of one server.
	MaxSlots = 1024
	// DefaultTimeout is the time that a request may take where its kind
	// declares none.
	DefaultTimeout = 60 * time.Second
	// MaxTimeout is the longest time that a kind may declare.
	MaxTimeout = time.Hour
)

// Workspace is one customer that shares the capacity.
type Workspace struct {
	Name string `yaml:"name" json:"name"`
	// Weight is the share relative to other workspaces.
	Weight float64 `yaml:"weight" json:"weight"`
	// KeyHashes are hex SHA-256 hashes of bearer keys; keys are never stored.
	KeyHashes []string `yaml:"key-hashes" json:"key-hashes"`
	// KindHeader allows the workspace to name the kind of a request itself.
	KindHeader bool `yaml:"kind-header,omitempty" json:"kind-header,omitempty"`
}

// Pool is a set of interchangeable backend servers.
type Pool struct {
	Name string   `yaml:"name" json:"name"`
	Type PoolType `yaml:"type" json:"type"`
	// Models are the model names that the pool's servers answer to.
	Models []string `yaml:"models,omitempty" json:"models,omitempty"`
	// Service is the path segment under /services/ of a plain service.
	Service string `yaml:"service,omitempty" json:"service,omitempty"`
}

// WorkKind declares how one kind of work is treated.
type WorkKind struct {
	Name string `yaml:"name" json:"name"`
	Pool string `yaml:"pool" json:"pool"`
	// Methods limits the kind to these HTTP methods; empty means all.
	Methods []string `yaml:"methods,omitempty" json:"methods,omitempty"`
	// Path limits the kind to paths with this prefix, below the service's own.
	Path string `yaml:"path,omitempty" json:"path,omitempty"`
	// Model limits the kind to one model.
	Model   string  `yaml:"model,omitempty" json:"model,omitempty"`
	Urgency Urgency `yaml:"urgency" json:"urgency"`
	// Idempotent work may be retried; all other work is dispatched once.
	Idempotent bool `yaml:"idempotent" json:"idempotent"`
	// Timeout is turned into a deadline when a request is accepted.
	Timeout Duration `yaml:"timeout,omitempty" json:"timeout,omitempty"`
	// CostHint is a rough cost: tokens, or milliseconds of a plain service.
	CostHint float64 `yaml:"cost-hint,omitempty" json:"cost-hint,omitempty"`
}

// BackendServer is one instance behind the routers.
type BackendServer struct {
	Name             string `yaml:"name" json:"name"`
	Pool             string `yaml:"pool" json:"pool"`
	Address          string `yaml:"address" json:"address"`
	AvailabilityZone string `yaml:"availability-zone" json:"availability-zone"`
	// Slots is the most concurrent requests that the server is given.
	Slots int `yaml:"slots" json:"slots"`
	// BurstSlots may be granted beyond Slots to a workspace that holds less than
	// another, so that it does not wait for a flood's requests to end. The engine
	// slows down in proportion meanwhile.
	BurstSlots int `yaml:"burst-slots,omitempty" json:"burst-slots,omitempty"`
	// ChecksFencing says that the server refuses an old fencing number.
	ChecksFencing bool `yaml:"checks-fencing,omitempty" json:"checks-fencing,omitempty"`
	// NotRunStatuses are the HTTP statuses by which the server states that it
	// did not run a request.
	NotRunStatuses []int `yaml:"not-run-statuses,omitempty" json:"not-run-statuses,omitempty"`
}

// Duration is a time.Duration that is written like "30s".
type Duration time.Duration

// MarshalText writes the duration in Go's notation.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText reads a duration with a unit.
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

// Validate returns what is wrong with the workspace taken alone.
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

// Validate returns what is wrong with the pool taken alone.
func (p *Pool) Validate() []string {
	problems := validateName(p.Name)
	switch p.Type {
	case PoolModel:
		if len(p.Models) == 0 {
			problems = append(problems, "models is empty: a model pool names at least one model")
		}
		if p.Service != "" {
			problems = append(problems, "service is set: only a pool of type service has one")
		}
	case PoolService:
		if p.Service == "" {
			problems = append(problems, "service is empty: name the path segment under /services/")
		}
		if len(p.Models) > 0 {
			problems = append(problems, "models is set: only a pool of type model has them")
		}
	default:
		problems = append(problems, fmt.Sprintf("type %q: use model or service", p.Type))
	}
	return problems
}

// Validate returns what is wrong with the kind of work taken alone.
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
		problems = append(problems, "cost-hint is negative")
	}
	if k.Path != "" && !strings.HasPrefix(k.Path, "/") {
		problems = append(problems, fmt.Sprintf("path %q: start it with a slash", k.Path))
	}
	return problems
}

// Validate returns what is wrong with the backend server taken alone.
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

// HashAPIKey returns the hash by which a bearer key is declared.
func HashAPIKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
