package emulator

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"papayapaddle/internal/connector"
	"papayapaddle/internal/declarer"
)

// Plan describes the stand-ins of one deployment.
type Plan struct {
	Zones   []string
	Engines int
	Slots   int
	// BurstSlots is declared for the engines.
	BurstSlots int
	Services   int
	// ServiceSlots is the number of concurrent calls of one plain service.
	ServiceSlots int
	Speed        EngineSpeed
	ServiceWork  time.Duration
	Seed         uint64
	ListLag      time.Duration
	// Port is the first of consecutive ports; 0 takes free ones.
	Port int
}

// The names that a deployment of stand-ins declares.
const (
	PoolModels   = "models"
	PoolBookings = "bookings"
	ModelName    = "papaya-chat"
	ServiceName  = "booking"
)

// DefaultSpeed is about 100 tokens a second for each stream of four.
var DefaultSpeed = EngineSpeed{
	TokenEvery: 10 * time.Millisecond, FullBatch: 4, PrefillPerToken: 50 * time.Microsecond,
	ChunkTokens: 5, CacheBlocks: 4096,
}

// Host runs the stand-ins of one deployment on loopback.
type Host struct {
	Platform *Platform
	Engines  []*Engine
	Services []*Service
	Ledger   *Ledger
	// Servers are the backend servers as they are declared.
	Servers []declarer.BackendServer
	// PlatformURL is the base URL of the platform.
	PlatformURL     string
	PlatformAddress string

	plan    Plan
	servers []*http.Server
}

// StartHost starts all stand-ins; an error stops what was started.
func StartHost(p Plan) (*Host, error) {
	h := &Host{plan: p, Platform: NewPlatform(p.Seed), Ledger: &Ledger{}}
	h.Platform.ListLag = p.ListLag
	address, err := h.serve(h.Platform)
	if err != nil {
		return nil, err
	}
	h.PlatformAddress = address
	h.PlatformURL = "http://" + address
	for i := range p.Engines {
		e := NewEngine(fmt.Sprintf("engine-%02d", i+1), p.Seed+uint64(i)+1, p.Speed)
		h.Engines = append(h.Engines, e)
		if err := h.declare(e.Name, PoolModels, i, p.Slots, e); err != nil {
			return nil, err
		}
	}
	for i := range p.Services {
		s := NewService(fmt.Sprintf("booking-%d", i+1), p.Seed+uint64(i)+1001, h.Ledger)
		s.Work = p.ServiceWork
		h.Services = append(h.Services, s)
		if err := h.declare(s.Name, PoolBookings, i, p.ServiceSlots, s); err != nil {
			return nil, err
		}
	}
	return h, nil
}

func (h *Host) declare(name, pool string, i, slots int, handler http.Handler) error {
	address, err := h.serve(handler)
	if err != nil {
		return err
	}
	zone := h.plan.Zones[i%len(h.plan.Zones)]
	s := declarer.BackendServer{Name: name, Pool: pool, Address: address, AvailabilityZone: zone, Slots: slots}
	if pool == PoolModels {
		s.BurstSlots = h.plan.BurstSlots
	}
	if pool == PoolBookings {
		s.NotRunStatuses = []int{http.StatusTooManyRequests}
	}
	h.Servers = append(h.Servers, s)
	h.Platform.SetInstance(connector.Instance{
		Name: name, Role: connector.RoleBackendServer, Address: address, AvailabilityZone: zone,
		Incarnation: 1, State: connector.StateLive,
	})
	return nil
}

func (h *Host) serve(handler http.Handler) (string, error) {
	address := "127.0.0.1:0"
	if h.plan.Port > 0 {
		address = fmt.Sprintf("127.0.0.1:%d", h.plan.Port+len(h.servers))
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		h.Close()
		return "", err
	}
	s := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	h.servers = append(h.servers, s)
	go s.Serve(l)
	return l.Addr().String(), nil
}

// AddRouter lists a router by the address of its peer listener.
func (h *Host) AddRouter(name, address, zone string) {
	h.Platform.SetInstance(connector.Instance{
		Name: name, Role: connector.RoleRouter, Address: address, AvailabilityZone: zone,
		Incarnation: 1, State: connector.StateLive,
	})
}

// Close stops all stand-ins.
func (h *Host) Close() {
	for _, s := range h.servers {
		s.Close()
	}
}

// Declarations returns the sample declarations for the stand-ins, with the
// given workspaces.
func (h *Host) Declarations(workspaces []declarer.Workspace) declarer.File {
	return declarer.File{
		Workspaces: workspaces,
		Pools: []declarer.Pool{
			{Name: PoolModels, Type: declarer.PoolModel, Models: []string{ModelName}},
			{Name: PoolBookings, Type: declarer.PoolService, Service: ServiceName},
		},
		WorkKinds: []declarer.WorkKind{
			{
				Name: "chat", Pool: PoolModels, Path: "/v1/chat/completions", Urgency: declarer.UrgencyHigh,
				Idempotent: true, Timeout: declarer.Duration(time.Minute), CostHint: 200,
			},
			{
				Name: "review", Pool: PoolModels, Path: "/v1/completions", Urgency: declarer.UrgencyLow,
				Idempotent: true, Timeout: declarer.Duration(10 * time.Minute), CostHint: 800,
			},
			{
				Name: "summary", Pool: PoolModels, Urgency: declarer.UrgencyNormal,
				Idempotent: true, Timeout: declarer.Duration(2 * time.Minute), CostHint: 100,
			},
			{
				Name: "status", Pool: PoolBookings, Methods: []string{http.MethodGet, http.MethodHead},
				Urgency: declarer.UrgencyHigh, Idempotent: true, Timeout: declarer.Duration(10 * time.Second), CostHint: 20,
			},
			{
				Name: "reserve", Pool: PoolBookings, Urgency: declarer.UrgencyNormal,
				Timeout: declarer.Duration(15 * time.Second), CostHint: 20,
			},
		},
		BackendServers: h.Servers,
	}
}
