package rehearser

import (
	"bytes"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"gopkg.in/yaml.v3"

	"papayapaddle/internal/failer"
	"papayapaddle/internal/steerer"
)

// Kind classifies the errors of this package.
type Kind string

// KindInvalid means that a workload file is invalid.
const KindInvalid Kind = "invalid workload"

// Error is the error type of this package.
type Error = failer.Error[Kind]

// Workload describes the engines and the requests of a simulation. It is read from
// YAML.
type Workload struct {
	Seed            uint64      `yaml:"seed"`
	DurationSeconds float64     `yaml:"seconds"`
	EngineCount     int         `yaml:"engines"`
	EngineModel     EngineModel `yaml:"model"`
	// WorkspaceCount workspaces send requests. The i-th has weight 1/i^ZipfExponent.
	WorkspaceCount int            `yaml:"workspaces"`
	ZipfExponent   float64        `yaml:"skew"`
	Classes        []RequestClass `yaml:"classes"`
	Events         []Event        `yaml:"events"`
}

// RequestClass describes requests of one kind.
type RequestClass struct {
	Name              string  `yaml:"name"`
	RequestsPerSecond float64 `yaml:"per-second"`
	// MeanUniqueTokens is the mean number of prompt tokens after the shared prefix.
	// UniqueTokensSigma is the standard deviation of its logarithm.
	MeanUniqueTokens  float64 `yaml:"prompt"`
	UniqueTokensSigma float64 `yaml:"spread"`
	// PrefixTokens is the size of the shared prefix, which is one of PrefixCount.
	PrefixTokens     int     `yaml:"shared"`
	PrefixCount      int     `yaml:"parts"`
	MeanAnswerTokens float64 `yaml:"answer"`
	ObjectiveMillis  float64 `yaml:"objective-millis"`
	TimeoutMillis    float64 `yaml:"timeout-millis"`
	// Value is the value of an answer of average size that starts within the
	// objective, LateValue the value of one that starts later.
	Value     float64 `yaml:"worth"`
	LateValue float64 `yaml:"late-worth"`
}

// Event is a temporary change of the requests or a temporary engine fault.
type Event struct {
	// Kind is burst, hot-workspace, hot-part, few-parts, slow-engines, dead-engines, limited-engines, cold-engines, deadly-part or
	// deadly-request.
	Kind            string  `yaml:"kind"`
	StartSecond     float64 `yaml:"at"`
	DurationSeconds float64 `yaml:"for"`
	// Factor multiplies the request rate or the step duration. For hot-part, it is the
	// probability that a request has the first prefix. For deadly-part, it is the probability that a
	// request has a part that crashes engines, behind the first prefix, and for deadly-request that it
	// is one request that does, repeated, with the first prefix.
	Factor float64 `yaml:"times"`
	Class  string  `yaml:"class"`
	// WorkspaceRank selects a workspace by its usual request rate; 1 is the highest.
	WorkspaceRank int `yaml:"workspace"`
	// EngineCount is the number of engines with the fault. For few-parts, it is the number of prefixes of each class
	// that the workspace uses, which no other workspace has.
	EngineCount int `yaml:"count"`
	// LimitPerSecond is the limit, in requests a second, that each of limited-engines names, or that each of cold-engines
	// tolerates.
	LimitPerSecond float64 `yaml:"limit-per-second"`
}

func (e Event) active(second float64) bool {
	return second >= e.StartSecond && second < e.StartSecond+e.DurationSeconds
}

// Parse decodes and validates a workload.
func Parse(b []byte) (*Workload, error) {
	var wl Workload
	d := yaml.NewDecoder(bytes.NewReader(b))
	d.KnownFields(true)
	if err := d.Decode(&wl); err != nil {
		return nil, failer.Wrap("parse workload", KindInvalid, err)
	}
	if problems := wl.validate(); len(problems) > 0 {
		return nil, failer.New("parse workload", KindInvalid, strings.Join(problems, "; "))
	}
	return &wl, nil
}

func (wl *Workload) validate() []string {
	var problems []string
	if wl.DurationSeconds <= 0 || wl.EngineCount < 1 || wl.WorkspaceCount < 1 || len(wl.Classes) == 0 {
		problems = append(problems, "seconds, engines, workspaces and classes are required")
	}
	m := wl.EngineModel
	if m.Slots < 1 || m.PrefillTokensPerMilli <= 0 || m.PrefillChunkTokens < 1 || m.StepMillis <= 0 ||
		m.MemoryTokens < 1 {
		problems = append(problems, "model: slots, memory-tokens, step-millis, read-per-milli and chunk must be positive")
	}
	for _, c := range wl.Classes {
		if c.RequestsPerSecond < 0 || c.MeanUniqueTokens <= 0 || c.PrefixCount < 1 ||
			c.ObjectiveMillis <= 0 || c.TimeoutMillis <= 0 {
			problems = append(problems, fmt.Sprintf("class %q: per-second, prompt, parts, objective-millis and timeout-millis are required", c.Name))
		}
	}
	for _, e := range wl.Events {
		switch e.Kind {
		case "burst", "hot-workspace", "hot-part", "few-parts", "slow-engines", "dead-engines", "limited-engines", "cold-engines", "deadly-part", "deadly-request":
		default:
			problems = append(problems, fmt.Sprintf("event kind %q is not known", e.Kind))
		}
	}
	return problems
}

// request is one caller's request across its attempts.
type request struct {
	id        uint64
	class     *RequestClass
	workspace int
	prefix    string
	// deadly is true if a part of the prompt crashes engines, or, if repeated, the request as a whole.
	deadly       bool
	repeated     bool
	promptTokens int
	prefixTokens int
	answerTokens int
	answerHint   int
	// relativeValue is the value of the answer relative to the value of its class.
	relativeValue float64
	// longPrompt means that the unique part of the prompt is in the longest tenth of
	// its class.
	longPrompt  bool
	arrivedAt   time.Duration
	attempts    int
	submittedAt time.Duration
	engine      *engine
	// overflow means that the request was sent to an engine other than the home of its
	// prefix. redirected means that its home refused this attempt, and retryAfter is the retry
	// delay that the home returned.
	overflow     bool
	redirected   bool
	retryAfter   time.Duration
	firstTokenAt time.Duration
	// silent reports whether the router has reported that the engine is silent.
	silent  bool
	outcome string
}

func (r *request) deadline() time.Duration {
	return r.arrivedAt + time.Duration(r.class.TimeoutMillis*float64(time.Millisecond))
}

// uniquePart returns the part of the prompt that is the request's own.
func (r *request) uniquePart() string { return fmt.Sprint("own-", r.arrivedAt, "-", r.workspace) }

// sharedPrefix returns the routing key of the request.
func (r *request) sharedPrefix() steerer.SharedPrefix {
	return steerer.SharedPrefix{Home: r.prefix, Shared: r.prefixTokens}
}

// weightedTokens returns the tokens that the request counts for in Report.Fairness. An
// answer token counts twice, as in the workspace usage of package admitter.
func (r *request) weightedTokens() float64 { return float64(r.promptTokens + 2*r.answerTokens) }

func (r *request) objective() time.Duration {
	return time.Duration(r.class.ObjectiveMillis * float64(time.Millisecond))
}

// arrivals generates all requests of the workload.
func (wl *Workload) arrivals() []*request {
	rng := rand.New(rand.NewPCG(wl.Seed, 1))
	var out []*request
	for i := range wl.Classes {
		c := &wl.Classes[i]
		for second := 0.0; second < wl.DurationSeconds; {
			rate := c.RequestsPerSecond * wl.rateFactor(c, second)
			if rate <= 0 {
				second += 0.1
				continue
			}
			second += rng.ExpFloat64() / rate
			out = append(out, wl.drawRequest(rng, c, second))
		}
	}
	assignRelativeValues(out)
	return out
}

const (
	// A request's relative value is baseRelativeValue plus a part proportional to its
	// size, up to maxRelativeValue. An answer token counts as answerTokenSize prompt
	// tokens in the size. The users specify these values.
	baseRelativeValue = 0.3
	maxRelativeValue  = 4
	answerTokenSize   = 10
)

// assignRelativeValues sets the relative value of each request from the ratio of its
// size to the mean size of its class.
func assignRelativeValues(requests []*request) {
	totalSize, count := map[*RequestClass]float64{}, map[*RequestClass]float64{}
	for _, r := range requests {
		totalSize[r.class] += r.size()
		count[r.class]++
	}
	for _, r := range requests {
		r.relativeValue = min(maxRelativeValue, baseRelativeValue+(1-baseRelativeValue)*r.size()*count[r.class]/totalSize[r.class])
	}
}

func (r *request) size() float64 { return float64(r.promptTokens + answerTokenSize*r.answerTokens) }

// longPromptZ is the 90th percentile of the standard normal distribution.
const longPromptZ = 1.2816

// rateFactor returns the ratio of the current to the usual request rate of a class,
// for all workspaces together.
func (wl *Workload) rateFactor(c *RequestClass, second float64) float64 {
	factor := 1.0
	for _, e := range wl.Events {
		if e.Kind == "burst" && e.active(second) && (e.Class == "" || e.Class == c.Name) {
			factor *= e.Factor
		}
	}
	weight, usualWeight := 0.0, 0.0
	for _, w := range wl.workspaceWeights(second) {
		weight += w
	}
	for _, w := range wl.workspaceWeights(-1) {
		usualWeight += w
	}
	return factor * weight / usualWeight
}

// workspaceWeights returns the relative request rates of the workspaces at a time.
func (wl *Workload) workspaceWeights(second float64) []float64 {
	out := make([]float64, wl.WorkspaceCount)
	for i := range out {
		out[i] = math.Pow(float64(i+1), -wl.ZipfExponent)
		for _, e := range wl.Events {
			if e.Kind == "hot-workspace" && e.active(second) && e.WorkspaceRank == i+1 {
				out[i] *= e.Factor
			}
		}
	}
	return out
}

func (wl *Workload) drawRequest(rng *rand.Rand, c *RequestClass, second float64) *request {
	lognormal := func(mean, sigma float64) int {
		return max(1, int(mean*math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2)))
	}
	prefix, deadly, repeated := rng.IntN(c.PrefixCount), false, false
	for _, e := range wl.Events {
		if e.Kind == "hot-part" && e.active(second) && e.Class == c.Name && rng.Float64() < e.Factor {
			prefix = 0
		}
		if e.Kind == "deadly-part" && e.active(second) && e.Class == c.Name && rng.Float64() < e.Factor {
			prefix, deadly = 0, true
		}
		if e.Kind == "deadly-request" && e.active(second) && e.Class == c.Name && rng.Float64() < e.Factor {
			prefix, deadly, repeated = 0, true, true
		}
	}
	r := &request{
		class: c, workspace: drawIndex(rng, wl.workspaceWeights(second)),
		prefix: fmt.Sprintf("%s-%d", c.Name, prefix), prefixTokens: c.PrefixTokens, deadly: deadly, repeated: repeated,
		promptTokens: c.PrefixTokens + min(lognormal(c.MeanUniqueTokens, c.UniqueTokensSigma), int(8*c.MeanUniqueTokens)),
		answerTokens: lognormal(c.MeanAnswerTokens, 0.5),
		arrivedAt:    time.Duration(second * float64(time.Second)),
	}
	for _, e := range wl.Events {
		if e.Kind == "few-parts" && e.active(second) && e.WorkspaceRank == r.workspace+1 {
			r.prefix = fmt.Sprintf("%s-%d-%d", c.Name, e.WorkspaceRank, rng.IntN(max(1, e.EngineCount)))
		}
	}
	r.longPrompt = float64(r.promptTokens-r.prefixTokens) >
		c.MeanUniqueTokens*math.Exp(longPromptZ*c.UniqueTokensSigma-c.UniqueTokensSigma*c.UniqueTokensSigma/2)
	r.answerHint = max(1, int(float64(r.answerTokens)*math.Exp(0.5*rng.NormFloat64())))
	return r
}

func drawIndex(rng *rand.Rand, weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	point := rng.Float64() * sum
	for i, w := range weights {
		if point < w {
			return i
		}
		point -= w
	}
	return len(weights) - 1
}
