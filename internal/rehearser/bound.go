package rehearser

import (
	"cmp"
	"slices"
)

// UpperBound is the part of the worth that one scheduler could earn that sees all
// requests and engines at once, and never leaves an engine idle: in each second the
// engines' time goes to the requests that are worth most for what they take of it, as
// if they could be cut and moved freely. It leaves out troubles of engines, so it is
// no bound for a load that has them.
func (l *Workload) UpperBound() float64 {
	var seconds [][]*request
	owed := 0.0
	for _, r := range l.arrivals() {
		s := int(r.arrived.Seconds())
		for len(seconds) <= s {
			seconds = append(seconds, nil)
		}
		seconds[s] = append(seconds[s], r)
		owed += r.worth * r.class.Value
	}
	if owed == 0 {
		return 1
	}
	// A part is read once by one engine and then kept.
	read := map[string]bool{}
	earned := 0.0
	for _, arrived := range seconds {
		cost := make(map[*request]float64, len(arrived))
		for _, r := range arrived {
			cost[r] = l.EngineModel.seconds(r, !read[r.part])
			read[r.part] = true
		}
		slices.SortStableFunc(arrived, func(a, b *request) int {
			return cmp.Compare(b.worth*b.class.Value/cost[b], a.worth*a.class.Value/cost[a])
		})
		left := float64(l.EngineCount)
		for _, r := range arrived {
			part := min(1, left/cost[r])
			earned += part * r.worth * r.class.Value
			left -= part * cost[r]
		}
	}
	return earned / owed
}

// seconds is what a request takes of an engine's time while all places are used; whole
// says that its shared part has to be read too.
func (m *EngineModel) seconds(r *request, whole bool) float64 {
	unread := r.prompt
	if !whole {
		unread -= r.shared
	}
	answer := float64(r.answer) * (m.StepMillis/float64(m.Slots) + m.RequestMillis)
	return (answer + float64(unread)/m.PrefillTokensPerMilli) / 1000
}
