package emulator

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"papayapaddle/internal/connector"
	"papayapaddle/internal/declarer"
)

// Config configures a cluster.
type Config struct {
	Zones       []string
	EngineCount int
	EngineSlots int
	// EngineBurstSlots is the number of burst slots that the engines declare.
	EngineBurstSlots int
	ServiceCount     int
	// ServiceSlots is the declared number of concurrent calls of one plain service.
	ServiceSlots int
	EngineConfig EngineConfig
	ServiceTime  time.Duration
	Seed         uint64
	ListDelay    time.Duration
	// FirstPort is the first of consecutive ports. Zero uses any free ports.
	FirstPort int
}

// Names in the declarations of a cluster.
const (
	ModelPoolName   = "models"
	BookingPoolName = "bookings"
	ModelName       = "papaya-chat"
	ServiceName     = "booking"
)

// DefaultEngineConfig generates about 100 tokens per second in each of up to four streams.
var DefaultEngineConfig = EngineConfig{
	TokenInterval: 10 * time.Millisecond, FullSpeedBatch: 4, PrefillPerToken: 50 * time.Microsecond,
	TokensPerEvent: 5, MaxCacheBlocks: 4096,
}

// Cluster runs an emulated platform and emulated backend servers on loopback.
type Cluster struct {
	Platform   *Platform
	Engines    []*Engine
	Services   []*Service
	Executions *ExecutionLog
	// BackendServers are the declarations of the backend servers.
	BackendServers  []declarer.BackendServer
	PlatformURL     string
	PlatformAddress string

	config      Config
	httpServers []*http.Server
}

// StartCluster starts a cluster. If it fails, it stops the servers that it has started.
func StartCluster(config Config) (*Cluster, error) {
	c := &Cluster{config: config, Platform: NewPlatform(config.Seed), Executions: &ExecutionLog{}}
	c.Platform.ListDelay = config.ListDelay
	address, err := c.listenAndServe(c.Platform)
	if err != nil {
		return nil, err
	}
	c.PlatformAddress = address
	c.PlatformURL = "http://" + address
	for i := range config.EngineCount {
		engine := NewEngine(
			fmt.Sprintf("engine-%02d", i+1), config.Seed+uint64(i)+1, config.EngineConfig)
		c.Engines = append(c.Engines, engine)
		if err := c.startBackendServer(
			engine.Name, ModelPoolName, i, config.EngineSlots, engine,
		); err != nil {
			return nil, err
		}
	}
	for i := range config.ServiceCount {
		service := NewService(fmt.Sprintf("booking-%d", i+1), config.Seed+uint64(i)+1001, c.Executions)
		service.ServiceTime = config.ServiceTime
		c.Services = append(c.Services, service)
		if err := c.startBackendServer(
			service.Name, BookingPoolName, i, config.ServiceSlots, service,
		); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// startBackendServer serves the handler, declares it as a backend server and adds it to the
// platform's list of instances. The index selects the availability zone.
func (c *Cluster) startBackendServer(
	name, pool string, index, slots int, handler http.Handler,
) error {
	address, err := c.listenAndServe(handler)
	if err != nil {
		return err
	}
	zone := c.config.Zones[index%len(c.config.Zones)]
	server := declarer.BackendServer{
		Name: name, Pool: pool, Address: address, AvailabilityZone: zone, Slots: slots,
	}
	if pool == ModelPoolName {
		server.BurstSlots = c.config.EngineBurstSlots
	}
	if pool == BookingPoolName {
		server.NotRunStatuses = []int{http.StatusTooManyRequests}
	}
	c.BackendServers = append(c.BackendServers, server)
	c.Platform.SetInstance(connector.Instance{
		Name: name, Role: connector.RoleBackendServer, Address: address, AvailabilityZone: zone,
		Incarnation: 1, State: connector.StateLive,
	})
	return nil
}

func (c *Cluster) listenAndServe(handler http.Handler) (string, error) {
	address := "127.0.0.1:0"
	if c.config.FirstPort > 0 {
		address = fmt.Sprintf("127.0.0.1:%d", c.config.FirstPort+len(c.httpServers))
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		c.Close()
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	c.httpServers = append(c.httpServers, server)
	go server.Serve(listener)
	return listener.Addr().String(), nil
}

// AddRouter adds a router to the platform's list of instances. The address is that of its peer
// listener.
func (c *Cluster) AddRouter(name, address, zone string) {
	c.Platform.SetInstance(connector.Instance{
		Name: name, Role: connector.RoleRouter, Address: address, AvailabilityZone: zone,
		Incarnation: 1, State: connector.StateLive,
	})
}

// Close stops all servers.
func (c *Cluster) Close() {
	for _, server := range c.httpServers {
		server.Close()
	}
}

// Declarations returns sample declarations for the cluster and the given workspaces.
func (c *Cluster) Declarations(workspaces []declarer.Workspace) declarer.File {
	return declarer.File{
		Workspaces: workspaces,
		Pools: []declarer.Pool{
			{Name: ModelPoolName, Type: declarer.PoolModel, Models: []string{ModelName}},
			{Name: BookingPoolName, Type: declarer.PoolService, Service: ServiceName},
		},
		WorkKinds: []declarer.WorkKind{
			{
				Name: "chat", Pool: ModelPoolName, Path: "/v1/chat/completions", Urgency: declarer.UrgencyHigh,
				Idempotent: true, Timeout: declarer.Duration(time.Minute), CostHint: 200,
			},
			{
				Name: "review", Pool: ModelPoolName, Path: "/v1/completions", Urgency: declarer.UrgencyLow,
				Idempotent: true, Timeout: declarer.Duration(10 * time.Minute), CostHint: 800,
			},
			{
				Name: "summary", Pool: ModelPoolName, Urgency: declarer.UrgencyNormal,
				Idempotent: true, Timeout: declarer.Duration(2 * time.Minute), CostHint: 100,
			},
			{
				Name: "status", Pool: BookingPoolName, Methods: []string{http.MethodGet, http.MethodHead},
				Urgency: declarer.UrgencyHigh, Idempotent: true,
				Timeout: declarer.Duration(10 * time.Second), CostHint: 20,
			},
			{
				Name: "reserve", Pool: BookingPoolName, Urgency: declarer.UrgencyNormal,
				Timeout: declarer.Duration(15 * time.Second), CostHint: 20,
			},
		},
		BackendServers: c.BackendServers,
	}
}
