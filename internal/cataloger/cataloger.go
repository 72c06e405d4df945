// Package cataloger holds what operators configured on the platform: routes,
// services, limits and the workspaces with their keys. A Catalog is immutable
// and indexed for the path of a request; a change replaces it whole.
package cataloger

import (
	"crypto/sha256"
	"fmt"
	"sort"
	"strings"
	"time"

	"papayapaddle/internal/failer"
)

// Kind classifies the errors of this package.
type Kind string

// KindInvalid marks a configuration that contradicts itself.
const KindInvalid Kind = "invalid configuration"

// Error is the error type of this package.
type Error = failer.Error[Kind]

// Work says what may be repeated of a request.
type Work string

// The kinds of work.
const (
	// WorkIdempotent may run more than once.
	WorkIdempotent Work = "idempotent"
	// WorkOnce runs at most once.
	WorkOnce Work = "non-idempotent"
	// WorkStream is answered by a stream of events. It runs at most once unless
	// its route is resumable.
	WorkStream Work = "stream"
)

// Target is a service that a route leads to, with its share of the requests.
type Target struct {
	Service string
	Weight  float64
}

// Route tells how requests for one host and path prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Work   Work
	// Timeout is how long a caller may be kept waiting for the whole answer.
	Timeout time.Duration
	// Objective is the time to the answer, or to the first event of a stream,
	// within which the answer is of full use.
	Objective time.Duration
	// MaxGap is the longest pause between two events of a stream.
	MaxGap time.Duration
	// Urgency ranks the route; 0 is the most urgent.
	Urgency int
	Targets []Target
	// MaxServers bounds the servers that one request may be sent to.
	MaxServers int
	// Public routes need no key.
	Public bool
	// Affine routes carry prompts whose parts the engines keep.
	Affine bool
	// Resumable streams may be taken up at another server.
	Resumable bool
}

// Repeatable says whether a request may be sent again after it may have run.
func (r *Route) Repeatable() bool {
	return r.Work == WorkIdempotent || r.Work == WorkStream && r.Resumable
}

// Leads says whether the route may lead to the service.
func (r *Route) Leads(service string) bool {
	for _, t := range r.Targets {
		if t.Service == service && t.Weight > 0 {
			return true
		}
	}
	return false
}

// Pick returns the service for a point in [0,1) of the targets' weights.
func (r *Route) Pick(point float64) string {
	sum := 0.0
	for _, t := range r.Targets {
		sum += t.Weight
	}
	point *= sum
	for _, t := range r.Targets {
		if point < t.Weight {
			return t.Service
		}
		point -= t.Weight
	}
	if n := len(r.Targets); n > 0 {
		return r.Targets[n-1].Service
	}
	return ""
}

// Engine describes the model servers of a service.
type Engine struct {
	// Slots is the number of requests that are processed at the same time.
	Slots int
	// MemoryTokens is the size of the memory for prompts and answers.
	MemoryTokens int
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name string
	// MaxConnections is what one server accepts from all callers together.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Workspace shares the capacity. Its keys are kept as hashes only.
type Workspace struct {
	Name    string
	Urgency int
	Keys    []KeyHash
}

// KeyHash is the hash of a caller's key.
type KeyHash [sha256.Size]byte

// HashKey returns the hash under which a key is kept.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Limits bounds what callers may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
	// TokensPerSecond is what the engines of all servers produce together.
	TokensPerSecond float64
}

// Catalog is one version of the configuration. Use New to index it.
type Catalog struct {
	Version    uint64
	Routes     []*Route
	Services   map[string]*Service
	Workspaces []*Workspace
	Limits     Limits
	// Keyed says that routes that are not public need a key.
	Keyed bool

	byHost map[string][]*Route
	byKey  map[KeyHash]*Workspace
}

// New checks and indexes a catalog.
func New(c Catalog) (*Catalog, error) {
	c.byHost = map[string][]*Route{}
	c.byKey = map[KeyHash]*Workspace{}
	for _, r := range c.Routes {
		if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
			return nil, failer.New("index", KindInvalid, fmt.Sprintf("route %s: prefix %q does not begin and end with a slash", r.Name, r.Prefix))
		}
		for _, t := range r.Targets {
			if c.Services[t.Service] == nil {
				return nil, failer.New("index", KindInvalid, fmt.Sprintf("route %s: service %q is not configured", r.Name, t.Service))
			}
		}
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, rs := range c.byHost {
		sort.SliceStable(rs, func(i, j int) bool { return len(rs[i].Prefix) > len(rs[j].Prefix) })
	}
	for _, w := range c.Workspaces {
		for _, k := range w.Keys {
			if other := c.byKey[k]; other != nil && other != w {
				return nil, failer.New("index", KindInvalid, fmt.Sprintf("workspaces %s and %s share a key", w.Name, other.Name))
			}
			c.byKey[k] = w
		}
	}
	return &c, nil
}

// Route returns the route with the longest prefix for a host, which may carry a
// port, and an escaped path, or nil.
func (c *Catalog) Route(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Workspace returns the workspace that holds the key, or nil.
func (c *Catalog) Workspace(key string) *Workspace {
	if key == "" {
		return nil
	}
	return c.byKey[HashKey(key)]
}

// Server is one incarnation of a backend server.
type Server struct {
	ID      string
	Service string
	Address string
	// AvailabilityZone is where it runs.
	AvailabilityZone string
	Slots            int
	// Leaving servers get no new work.
	Leaving bool
	// Born is the wall clock of its start in Unix milliseconds, 0 if unknown.
	Born int64
}

// Same says whether two entries speak of one incarnation at one address.
func (s *Server) Same(o *Server) bool {
	return s.ID == o.ID && s.Address == o.Address && s.Born == o.Born
}
