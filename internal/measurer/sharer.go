package measurer

import (
	"context"
	"math"
	"time"

	"papayapaddle/internal/demonstrator"
	"papayapaddle/internal/emulator"
	"papayapaddle/internal/loader"
)

const (
	// sampleEvery is the period of samples.
	sampleEvery = 100 * time.Millisecond
	// warmup is left out of the samples: the first second is the take-over wait.
	warmup = 3 * time.Second
	// drainTime ends the requests that are open at the end of a run.
	drainTime = 200 * time.Millisecond
)

// backlog returns the flow of a workspace that is backlogged throughout.
func backlog(i int, d *demonstrator.Deployment, outstanding int) loader.Flow {
	urls := routersOf(i, d.Members)
	return loader.Flow{
		Workspace: workspaceName(i), Key: demonstrator.KeyOf(workspaceName(i)), Path: "/v1/completions",
		Model: emulator.ModelName, URLs: urls, Outstanding: max(2, outstanding/len(urls)),
		Cost: loader.LogUniform(leastTokens, mostTokens), HintError: 4,
	}
}

// outstandingOf keeps a workspace backlogged: more requests than its share of
// all slots can hold.
func outstandingOf(i int) int {
	total := largeWeight*largeCount + workspaceCount - largeCount
	share := float64(engines*engineSlots) * weightOf(i) / float64(total)
	return int(4 * share)
}

// backlogAll keeps every workspace backlogged.
func backlogAll(d *demonstrator.Deployment) []loader.Flow {
	var fs []loader.Flow
	for i := range workspaceCount {
		fs = append(fs, backlog(i, d, outstandingOf(i)))
	}
	return fs
}

// gap returns the largest difference of weighted service between the named
// workspaces, counted from a base.
func gap(now, base map[string]float64, of []int) float64 {
	least, most := math.Inf(1), math.Inf(-1)
	for _, i := range of {
		w := workspaceName(i)
		v := (now[w] - base[w]) / weightOf(i)
		least, most = min(least, v), max(most, v)
	}
	return most - least
}

// fairness keeps all workspaces backlogged, one with false hints, and two that
// stop and start; the latter are not compared.
func fairness(ctx context.Context, o Options) ([]Figure, error) {
	d, _, err := today(ctx, o)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	plan := loader.Plan{Seed: o.Seed, Length: o.Length, Drain: drainTime}
	var throughout []int
	for i := range workspaceCount {
		f := backlog(i, d, outstandingOf(i))
		switch i {
		case workspaceCount - 1:
			f.HintFactor = 0.01
		case workspaceCount - 2, workspaceCount - 3:
			plan.Flows = append(plan.Flows, stopAndStart(f, o.Length)...)
			continue
		}
		throughout = append(throughout, i)
		plan.Flows = append(plan.Flows, f)
	}
	run := loader.Start(ctx, plan)
	early, late, final := sampleGaps(ctx, run, throughout, o.Length)
	run.Wait()
	bound := 2.0 * mostTokens
	smallest := run.Tally(workspaceName(largeCount), 0)
	total := run.Total()
	return []Figure{
		figure("gap-worst", max(early, late), "weighted-tokens").atMost(bound),
		figure("gap-first-quarter", early, "weighted-tokens").atMost(bound),
		figure("gap-rest", late, "weighted-tokens").atMost(bound),
		figure("gap-end", final, "weighted-tokens").atMost(bound),
		figure("smallest-complete", float64(smallest.Complete), "requests").atLeast(1),
		figure("wrong-answers", float64(total.Wrong), "requests").atMost(0),
		figure("cut-answers", float64(total.Cut), "requests").atMost(0),
		figure("tokens-per-second", float64(total.Tokens)/o.Length.Seconds(), "tokens/s"),
	}, nil
}

// stopAndStart splits a flow into bursts with pauses longer than the grace that
// an idle workspace has.
func stopAndStart(f loader.Flow, length time.Duration) []loader.Flow {
	var fs []loader.Flow
	const on, off = 4 * time.Second, 6 * time.Second
	for at := time.Duration(0); at < length; at += on + off {
		one := f
		one.From, one.Till = at, at+on
		fs = append(fs, one)
	}
	return fs
}

// sampleGaps returns the worst gap of the first quarter, of the rest, and at
// the end.
func sampleGaps(ctx context.Context, run *loader.Run, of []int, length time.Duration) (early, late, final float64) {
	begin := time.Now()
	var base map[string]float64
	for time.Since(begin) < length && ctx.Err() == nil {
		time.Sleep(sampleEvery)
		at := time.Since(begin)
		if at < warmup {
			continue
		}
		now := run.Service()
		if base == nil {
			base = now
		}
		final = gap(now, base, of)
		if at < length/4 {
			early = max(early, final)
		} else {
			late = max(late, final)
		}
	}
	return early, late, final
}

// usage is the use of slots while work waited.
type usage struct {
	used, all float64
	// longest is the longest time that an engine had a free slot while work
	// waited anywhere.
	longest time.Duration
	since   []time.Time
}

// utilSampleEvery is the period of samples of the engines.
const utilSampleEvery = 5 * time.Millisecond

// sample adds one look at all engines.
func (u *usage) sample(d *demonstrator.Deployment, now time.Time, dt time.Duration) {
	if u.since == nil {
		u.since = make([]time.Time, len(d.Host.Engines))
	}
	waiting := waitingModels(d)
	for i, e := range d.Host.Engines {
		active := min(e.Stats().Active, engineSlots)
		if !waiting || active == engineSlots {
			u.since[i] = time.Time{}
		} else if u.since[i].IsZero() {
			u.since[i] = now
		} else {
			u.longest = max(u.longest, now.Sub(u.since[i]))
		}
		if waiting {
			u.used += float64(active) * dt.Seconds()
			u.all += engineSlots * dt.Seconds()
		}
	}
}

// waitingModels says whether a model request waits at any router.
func waitingModels(d *demonstrator.Deployment) bool {
	for _, m := range d.Members {
		if m.Router.WaitingRequests() > 0 {
			return true
		}
	}
	return false
}

// utilisation keeps all workspaces backlogged, unevenly over the routers, and
// looks for free slots.
func utilisation(ctx context.Context, o Options) ([]Figure, error) {
	d, _, err := today(ctx, o)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	run := loader.Start(ctx, loader.Plan{Seed: o.Seed, Length: o.Length, Drain: drainTime, Flows: backlogAll(d)})
	u := watch(ctx, d, o.Length)
	run.Wait()
	total := run.Total()
	return []Figure{
		figure("slot-time-used", u.used/u.all, "share").atLeast(0.98),
		figure("longest-idle-slot", float64(u.longest.Milliseconds()), "ms"),
		figure("tokens-per-second", float64(total.Tokens)/o.Length.Seconds(), "tokens/s"),
		figure("time-between-tokens-p95", float64(total.Between.ValueAtQuantile(95))/1000, "ms").atMost(71),
	}, nil
}

// watch samples the engines for a while after the warm-up.
func watch(ctx context.Context, d *demonstrator.Deployment, length time.Duration) *usage {
	return watchFrom(ctx, d, length, warmup)
}

func watchFrom(ctx context.Context, d *demonstrator.Deployment, length, from time.Duration) *usage {
	u := &usage{}
	begin := time.Now()
	last := begin
	for time.Since(begin) < length && ctx.Err() == nil {
		time.Sleep(utilSampleEvery)
		now := time.Now()
		if now.Sub(begin) > from {
			u.sample(d, now, now.Sub(last))
		}
		last = now
	}
	return u
}
