package rehearser

import "time"

// EngineModel holds the performance parameters of a model server with continuous
// batching. Each step prefills a chunk of the prompts, in order of arrival, and
// generates one token for each request whose prefill is complete.
type EngineModel struct {
	Slots int `yaml:"slots"`
	// MemoryTokens is the capacity of the KV cache, which is shared by running
	// requests and cached prefixes.
	MemoryTokens int `yaml:"memory-tokens"`
	// StepMillis is the duration of an empty step. Each request that generates a
	// token adds RequestMillis.
	StepMillis    float64 `yaml:"step-millis"`
	RequestMillis float64 `yaml:"slot-millis"`
	// PrefillTokensPerMilli is the prefill rate in tokens per millisecond.
	// PrefillChunkTokens is the maximum number of tokens prefilled in one step.
	PrefillTokensPerMilli float64 `yaml:"read-per-milli"`
	PrefillChunkTokens    int     `yaml:"chunk"`
}

// engineRequest is the state of a request at an engine.
type engineRequest struct {
	request     *request
	prefillLeft int
	answerLeft  int
	started     bool
}

// engine simulates one model server.
type engine struct {
	id       string
	model    EngineModel
	slowdown float64
	dead     bool
	// deaths is how often the engine has stopped responding.
	deaths  int
	queue   []*engineRequest
	running []*engineRequest
	// prefixUsedAt holds the last use of each cached prefix, cachedTokens its size.
	prefixUsedAt map[string]time.Duration
	cachedTokens map[string]int
	stepping     bool
	// crashes is how often the engine has crashed, and downUntil until when it refuses requests.
	crashes int
	// limit is nil while the engine names none.
	limit *engineLimit
	// cold is nil while the engine is not cold.
	cold      *engineCold
	downUntil time.Duration
}

func newEngine(id string, m EngineModel) *engine {
	return &engine{id: id, model: m, slowdown: 1, prefixUsedAt: map[string]time.Duration{}, cachedTokens: map[string]int{}}
}

// add queues a request. Its shared prefix needs no prefill if it is cached.
func (e *engine) add(now time.Duration, r *request) {
	prefillTokens := r.promptTokens
	if _, ok := e.prefixUsedAt[r.prefix]; ok {
		prefillTokens -= r.prefixTokens
	}
	e.prefixUsedAt[r.prefix], e.cachedTokens[r.prefix] = now, r.prefixTokens
	e.evict()
	e.queue = append(e.queue, &engineRequest{request: r, prefillLeft: max(1, prefillTokens), answerLeft: max(1, r.answerTokens)})
}

// evict drops least recently used prefixes until the remaining ones fit into memory
// along with the running requests.
func (e *engine) evict() {
	used := 0
	for _, er := range e.running {
		used += er.request.promptTokens + er.request.answerTokens
	}
	for _, n := range e.cachedTokens {
		used += n
	}
	for used > e.model.MemoryTokens && len(e.prefixUsedAt) > 1 {
		oldest := ""
		for p, at := range e.prefixUsedAt {
			if oldest == "" || at < e.prefixUsedAt[oldest] || at == e.prefixUsedAt[oldest] && p < oldest {
				oldest = p
			}
		}
		used -= e.cachedTokens[oldest]
		delete(e.prefixUsedAt, oldest)
		delete(e.cachedTokens, oldest)
	}
}

// cancel removes a request.
func (e *engine) cancel(r *request) {
	drop := func(requests []*engineRequest) []*engineRequest {
		out := requests[:0]
		for _, er := range requests {
			if er.request != r {
				out = append(out, er)
			}
		}
		return out
	}
	e.queue, e.running = drop(e.queue), drop(e.running)
}

// step runs one step. It returns the duration of the step and the requests that
// generated their first and their last token in it. The duration is 0 if the engine
// has nothing to run.
func (e *engine) step() (duration time.Duration, started, finished []*engineRequest) {
	for len(e.queue) > 0 && len(e.running) < e.model.Slots {
		e.running = append(e.running, e.queue[0])
		e.queue = e.queue[1:]
	}
	if len(e.running) == 0 || e.dead {
		return 0, nil, nil
	}
	prefilled, decoding := 0, 0
	unfinished := e.running[:0]
	for _, er := range e.running {
		if er.prefillLeft > 0 {
			n := min(er.prefillLeft, e.model.PrefillChunkTokens-prefilled)
			er.prefillLeft -= n
			prefilled += n
			if er.prefillLeft > 0 {
				unfinished = append(unfinished, er)
				continue
			}
		}
		decoding++
		er.answerLeft--
		if !er.started {
			er.started = true
			started = append(started, er)
		}
		if er.answerLeft > 0 {
			unfinished = append(unfinished, er)
			continue
		}
		finished = append(finished, er)
	}
	e.running = unfinished
	ms := e.model.StepMillis + e.model.RequestMillis*float64(decoding) + float64(prefilled)/e.model.PrefillTokensPerMilli
	return time.Duration(ms * e.slowdown * float64(time.Millisecond)), started, finished
}
