// Package demonstrator runs a small deployment on loopback in one process:
// emulated backend servers and platform, and routers with a sample configuration.
// The demo, the experiments and the end-to-end tests use it.
package demonstrator

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"gopkg.in/yaml.v3"

	"papayapaddle/internal/applier"
	"papayapaddle/internal/assembler"
	"papayapaddle/internal/configurer"
	"papayapaddle/internal/connector"
	"papayapaddle/internal/declarer"
	"papayapaddle/internal/emulator"
	"papayapaddle/internal/linker"
)

// OperatorToken is the bearer token of the routers' operator listeners.
const OperatorToken = "demo-operator"

// startStopTimeout bounds the start of a deployment, and a graceful stop of the demo.
const startStopTimeout = 15 * time.Second

// Options configures a deployment.
type Options struct {
	ClusterConfig emulator.Config
	RouterCount   int
	Workspaces    []declarer.Workspace
	Limits        configurer.Limits
	Logger        log.Logger
	// Network emulates delay, loss and partitions of links; nil means plain loopback.
	Network *linker.Network
	// Baseline selects the baseline scheduling policy of assembler.Options.
	Baseline      bool
	BalancerDelay time.Duration
}

// Member is one router of a deployment. StartMember replaces its Router.
type Member struct {
	Name             string
	AvailabilityZone string
	CallerAddress    string
	OperatorAddress  string
	PeerAddress      string
	ControlTraffic   *linker.ByteCounter
	Router           *assembler.Router
}

// URL returns the base URL for callers.
func (m *Member) URL() string { return "http://" + m.CallerAddress }

// Deployment is a running set of routers, backend servers and a platform.
type Deployment struct {
	Cluster *emulator.Cluster
	Members []*Member

	options Options
}

// APIKey returns the API key of a sample workspace.
func APIKey(workspace string) string { return "key-" + workspace }

// SampleWorkspace returns a workspace with the key from APIKey.
func SampleWorkspace(name string, weight float64) declarer.Workspace {
	return declarer.Workspace{Name: name, Weight: weight, KeyHashes: []string{declarer.HashAPIKey(APIKey(name))}, KindHeader: true}
}

// Start starts a deployment and returns when all routers are ready.
func Start(ctx context.Context, o Options) (*Deployment, error) {
	cluster, err := emulator.StartCluster(o.ClusterConfig)
	if err != nil {
		return nil, err
	}
	d := &Deployment{Cluster: cluster, options: o}
	d.registerEndpoints()
	if err := d.applyDeclarations(ctx); err != nil {
		d.Close()
		return nil, err
	}
	for i := range o.RouterCount {
		m, err := d.newMember(i)
		if err != nil {
			d.Close()
			return nil, err
		}
		d.Members = append(d.Members, m)
		cluster.AddRouter(m.Name, m.PeerAddress, m.AvailabilityZone)
	}
	for _, m := range d.Members {
		if err := d.StartMember(ctx, m); err != nil {
			d.Close()
			return nil, err
		}
	}
	return d, d.awaitReady(ctx)
}

// PlatformEndpoint is the name of the platform's endpoint in Options.Network.
const PlatformEndpoint = "platform"

// registerEndpoints registers the backend servers and the platform in Options.Network.
func (d *Deployment) registerEndpoints() {
	n := d.options.Network
	if n == nil {
		return
	}
	for _, s := range d.Cluster.BackendServers {
		n.Register(s.Address, linker.Endpoint{Name: s.Name, AvailabilityZone: s.AvailabilityZone})
	}
	n.Register(d.Cluster.PlatformAddress, linker.Endpoint{Name: PlatformEndpoint, AvailabilityZone: d.options.ClusterConfig.Zones[0]})
}

// applyDeclarations applies the sample declarations the way operators do.
func (d *Deployment) applyDeclarations(ctx context.Context) error {
	encoded, err := yaml.Marshal(d.Cluster.Declarations(d.options.Workspaces))
	if err != nil {
		return err
	}
	target, err := declarer.LoadBytes("sample.yaml", encoded)
	if err != nil {
		return err
	}
	a := applier.Applier{Store: d.Store()}
	base, err := a.ReadLatest(ctx)
	if err != nil {
		return err
	}
	_, err = a.Apply(ctx, base, target)
	return err
}

// DeclarationsYAML returns declarations of an emulated cluster and sample workspaces.
func DeclarationsYAML(cluster *emulator.Cluster, workspaceNames []string) ([]byte, error) {
	var workspaces []declarer.Workspace
	for _, n := range workspaceNames {
		workspaces = append(workspaces, SampleWorkspace(n, 1))
	}
	return yaml.Marshal(cluster.Declarations(workspaces))
}

// Store returns a client of the platform without a call limit.
func (d *Deployment) Store() *connector.Client {
	return &connector.Client{BaseURL: d.Cluster.PlatformURL, HTTP: &http.Client{}}
}

// newMember returns a router that is not started, with unused addresses.
func (d *Deployment) newMember(i int) (*Member, error) {
	m := &Member{
		Name:             fmt.Sprintf("router-%d", i+1),
		AvailabilityZone: d.options.ClusterConfig.Zones[i%len(d.options.ClusterConfig.Zones)],
		ControlTraffic:   &linker.ByteCounter{},
	}
	for _, a := range []*string{&m.CallerAddress, &m.OperatorAddress, &m.PeerAddress} {
		address, err := unusedAddress()
		if err != nil {
			return nil, err
		}
		*a = address
	}
	if d.options.Network != nil {
		d.options.Network.Register(m.PeerAddress, linker.Endpoint{Name: m.Name, AvailabilityZone: m.AvailabilityZone})
	}
	return m, nil
}

// The ports of routers lie below the system's ephemeral range, from which an outgoing
// connection could take a port before the router listens on it.
const (
	firstPort = 20_000
	portCount = 12_000
)

// nextPort cycles through the ports, so that a process reuses one only after all others.
var nextPort atomic.Uint32

func init() { nextPort.Store(rand.Uint32N(portCount)) }

// unusedAddress returns a loopback address that nothing listens on.
func unusedAddress() (string, error) {
	var err error
	for range 100 {
		var l net.Listener
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%portCount)
		if l, err = net.Listen("tcp", address); err == nil {
			return address, l.Close()
		}
	}
	return "", err
}

// StartMember starts a router, or a new one at the addresses of one that ended.
func (d *Deployment) StartMember(ctx context.Context, m *Member) error {
	o := assembler.Options{
		Logger: d.options.Logger, ControlTraffic: m.ControlTraffic, Baseline: d.options.Baseline,
		Settings: configurer.Settings{
			Name: m.Name, AvailabilityZone: m.AvailabilityZone,
			Callers:     configurer.Listener{Address: m.CallerAddress},
			Operators:   configurer.Listener{Address: m.OperatorAddress},
			Peers:       configurer.Listener{Address: m.PeerAddress},
			PlatformURL: d.Cluster.PlatformURL, OperatorToken: OperatorToken, Limits: d.limits(),
			BalancerDelay: declarer.Duration(d.options.BalancerDelay),
		},
	}
	if d.options.Network != nil {
		o.Dial = d.options.Network.Dialer(linker.Endpoint{Name: m.Name, AvailabilityZone: m.AvailabilityZone})
	}
	m.Router = assembler.New(o)
	if err := m.Router.Err(); err != nil {
		return err
	}
	return m.Router.Start(ctx)
}

func (d *Deployment) limits() configurer.Limits {
	l := d.options.Limits
	if l.WaitingRequests == 0 {
		l.WaitingRequests = configurer.DefaultWaitingRequests
	}
	if l.WaitingBytes == 0 {
		l.WaitingBytes = configurer.DefaultWaitingBytes
	}
	if l.BodyBytes == 0 {
		l.BodyBytes = configurer.DefaultBodyBytes
	}
	return l
}

// awaitReady returns when every router is ready and knows all of its peers.
func (d *Deployment) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startStopTimeout)
	defer cancel()
	for _, m := range d.Members {
		for m.Router.CheckReady() != nil || len(m.Router.Dump().View.Peers) < len(d.Members)-1 {
			select {
			case <-ctx.Done():
				return fmt.Errorf("%s did not become ready: %v", m.Name, m.Router.CheckReady())
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	return nil
}

// Close stops all routers and servers immediately.
func (d *Deployment) Close() {
	for _, m := range d.Members {
		if m.Router != nil {
			m.Router.Kill()
		}
	}
	d.Cluster.Close()
}

// Stop stops all routers gracefully, and then the backend servers and platform.
func (d *Deployment) Stop(ctx context.Context) {
	for _, m := range d.Members {
		// Close ends a router that does not stop in time.
		_ = m.Router.Stop(ctx)
	}
	d.Close()
}

// Demo runs a deployment until the context ends and prints how to use it.
func Demo(ctx context.Context, out io.Writer, logger log.Logger) error {
	d, err := Start(ctx, Options{
		ClusterConfig: emulator.Config{
			Zones: []string{"graz-a", "graz-b", "leoben-c"}, EngineCount: 4, EngineSlots: 4, ServiceCount: 3, ServiceSlots: 8,
			EngineConfig: emulator.DefaultEngineConfig, ServiceTime: 20 * time.Millisecond, Seed: 1,
		},
		RouterCount: 2,
		Workspaces:  []declarer.Workspace{SampleWorkspace("solar-quotes", 2), SampleWorkspace("volunteers", 1)},
		Logger:      logger,
	})
	if err != nil {
		return err
	}
	a, b := d.Members[0], d.Members[1]
	fmt.Fprintf(out, demoText, a.URL(), b.URL(), d.Cluster.PlatformURL, a.OperatorAddress,
		a.URL(), b.URL(), b.URL(), a.OperatorAddress)
	<-ctx.Done()
	fmt.Fprintln(out, "stopping")
	stopCtx, cancel := context.WithTimeout(context.Background(), startStopTimeout)
	defer cancel()
	d.Stop(stopCtx)
	return nil
}

var demoText = strings.TrimLeft(`
papayapaddle demo: 2 routers in front of 4 model engines and 3 booking servers, all emulated on loopback

  router-1   %s
  router-2   %s
  platform   %s
  operators  http://%s (token demo-operator)

Stream an answer from a model:
  curl -sN %s/v1/chat/completions -H 'Authorization: Bearer key-solar-quotes' -d '{"model":"papaya-chat","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"What does a roof of 40 m2 yield?"}]}'

Get the complete answer in one response, through the other router:
  curl -s %s/v1/completions -H 'Authorization: Bearer key-volunteers' -d '{"model":"papaya-chat","max_tokens":20,"prompt":"Review this roof survey."}'

Book a visit. Run it twice: the visit is booked once, and both calls get the same answer:
  curl -s %s/services/booking/visits -H 'Authorization: Bearer key-solar-quotes' -H 'Idempotency-Key: visit-1' -d '{"day":"2027-03-01"}'

Show the full state of a router:
  curl -s http://%s/dump -H 'Authorization: Bearer demo-operator'

Stop with Ctrl-C.
`, "\n")
