// Package cataloger holds the configuration that operators set on the platform:
// routes, services, limits, and workspaces with their API keys. A Catalog is
// immutable and indexed for lookups during requests. A new version replaces it.
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

// KindInvalid means that the configuration is inconsistent.
const KindInvalid Kind = "invalid configuration"

// Error is the error type of this package.
type Error = failer.Error[Kind]

// RouteKind classifies routes by whether their requests may be retried.
type RouteKind string

// The kinds of routes.
const (
	// RouteIdempotent requests may run more than once.
	RouteIdempotent RouteKind = "idempotent"
	// RouteNonIdempotent requests run at most once.
	RouteNonIdempotent RouteKind = "non-idempotent"
	// RouteStream requests receive an event stream. They run at most once unless
	// the route is resumable.
	RouteStream RouteKind = "stream"
)

// Target is a service to which a route sends requests, in proportion to Weight.
type Target struct {
	Service string
	Weight  float64
}

// Route configures the requests for one host and path prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Timeout is the time within which the response must be complete.
	Timeout time.Duration
	// LatencyObjective is the target time to the response, or to the first event of
	// a stream. Later responses have less value.
	LatencyObjective time.Duration
	// MaxEventGap is the longest expected time between two events of a stream.
	MaxEventGap time.Duration
	// Urgency is the priority level of the route; 0 is the most urgent.
	Urgency int
	Targets []Target
	// MaxAttempts bounds the number of servers to which one request is sent.
	MaxAttempts int
	// Public routes need no API key.
	Public bool
	// PromptAffinity means that requests carry prompts whose parts the engines
	// cache.
	PromptAffinity bool
	// Resumable streams may be continued by another server.
	Resumable bool
}

// Retryable reports whether a request may be retried after it may have run.
func (r *Route) Retryable() bool {
	return r.Kind == RouteIdempotent || r.Kind == RouteStream && r.Resumable
}

// LeadsTo reports whether the route sends requests to the service.
func (r *Route) LeadsTo(service string) bool {
	for _, t := range r.Targets {
		if t.Service == service && t.Weight > 0 {
			return true
		}
	}
	return false
}

// PickService returns a service by weight. point is in [0,1) and selects a position
// in the cumulative weights of the targets.
func (r *Route) PickService(point float64) string {
	totalWeight := 0.0
	for _, t := range r.Targets {
		totalWeight += t.Weight
	}
	point *= totalWeight
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

// Engine configures the model servers of a service.
type Engine struct {
	// Slots is the number of requests that a server processes concurrently.
	Slots int
	// MemoryTokens is the capacity of the KV cache in tokens.
	MemoryTokens int
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name string
	// MaxConnections is the number of connections that one server accepts from all
	// clients together.
	MaxConnections int
	// HealthPath is the target of health requests; empty if the servers serve none.
	HealthPath string
	// Engine is nil for services that are not model servers.
	Engine *Engine
	// ColdPerSecond is the number of requests a second that a server tolerates from all routers together while it is
	// cold, or 0 if its servers have no such limit. A server that starts during traffic is cold for ColdStart.
	ColdPerSecond float64
	ColdStart     time.Duration
}

// Workspace is a customer that shares the capacity with others. Only hashes of its
// API keys are stored.
type Workspace struct {
	Name    string
	Urgency int
	Keys    []KeyHash
}

// KeyHash is the SHA-256 hash of an API key.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of an API key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Limits bounds the requests of callers.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
	// TokensPerSecond is the total token rate of the engines of all servers.
	TokensPerSecond float64
}

// Catalog is one version of the configuration. Use New to create one.
type Catalog struct {
	Version    uint64
	Routes     []*Route
	Services   map[string]*Service
	Workspaces []*Workspace
	Limits     Limits
	// KeysRequired means that routes that are not public need an API key.
	KeysRequired bool

	routesByHost    map[string][]*Route
	workspacesByKey map[KeyHash]*Workspace
}

// New validates a catalog and builds its indexes.
func New(c Catalog) (*Catalog, error) {
	c.routesByHost = map[string][]*Route{}
	c.workspacesByKey = map[KeyHash]*Workspace{}
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
		c.routesByHost[host] = append(c.routesByHost[host], r)
	}
	for _, routes := range c.routesByHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for _, w := range c.Workspaces {
		for _, k := range w.Keys {
			if other := c.workspacesByKey[k]; other != nil && other != w {
				return nil, failer.New("index", KindInvalid, fmt.Sprintf("workspaces %s and %s share a key", w.Name, other.Name))
			}
			c.workspacesByKey[k] = w
		}
	}
	return &c, nil
}

// MatchRoute returns the route with the longest prefix that matches the host and
// the escaped path, or nil. The host may include a port.
func (c *Catalog) MatchRoute(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, r := range c.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// WorkspaceByKey returns the workspace with the API key, or nil.
func (c *Catalog) WorkspaceByKey(key string) *Workspace {
	if key == "" {
		return nil
	}
	return c.workspacesByKey[HashKey(key)]
}

// Server is one incarnation of a backend server.
type Server struct {
	ID               string
	Service          string
	Address          string
	AvailabilityZone string
	Slots            int
	// Draining servers receive no new requests.
	Draining bool
	// StartedUnixMilli is the start time in Unix milliseconds, or 0 if unknown.
	StartedUnixMilli int64
	// Release identifies the software and the weights of the server; empty if unknown.
	Release string
	// ColdRemaining is how much longer the server stays cold, as of the writing of its entry, 0 if it is not. Entry is
	// the store version of the entry.
	ColdRemaining time.Duration
	Entry         uint64
}

// SameIncarnation reports whether two entries describe the same incarnation of a
// server at the same address.
func (s *Server) SameIncarnation(other *Server) bool {
	return s.ID == other.ID && s.Address == other.Address && s.StartedUnixMilli == other.StartedUnixMilli
}
