// Package generator generates the declarations of a deployment from the questionnaire that a new
// team fills in.
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

// KindInvalid means that the questionnaire cannot be decoded or is incomplete.
const KindInvalid Kind = "invalid questionnaire"

// Error is the error type of this package.
type Error = failer.Error[Kind]

// BlankQuestionnaire is the questionnaire without answers. Its comments explain the questions.
//
//go:embed questionnaires/blank.yaml
var BlankQuestionnaire string

// Questionnaire is a filled-in questionnaire.
type Questionnaire struct {
	Deployment        string            `yaml:"deployment"`
	AvailabilityZones []string          `yaml:"availability-zones"`
	Workspaces        []WorkspaceAnswer `yaml:"workspaces"`
	Models            []string          `yaml:"models"`
	ModelPool         string            `yaml:"model-pool"`
	ModelServers      []ServerAnswer    `yaml:"model-servers"`
	ModelWorkKinds    []WorkKindAnswer  `yaml:"model-work"`
	Service           string            `yaml:"service"`
	ServicePool       string            `yaml:"service-pool"`
	ServiceServers    []ServerAnswer    `yaml:"service-servers"`
	NotRunStatuses    []int             `yaml:"not-run-statuses"`
}

// WorkspaceAnswer describes a workspace.
type WorkspaceAnswer struct {
	Name    string `yaml:"name"`
	Large   bool   `yaml:"large"`
	KeyHash string `yaml:"key-hash"`
}

// ServerAnswer describes a backend server.
type ServerAnswer struct {
	Name             string `yaml:"name"`
	Address          string `yaml:"address"`
	AvailabilityZone string `yaml:"availability-zone"`
	Slots            int    `yaml:"slots"`
	BurstSlots       int    `yaml:"burst-slots"`
}

// WorkKindAnswer describes a kind of model requests. Tokens is the approximate length of a
// response.
type WorkKindAnswer struct {
	Name    string            `yaml:"name"`
	Path    string            `yaml:"path"`
	Urgency declarer.Urgency  `yaml:"urgency"`
	Timeout declarer.Duration `yaml:"timeout"`
	Tokens  float64           `yaml:"tokens"`
}

const (
	// largeWorkspaceWeight is the weight of a large workspace; that of others is 1.
	largeWorkspaceWeight = 4
	// Calls of the plain service are short, and callers wait for them during a phone call.
	lookupTimeout  = 10 * time.Second
	reserveTimeout = 15 * time.Second
	// serviceCostMillis is the cost hint of a call of the plain service in milliseconds.
	serviceCostMillis = 20
)

// Generate returns the declarations as YAML. It validates them in the same way as the command
// papayapaddle check. name identifies the questionnaire in errors.
func Generate(name string, b []byte) ([]byte, error) {
	var q Questionnaire
	d := yaml.NewDecoder(bytes.NewReader(b))
	d.KnownFields(true)
	if err := d.Decode(&q); err != nil {
		return nil, failer.Wrap("read "+name, KindInvalid, err)
	}
	if unanswered := q.unanswered(); len(unanswered) > 0 {
		return nil, failer.New("read "+name, KindInvalid, "no answer to "+strings.Join(unanswered, ", "))
	}
	out, err := yaml.Marshal(q.declarations())
	if err != nil {
		return nil, failer.Wrap("generate", KindInvalid, err)
	}
	if _, err := declarer.LoadBytes("generated from "+name, out); err != nil {
		return nil, err
	}
	return append([]byte("# Generated from the questionnaire of "+q.Deployment+"; edit the questionnaire instead.\n"), out...), nil
}

// unanswered returns the required questions without an answer.
func (q *Questionnaire) unanswered() []string {
	var questions []string
	addIf := func(question string, empty bool) {
		if empty {
			questions = append(questions, question)
		}
	}
	addIf("deployment", q.Deployment == "")
	addIf("availability-zones", len(q.AvailabilityZones) == 0)
	addIf("workspaces", len(q.Workspaces) == 0)
	addIf("models", len(q.Models) == 0)
	addIf("model-pool", q.ModelPool == "")
	addIf("model-servers", len(q.ModelServers) == 0)
	addIf("model-work", len(q.ModelWorkKinds) == 0)
	addIf("service-pool", q.Service != "" && q.ServicePool == "")
	addIf("service-servers", q.Service != "" && len(q.ServiceServers) == 0)
	return questions
}

func (q *Questionnaire) declarations() declarer.File {
	file := declarer.File{
		Pools: []declarer.Pool{{Name: q.ModelPool, Type: declarer.PoolModel, Models: q.Models}},
	}
	for _, w := range q.Workspaces {
		weight := 1.0
		if w.Large {
			weight = largeWorkspaceWeight
		}
		file.Workspaces = append(file.Workspaces, declarer.Workspace{Name: w.Name, Weight: weight, KeyHashes: []string{w.KeyHash}})
	}
	for _, k := range q.ModelWorkKinds {
		file.WorkKinds = append(file.WorkKinds, declarer.WorkKind{
			Name: k.Name, Pool: q.ModelPool, Path: k.Path, Urgency: k.Urgency, Idempotent: true, Timeout: k.Timeout, CostHint: k.Tokens,
		})
	}
	file.BackendServers = backendServers(q.ModelServers, q.ModelPool, nil)
	if q.Service == "" {
		return file
	}
	file.Pools = append(file.Pools, declarer.Pool{Name: q.ServicePool, Type: declarer.PoolService, Service: q.Service})
	file.BackendServers = append(file.BackendServers, backendServers(q.ServiceServers, q.ServicePool, q.NotRunStatuses)...)
	file.WorkKinds = append(file.WorkKinds,
		declarer.WorkKind{
			Name: "lookup", Pool: q.ServicePool, Methods: []string{http.MethodGet, http.MethodHead}, Urgency: declarer.UrgencyHigh,
			Idempotent: true, Timeout: declarer.Duration(lookupTimeout), CostHint: serviceCostMillis,
		},
		declarer.WorkKind{
			Name: "reserve", Pool: q.ServicePool, Urgency: declarer.UrgencyNormal,
			Timeout: declarer.Duration(reserveTimeout), CostHint: serviceCostMillis,
		})
	return file
}

func backendServers(answers []ServerAnswer, pool string, notRunStatuses []int) []declarer.BackendServer {
	var out []declarer.BackendServer
	for _, answer := range answers {
		out = append(out, declarer.BackendServer{
			Name: answer.Name, Pool: pool, Address: answer.Address, AvailabilityZone: answer.AvailabilityZone,
			Slots: answer.Slots, BurstSlots: answer.BurstSlots, NotRunStatuses: notRunStatuses,
		})
	}
	return out
}
