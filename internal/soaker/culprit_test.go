package soaker

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// culprit is what crashes servers.
type culprit string

const (
	// deadlyPart is a part of many prompts, deadlyStream and deadlyBooking are single requests that callers repeat.
	deadlyPart    culprit = "deadly"
	deadlyStream  culprit = "deadly-stream"
	deadlyBooking culprit = "deadly-booking"
	// deadlyBody is the body of the single requests.
	deadlyBody = "deadly"
)

// maxDeadlyRequests is the number of requests that may reach servers once their culprit has reached
// crashesBeforeVerdict of them.
const (
	maxDeadlyRequests    = 3
	crashesBeforeVerdict = 5
)

// culpritRecord is what callers and servers observe of a culprit.
type culpritRecord struct {
	// reachedBy holds when the requests that reached servers were sent.
	reachedBy []time.Time
	// firstRefused is when the first request that was refused for the culprit was sent, or zero.
	firstRefused time.Time
}

func (s *soak) culpritRecord(c culprit) *culpritRecord {
	if s.culprits[c] == nil {
		s.culprits[c] = &culpritRecord{}
	}
	return s.culprits[c]
}

func (r *culpritRecord) addRefused(sentAt time.Time) {
	if r.firstRefused.IsZero() || sentAt.Before(r.firstRefused) {
		r.firstRefused = sentAt
	}
}

// evidenceLoss is a span without the store at whose end all routers were killed. Nobody can know what ended servers in it.
type evidenceLoss struct{ from, to time.Time }

// isLost reports whether the evidence of a request that was sent at a time is lost. It is not if a request had been refused for it.
func (r *culpritRecord) isLost(sentAt time.Time, losses []evidenceLoss) bool {
	return slices.ContainsFunc(losses, func(l evidenceLoss) bool {
		return sentAt.After(l.from) && sentAt.Before(l.to) && (r.firstRefused.IsZero() || l.to.Before(r.firstRefused))
	})
}

// tooMany describes how many requests that were sent after a time, later than the effects of any fault, reached servers,
// or returns an empty string if these are not too many.
func (r *culpritRecord) tooMany(since time.Time, losses []evidenceLoss) string {
	before, n := 0, 0
	for _, sentAt := range r.reachedBy {
		switch {
		case sentAt.After(since):
			n++
		case !r.isLost(sentAt, losses):
			before++
		}
	}
	if limit := max(0, crashesBeforeVerdict-before) + maxDeadlyRequests; n > limit {
		return fmt.Sprintf("%d requests reached servers, which %d had reached before; %d were allowed", n, before, limit)
	}
	return ""
}

// checkCulprits checks how many requests with each culprit reached servers that were sent after a time.
func (s *soak) checkCulprits(since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, r := range s.culprits {
		if reason := r.tooMany(since, s.evidenceLosses); reason != "" {
			s.violations = append(s.violations, fmt.Sprintf("after the last fault, with %q %s", c, reason))
		}
	}
}

// Guards against a check of culprits that counts evidence which nobody could keep, or that leaves out other evidence.
func TestCulpritRecord(t *testing.T) {
	start := time.Now()
	at := func(seconds ...int) (out []time.Time) {
		for _, n := range seconds {
			out = append(out, start.Add(time.Duration(n)*time.Second))
		}
		return out
	}
	const calmSecond = 10
	for _, test := range []struct {
		name             string
		reached, refused []time.Time
		// lost are the beginning and the end of a span without the store.
		lost []time.Time
		want bool
	}{
		{name: "three after five", reached: at(1, 2, 3, 4, 5, 11, 12, 13), want: false},
		{name: "four after five", reached: at(1, 2, 3, 4, 5, 11, 12, 13, 14), want: true},
		{name: "eight after the last fault", reached: at(11, 12, 13, 14, 15, 16, 17, 18), want: false},
		{name: "nine after the last fault", reached: at(11, 12, 13, 14, 15, 16, 17, 18, 19), want: true},
		{name: "six after two", reached: at(1, 2, 11, 12, 13, 14, 15, 16), want: false},
		{name: "seven after two", reached: at(1, 2, 11, 12, 13, 14, 15, 16, 17), want: true},
		{name: "evidence of five lost", reached: at(1, 2, 3, 4, 5, 11, 12, 13, 14), lost: at(0, 6), want: false},
		{name: "evidence of five lost, then nine", reached: at(1, 2, 3, 4, 5, 11, 12, 13, 14, 15, 16, 17, 18, 19), lost: at(0, 6), want: true},
		{name: "evidence of two of five lost", reached: at(1, 2, 4, 5, 6, 11, 12, 13, 14, 15, 16), lost: at(0, 3), want: true},
		{name: "five before the store was away", reached: at(1, 2, 3, 4, 5, 11, 12, 13, 14), lost: at(6, 7), want: true},
		{name: "routers killed after a verdict", reached: at(1, 2, 3, 4, 5, 11, 12, 13, 14), lost: at(0, 7), refused: at(6), want: true},
		{name: "routers killed before a verdict", reached: at(1, 2, 3, 11, 12, 13, 14), lost: at(0, 7), refused: at(15), want: false},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := &culpritRecord{reachedBy: test.reached}
			for _, sentAt := range test.refused {
				r.addRefused(sentAt)
			}
			var losses []evidenceLoss
			if len(test.lost) > 0 {
				losses = []evidenceLoss{{from: test.lost[0], to: test.lost[1]}}
			}
			reason := r.tooMany(at(calmSecond)[0], losses)
			qt.Check(t, reason != "", qt.Equals, test.want, qt.Commentf("%s", reason))
		})
	}
}
