package rehearser

import "time"

// EngineModel are the figures of a model server. It batches continuously: each step
// reads a chunk of prompts, in order of arrival, and makes one token for each
// request that was read.
type EngineModel struct {
	Slots int `yaml:"slots"`
	// MemoryTokens is shared by running requests and kept parts.
	MemoryTokens int `yaml:"memory-tokens"`
	// StepMillis is the time of an empty step, SlotMillis what each running
	// request adds.
	StepMillis    float64 `yaml:"step-millis"`
	RequestMillis float64 `yaml:"slot-millis"`
	// PrefillTokensPerMilli is the number of prompt tokens read in a millisecond, Chunk the
	// most in one step.
	PrefillTokensPerMilli float64 `yaml:"read-per-milli"`
	PrefillChunkTokens    int     `yaml:"chunk"`
}

// task is a request inside an engine.
type task struct {
	r      *request
	unread int
	left   int
	begun  bool
}

// engine simulates one model server.
type engine struct {
	id      string
	model   EngineModel
	slow    float64
	dead    bool
	queue   []*task
	running []*task
	// kept holds when shared parts were last used.
	kept     map[string]time.Duration
	keptSize map[string]int
	stepping bool
}

func newEngine(id string, m EngineModel) *engine {
	return &engine{id: id, model: m, slow: 1, kept: map[string]time.Duration{}, keptSize: map[string]int{}}
}

// add queues a request and counts what of its shared part is read again.
func (e *engine) add(now time.Duration, r *request) {
	unread := r.prompt
	if _, ok := e.kept[r.part]; ok {
		unread -= r.shared
	}
	e.kept[r.part], e.keptSize[r.part] = now, r.shared
	e.evict()
	e.queue = append(e.queue, &task{r: r, unread: max(1, unread), left: max(1, r.answer)})
}

// evict drops the least recently used parts that do not fit beside the running
// requests.
func (e *engine) evict() {
	used := 0
	for _, t := range e.running {
		used += t.r.prompt + t.r.answer
	}
	for _, n := range e.keptSize {
		used += n
	}
	for used > e.model.MemoryTokens && len(e.kept) > 1 {
		oldest := ""
		for p, at := range e.kept {
			if oldest == "" || at < e.kept[oldest] || at == e.kept[oldest] && p < oldest {
				oldest = p
			}
		}
		used -= e.keptSize[oldest]
		delete(e.kept, oldest)
		delete(e.keptSize, oldest)
	}
}

// cancel drops a request.
func (e *engine) cancel(r *request) {
	drop := func(ts []*task) []*task {
		out := ts[:0]
		for _, t := range ts {
			if t.r != r {
				out = append(out, t)
			}
		}
		return out
	}
	e.queue, e.running = drop(e.queue), drop(e.running)
}

// step runs one step and returns its length and the tasks that began and ended
// in it; length 0 means that there is nothing to do.
func (e *engine) step() (length time.Duration, began, ended []*task) {
	for len(e.queue) > 0 && len(e.running) < e.model.Slots {
		e.running = append(e.running, e.queue[0])
		e.queue = e.queue[1:]
	}
	if len(e.running) == 0 || e.dead {
		return 0, nil, nil
	}
	read, active := 0, 0
	keep := e.running[:0]
	for _, t := range e.running {
		if t.unread > 0 {
			n := min(t.unread, e.model.PrefillChunkTokens-read)
			t.unread -= n
			read += n
			if t.unread > 0 {
				keep = append(keep, t)
				continue
			}
		}
		active++
		t.left--
		if !t.begun {
			t.begun = true
			began = append(began, t)
		}
		if t.left > 0 {
			keep = append(keep, t)
			continue
		}
		ended = append(ended, t)
	}
	e.running = keep
	ms := e.model.StepMillis + e.model.RequestMillis*float64(active) + float64(read)/e.model.PrefillTokensPerMilli
	return time.Duration(ms * e.slow * float64(time.Millisecond)), began, ended
}
