// Package demonstrator runs a whole small deployment in one process, on
// loopback: the stand-ins, and routers before them with a configuration in
// force. It serves the demo, the measurements and the end-to-end tests.
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

// OperatorToken guards the operators' listeners of a demonstration.
const OperatorToken = "demo-operator"

// readyWithin bounds the start of a deployment.
const readyWithin = 15 * time.Second

// Options describe a deployment.
type Options struct {
	Plan       emulator.Plan
	Routers    int
	Workspaces []declarer.Workspace
	Limits     configurer.Limits
	Logger     log.Logger
	// Network gives links their properties; nil means perfect links.
	Network *linker.Network
	// Plain runs the baseline policy.
	Plain         bool
	BalancerDelay time.Duration
}

// Member is one router of a deployment.
type Member struct {
	Name      string
	Zone      string
	Callers   string
	Operators string
	Peers     string
	Control   *linker.Counter
	Router    *assembler.Router
}

// URL returns the base URL for callers.
func (m *Member) URL() string { return "http://" + m.Callers }

// Deployment is a running deployment.
type Deployment struct {
	Host    *emulator.Host
	Members []*Member

	options Options
}

// KeyOf returns the bearer key of a sample workspace.
func KeyOf(workspace string) string { return "key-" + workspace }

// Workspace returns a sample workspace with the key that KeyOf gives.
func Workspace(name string, weight float64) declarer.Workspace {
	return declarer.Workspace{Name: name, Weight: weight, KeyHashes: []string{declarer.HashAPIKey(KeyOf(name))}, KindHeader: true}
}

// Start starts a deployment and returns when all routers are ready.
func Start(ctx context.Context, o Options) (*Deployment, error) {
	host, err := emulator.StartHost(o.Plan)
	if err != nil {
		return nil, err
	}
	d := &Deployment{Host: host, options: o}
	d.registerServers()
	if err := d.apply(ctx); err != nil {
		d.Close()
		return nil, err
	}
	for i := range o.Routers {
		m, err := d.newMember(i)
		if err != nil {
			d.Close()
			return nil, err
		}
		d.Members = append(d.Members, m)
		host.AddRouter(m.Name, m.Peers, m.Zone)
	}
	for _, m := range d.Members {
		if err := d.StartMember(ctx, m); err != nil {
			d.Close()
			return nil, err
		}
	}
	return d, d.awaitReady(ctx)
}

// PlatformName is the platform's name as an endpoint of links.
const PlatformName = "platform"

// registerServers names the stand-ins as endpoints of links.
func (d *Deployment) registerServers() {
	n := d.options.Network
	if n == nil {
		return
	}
	for _, s := range d.Host.Servers {
		n.Register(s.Address, linker.Endpoint{Name: s.Name, AvailabilityZone: s.AvailabilityZone})
	}
	n.Register(d.Host.PlatformAddress, linker.Endpoint{Name: PlatformName, AvailabilityZone: d.options.Plan.Zones[0]})
}

// apply puts the sample declarations in force through the operators' own path.
func (d *Deployment) apply(ctx context.Context) error {
	b, err := yaml.Marshal(d.Host.Declarations(d.options.Workspaces))
	if err != nil {
		return err
	}
	target, err := declarer.LoadBytes("sample.yaml", b)
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

// DeclarationsYAML returns sample declarations for stand-ins.
func DeclarationsYAML(h *emulator.Host, names []string) ([]byte, error) {
	var ws []declarer.Workspace
	for _, n := range names {
		ws = append(ws, Workspace(n, 1))
	}
	return yaml.Marshal(h.Declarations(ws))
}

// Store returns a client of the platform without a budget.
func (d *Deployment) Store() *connector.Client {
	return &connector.Client{Base: d.Host.PlatformURL, HTTP: &http.Client{}}
}

// newMember chooses a router's addresses.
func (d *Deployment) newMember(i int) (*Member, error) {
	m := &Member{
		Name:    fmt.Sprintf("router-%d", i+1),
		Zone:    d.options.Plan.Zones[i%len(d.options.Plan.Zones)],
		Control: &linker.Counter{},
	}
	for _, a := range []*string{&m.Callers, &m.Operators, &m.Peers} {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		*a = address
	}
	if d.options.Network != nil {
		d.options.Network.Register(m.Peers, linker.Endpoint{Name: m.Name, AvailabilityZone: m.Zone})
	}
	return m, nil
}

// The ports of routers lie below those that the system takes for outgoing
// connections, which would take one while it is free for a moment.
const (
	firstPort = 20_000
	portCount = 12_000
)

// nextPort goes round the ports, so that one process hands none out twice.
var nextPort atomic.Uint32

func init() { nextPort.Store(rand.Uint32N(portCount)) }

// freeAddress finds a loopback port that nothing listens on.
func freeAddress() (string, error) {
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

// StartMember starts a router, or a new process in the place of one that ended.
func (d *Deployment) StartMember(ctx context.Context, m *Member) error {
	o := assembler.Options{
		Logger: d.options.Logger, ControlTraffic: m.Control, Baseline: d.options.Plain,
		Settings: configurer.Settings{
			Name: m.Name, AvailabilityZone: m.Zone,
			Callers:   configurer.Listener{Address: m.Callers},
			Operators: configurer.Listener{Address: m.Operators},
			Peers:     configurer.Listener{Address: m.Peers},
			Platform:  d.Host.PlatformURL, OperatorToken: OperatorToken, Limits: d.limits(),
			BalancerDelay: declarer.Duration(d.options.BalancerDelay),
		},
	}
	if d.options.Network != nil {
		o.Dial = d.options.Network.Dialer(linker.Endpoint{Name: m.Name, AvailabilityZone: m.Zone})
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

// awaitReady returns when every router is ready and has taken its servers over.
func (d *Deployment) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	for _, m := range d.Members {
		for m.Router.CheckReady() != nil || len(m.Router.Dump().View.Peers) < len(d.Members)-1 {
			select {
			case <-ctx.Done():
				return fmt.Errorf("%s does not get ready: %v", m.Name, m.Router.CheckReady())
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	return nil
}

// Close stops everything at once.
func (d *Deployment) Close() {
	for _, m := range d.Members {
		if m.Router != nil {
			m.Router.Kill()
		}
	}
	d.Host.Close()
}

// Stop stops all routers gracefully and then the stand-ins.
func (d *Deployment) Stop(ctx context.Context) {
	for _, m := range d.Members {
		// A router that cannot finish in time is closed below.
		_ = m.Router.Stop(ctx)
	}
	d.Close()
}

// Demo runs until the context ends, and tells how to use the deployment.
func Demo(ctx context.Context, out io.Writer, logger log.Logger) error {
	d, err := Start(ctx, Options{
		Plan: emulator.Plan{
			Zones: []string{"graz-a", "graz-b", "leoben-c"}, Engines: 4, Slots: 4, Services: 3, ServiceSlots: 8,
			Speed: emulator.DefaultSpeed, ServiceWork: 20 * time.Millisecond, Seed: 1,
		},
		Routers:    2,
		Workspaces: []declarer.Workspace{Workspace("solar-quotes", 2), Workspace("volunteers", 1)},
		Logger:     logger,
	})
	if err != nil {
		return err
	}
	a, b := d.Members[0], d.Members[1]
	fmt.Fprintf(out, demoText, a.URL(), b.URL(), d.Host.PlatformURL, a.Operators,
		a.URL(), b.URL(), b.URL(), a.Operators)
	<-ctx.Done()
	fmt.Fprintln(out, "stopping")
	stop, cancel := context.WithTimeout(context.Background(), readyWithin)
	defer cancel()
	d.Stop(stop)
	return nil
}

var demoText = strings.TrimLeft(`
papayapaddle demo: 2 routers before 4 model engines and 3 booking servers, all stand-ins on loopback

  router-1   %s
  router-2   %s
  platform   %s
  operators  http://%s (token demo-operator)

Stream an answer of a model:
  curl -sN %s/v1/chat/completions -H 'Authorization: Bearer key-solar-quotes' -d '{"model":"papaya-chat","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"What does a roof of 40 m2 yield?"}]}'

The whole answer at once, through the other router:
  curl -s %s/v1/completions -H 'Authorization: Bearer key-volunteers' -d '{"model":"papaya-chat","max_tokens":20,"prompt":"Review this roof survey."}'

Reserve a visit. Run it twice: the visit is booked once, and both calls get the same answer:
  curl -s %s/services/booking/visits -H 'Authorization: Bearer key-solar-quotes' -H 'Idempotency-Key: visit-1' -d '{"day":"2027-03-01"}'

See the whole state of a router:
  curl -s http://%s/dump -H 'Authorization: Bearer demo-operator'

Stop with Ctrl-C.
`, "\n")
