// Package generator turns the questionnaire that a new team fills in into the
// fleet's declarations.
package generator

import (
	"bytes"
	_ "embed"
	"net/http"
	"strings"
	"time"

	"gopkg.in/yaml.v3"

	"papayapaddle/internal/declarer"
	"papayapaddle/internal/failer"
)

// Kind classifies the errors of this package.
type Kind string

// KindInvalid is an answer that cannot be used.
const KindInvalid Kind = "invalid questionnaire"

// Error is the error type of this package.
type Error = failer.Error[Kind]

// Blank is the questionnaire without answers, with explanations.
//
//go:embed questionnaires/blank.yaml
var Blank string

// Questionnaire holds a team's answers.
type Questionnaire struct {
	Deployment        string            `yaml:"deployment"`
	AvailabilityZones []string          `yaml:"availability-zones"`
	Workspaces        []WorkspaceAnswer `yaml:"workspaces"`
	Models            []string          `yaml:"models"`
	ModelPool         string            `yaml:"model-pool"`
	ModelServers      []ServerAnswer    `yaml:"model-servers"`
	ModelWork         []WorkAnswer      `yaml:"model-work"`
	Service           string            `yaml:"service"`
	ServicePool       string            `yaml:"service-pool"`
	ServiceServers    []ServerAnswer    `yaml:"service-servers"`
	NotRunStatuses    []int             `yaml:"not-run-statuses"`
}

// WorkspaceAnswer is one workspace of the questionnaire.
type WorkspaceAnswer struct {
	Name    string `yaml:"name"`
	Large   bool   `yaml:"large"`
	KeyHash string `yaml:"key-hash"`
}

// ServerAnswer is one backend server of the questionnaire.
type ServerAnswer struct {
	Name             string `yaml:"name"`
	Address          string `yaml:"address"`
	AvailabilityZone string `yaml:"availability-zone"`
	Slots            int    `yaml:"slots"`
	BurstSlots       int    `yaml:"burst-slots"`
}

// WorkAnswer is one kind of model work of the questionnaire.
type WorkAnswer struct {
	Name    string            `yaml:"name"`
	Path    string            `yaml:"path"`
	Urgency declarer.Urgency  `yaml:"urgency"`
	Timeout declarer.Duration `yaml:"timeout"`
	Tokens  float64           `yaml:"tokens"`
}

const (
	// largeWeight is the share of a large workspace beside a small one's 1.
	largeWeight = 4
	// The plain service's calls are short; callers wait on the phone.
	lookupTimeout  = 10 * time.Second
	reserveTimeout = 15 * time.Second
	// serviceMillis is the rough cost of a service call.
	serviceMillis = 20
)

// Generate returns the declarations as YAML. They were checked as papayapaddle
// check does.
func Generate(name string, b []byte) ([]byte, error) {
	var q Questionnaire
	d := yaml.NewDecoder(bytes.NewReader(b))
	d.KnownFields(true)
	if err := d.Decode(&q); err != nil {
		return nil, failer.Wrap("read "+name, KindInvalid, err)
	}
	if missing := q.missing(); len(missing) > 0 {
		return nil, failer.New("read "+name, KindInvalid, "no answer to "+strings.Join(missing, ", "))
	}
	y, err := yaml.Marshal(q.declarations())
	if err != nil {
		return nil, failer.Wrap("generate", KindInvalid, err)
	}
	if _, err := declarer.LoadBytes("generated from "+name, y); err != nil {
		return nil, err
	}
	return append([]byte("# Generated from the questionnaire of "+q.Deployment+"; edit the questionnaire instead.\n"), y...), nil
}

func (q *Questionnaire) missing() []string {
	var m []string
	empty := func(question string, is bool) {
		if is {
			m = append(m, question)
		}
	}
	empty("deployment", q.Deployment == "")
	empty("availability-zones", len(q.AvailabilityZones) == 0)
	empty("workspaces", len(q.Workspaces) == 0)
	empty("models", len(q.Models) == 0)
	empty("model-pool", q.ModelPool == "")
	empty("model-servers", len(q.ModelServers) == 0)
	empty("model-work", len(q.ModelWork) == 0)
	empty("service-pool", q.Service != "" && q.ServicePool == "")
	empty("service-servers", q.Service != "" && len(q.ServiceServers) == 0)
	return m
}

func (q *Questionnaire) declarations() declarer.File {
	f := declarer.File{
		Pools: []declarer.Pool{{Name: q.ModelPool, Type: declarer.PoolModel, Models: q.Models}},
	}
	for _, w := range q.Workspaces {
		weight := 1.0
		if w.Large {
			weight = largeWeight
		}
		f.Workspaces = append(f.Workspaces, declarer.Workspace{Name: w.Name, Weight: weight, KeyHashes: []string{w.KeyHash}})
	}
	for _, k := range q.ModelWork {
		f.WorkKinds = append(f.WorkKinds, declarer.WorkKind{
			Name: k.Name, Pool: q.ModelPool, Path: k.Path, Urgency: k.Urgency, Idempotent: true, Timeout: k.Timeout, CostHint: k.Tokens,
		})
	}
	f.BackendServers = servers(q.ModelServers, q.ModelPool, nil)
	if q.Service == "" {
		return f
	}
	f.Pools = append(f.Pools, declarer.Pool{Name: q.ServicePool, Type: declarer.PoolService, Service: q.Service})
	f.BackendServers = append(f.BackendServers, servers(q.ServiceServers, q.ServicePool, q.NotRunStatuses)...)
	f.WorkKinds = append(f.WorkKinds,
		declarer.WorkKind{
			Name: "lookup", Pool: q.ServicePool, Methods: []string{http.MethodGet, http.MethodHead}, Urgency: declarer.UrgencyHigh,
			Idempotent: true, Timeout: declarer.Duration(lookupTimeout), CostHint: serviceMillis,
		},
		declarer.WorkKind{
			Name: "reserve", Pool: q.ServicePool, Urgency: declarer.UrgencyNormal,
			Timeout: declarer.Duration(reserveTimeout), CostHint: serviceMillis,
		})
	return f
}

func servers(as []ServerAnswer, pool string, notRun []int) []declarer.BackendServer {
	var out []declarer.BackendServer
	for _, a := range as {
		out = append(out, declarer.BackendServer{
			Name: a.Name, Pool: pool, Address: a.Address, AvailabilityZone: a.AvailabilityZone,
			Slots: a.Slots, BurstSlots: a.BurstSlots, NotRunStatuses: notRun,
		})
	}
	return out
}
