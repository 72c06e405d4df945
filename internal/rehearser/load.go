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

// KindInvalid marks a load file that cannot be played.
const KindInvalid Kind = "invalid load"

// Error is the error type of this package.
type Error = failer.Error[Kind]

// Workload is a load to rehearse. Its format is YAML.
type Workload struct {
	Seed            uint64      `yaml:"seed"`
	DurationSeconds float64     `yaml:"seconds"`
	EngineCount     int         `yaml:"engines"`
	EngineModel     EngineModel `yaml:"model"`
	// WorkspaceCount share the load; the i-th sends 1/i^Skew of it.
	WorkspaceCount int            `yaml:"workspaces"`
	ZipfExponent   float64        `yaml:"skew"`
	Classes        []RequestClass `yaml:"classes"`
	Events         []Event        `yaml:"events"`
}

// RequestClass is one kind of request.
type RequestClass struct {
	Name              string  `yaml:"name"`
	RequestsPerSecond float64 `yaml:"per-second"`
	// MeanUniqueTokens is the mean number of tokens beyond the shared part, Spread the
	// standard deviation of its logarithm.
	MeanUniqueTokens  float64 `yaml:"prompt"`
	UniqueTokensSigma float64 `yaml:"spread"`
	// PrefixTokens is the size of the shared part, of which there are Parts.
	PrefixTokens     int     `yaml:"shared"`
	PrefixCount      int     `yaml:"parts"`
	MeanAnswerTokens float64 `yaml:"answer"`
	ObjectiveMillis  float64 `yaml:"objective-millis"`
	TimeoutMillis    float64 `yaml:"timeout-millis"`
	Value            float64 `yaml:"worth"`
	LateValue        float64 `yaml:"late-worth"`
}

// Event is a trouble in a span of time.
type Event struct {
	// Kind is burst, hot-workspace, hot-part, slow-engines or dead-engines.
	Kind            string  `yaml:"kind"`
	StartSecond     float64 `yaml:"at"`
	DurationSeconds float64 `yaml:"for"`
	Factor          float64 `yaml:"times"`
	Class           string  `yaml:"class"`
	// WorkspaceRank is a rank by size, from 1.
	WorkspaceRank int `yaml:"workspace"`
	EngineCount   int `yaml:"count"`
}

func (e Event) active(second float64) bool {
	return second >= e.StartSecond && second < e.StartSecond+e.DurationSeconds
}

// Parse reads and checks a load.
func Parse(b []byte) (*Workload, error) {
	var l Workload
	d := yaml.NewDecoder(bytes.NewReader(b))
	d.KnownFields(true)
	if err := d.Decode(&l); err != nil {
		return nil, failer.Wrap("read load", KindInvalid, err)
	}
	if bad := l.check(); len(bad) > 0 {
		return nil, failer.New("read load", KindInvalid, strings.Join(bad, "; "))
	}
	return &l, nil
}

func (l *Workload) check() []string {
	var bad []string
	if l.DurationSeconds <= 0 || l.EngineCount < 1 || l.WorkspaceCount < 1 || len(l.Classes) == 0 {
		bad = append(bad, "seconds, engines, workspaces and classes must be given")
	}
	m := l.EngineModel
	if m.Slots < 1 || m.PrefillTokensPerMilli <= 0 || m.PrefillChunkTokens < 1 || m.StepMillis <= 0 || m.MemoryTokens < 1 {
		bad = append(bad, "model: slots, memory-tokens, step-millis, read-per-milli and chunk must be positive")
	}
	for _, c := range l.Classes {
		if c.RequestsPerSecond < 0 || c.MeanUniqueTokens <= 0 || c.PrefixCount < 1 || c.ObjectiveMillis <= 0 || c.TimeoutMillis <= 0 {
			bad = append(bad, fmt.Sprintf("class %q: per-second, prompt, parts, objective-millis and timeout-millis are needed", c.Name))
		}
	}
	for _, e := range l.Events {
		switch e.Kind {
		case "burst", "hot-workspace", "hot-part", "slow-engines", "dead-engines":
		default:
			bad = append(bad, fmt.Sprintf("event kind %q is not known", e.Kind))
		}
	}
	return bad
}

// request is one caller's request across its tries.
type request struct {
	id        uint64
	class     *RequestClass
	workspace int
	part      string
	prompt    int
	shared    int
	answer    int
	hint      int
	// worth is what the answer is worth in time, against its class's.
	worth float64
	// long says that the prompt is among the longest tenth of its class.
	long    bool
	arrived time.Duration
	tries   int
	asked   time.Duration
	engine  *engine
	// spare says that the engine is not the prompt's home, retryAfter what the home said.
	spare      bool
	retryAfter time.Duration
	firstAt    time.Duration
	outcome    string
}

func (r *request) deadline() time.Duration {
	return r.arrived + time.Duration(r.class.TimeoutMillis*float64(time.Millisecond))
}

// prompted is what steers the request.
func (r *request) prompted() steerer.Prompt { return steerer.Prompt{Home: r.part, Shared: r.shared} }

// tokens is what the request counts for in shares.
func (r *request) tokens() float64 { return float64(r.prompt + 2*r.answer) }

func (r *request) objective() time.Duration {
	return time.Duration(r.class.ObjectiveMillis * float64(time.Millisecond))
}

// arrivals draws all requests of a load.
func (l *Workload) arrivals() []*request {
	rng := rand.New(rand.NewPCG(l.Seed, 1))
	var out []*request
	for i := range l.Classes {
		c := &l.Classes[i]
		for at := 0.0; at < l.DurationSeconds; {
			rate := c.RequestsPerSecond * l.factor(c, at)
			if rate <= 0 {
				at += 0.1
				continue
			}
			at += rng.ExpFloat64() / rate
			out = append(out, l.draw(rng, c, at))
		}
	}
	value(out)
	return out
}

const (
	// basicWorth is the part of a request's worth that does not follow from its size,
	// mostWorth the most that a large one is worth against its class, and answerSize
	// what a token of an answer counts for in sizes. These are the users' terms.
	basicWorth = 0.3
	mostWorth  = 4
	answerSize = 10
)

// value works out what each request is worth, from its size against the mean one of
// its class.
func value(all []*request) {
	sum, n := map[*RequestClass]float64{}, map[*RequestClass]float64{}
	for _, r := range all {
		sum[r.class] += r.size()
		n[r.class]++
	}
	for _, r := range all {
		r.worth = min(mostWorth, basicWorth+(1-basicWorth)*r.size()*n[r.class]/sum[r.class])
	}
}

func (r *request) size() float64 { return float64(r.prompt + answerSize*r.answer) }

// longTenth is the point of a normal distribution above which a tenth lies.
const longTenth = 1.2816

// factor is how many times its usual a class has at a moment, all workspaces
// together.
func (l *Workload) factor(c *RequestClass, at float64) float64 {
	f := 1.0
	for _, e := range l.Events {
		if e.Kind == "burst" && e.active(at) && (e.Class == "" || e.Class == c.Name) {
			f *= e.Factor
		}
	}
	sum, total := 0.0, 0.0
	for _, w := range l.weights(at) {
		sum += w
	}
	for _, w := range l.weights(-1) {
		total += w
	}
	return f * sum / total
}

// weights are the workspaces' parts of the load at a moment.
func (l *Workload) weights(at float64) []float64 {
	out := make([]float64, l.WorkspaceCount)
	for i := range out {
		out[i] = math.Pow(float64(i+1), -l.ZipfExponent)
		for _, e := range l.Events {
			if e.Kind == "hot-workspace" && e.active(at) && e.WorkspaceRank == i+1 {
				out[i] *= e.Factor
			}
		}
	}
	return out
}

func (l *Workload) draw(rng *rand.Rand, c *RequestClass, at float64) *request {
	lognormal := func(mean, spread float64) int {
		return max(1, int(mean*math.Exp(spread*rng.NormFloat64()-spread*spread/2)))
	}
	part := rng.IntN(c.PrefixCount)
	for _, e := range l.Events {
		if e.Kind == "hot-part" && e.active(at) && e.Class == c.Name && rng.Float64() < e.Factor {
			part = 0
		}
	}
	r := &request{
		class: c, workspace: pick(rng, l.weights(at)), part: fmt.Sprintf("%s-%d", c.Name, part), shared: c.PrefixTokens,
		prompt: c.PrefixTokens + min(lognormal(c.MeanUniqueTokens, c.UniqueTokensSigma), int(8*c.MeanUniqueTokens)), answer: lognormal(c.MeanAnswerTokens, 0.5),
		arrived: time.Duration(at * float64(time.Second)),
	}
	r.long = float64(r.prompt-r.shared) > c.MeanUniqueTokens*math.Exp(longTenth*c.UniqueTokensSigma-c.UniqueTokensSigma*c.UniqueTokensSigma/2)
	r.hint = max(1, int(float64(r.answer)*math.Exp(0.5*rng.NormFloat64())))
	return r
}

func pick(rng *rand.Rand, weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	at := rng.Float64() * sum
	for i, w := range weights {
		if at < w {
			return i
		}
		at -= w
	}
	return len(weights) - 1
}
