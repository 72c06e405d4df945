package pacer

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against bursts beyond the rate, after pauses and changes of the rate, and against a pace that never
// lets the next request start.
func TestRateHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const window = 4 * time.Second
		perSecond := rapid.Float64Range(0, 40).Draw(rt, "rate")
		p, start := Pacer{}, time.Unix(1000, 0)
		if rapid.Bool().Draw(rt, "slower before") {
			p.Take(start, 0)
		}
		now := start
		var starts []time.Time
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(rt, "ms")) * time.Millisecond)
			for range rapid.IntRange(0, 30).Draw(rt, "wanted") {
				next := p.Next(now, perSecond)
				if wait := next.Sub(now); wait > Interval(perSecond) {
					rt.Fatalf("the next request waits %v, the interval is %v", wait, Interval(perSecond))
				}
				if next.After(now) {
					break
				}
				p.Take(now, perSecond)
				starts = append(starts, now)
			}
		}
		most := int((window+burstTime)/Interval(perSecond)) + 1
		for i := range starts {
			n := 0
			for _, at := range starts[i:] {
				if at.Sub(starts[i]) < window {
					n++
				}
			}
			if n > most {
				rt.Fatalf("%d starts in %v at %v a second, at most %d are allowed", n, window, perSecond, most)
			}
		}
	})
}
