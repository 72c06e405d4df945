package evacuator

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"papayapaddle/internal/watcher"
)

// Guards against a router that sends requests to any zone before it knows which are evacuated, against an older set that ends an
// evacuation, and against evacuations that a restored store lacks and that end before the operators can write them again, or never.
func TestLatestSetIsInForce(t *testing.T) {
	c := qt.New(t)
	var e Evacuator
	c.Assert(e.Evacuated("a"), qt.IsTrue)
	c.Assert(e.Listed("a"), qt.IsFalse)
	now := time.Hour
	for _, step := range []struct {
		era, version uint64
		zones        string
		fromStore    bool
		want         string
	}{
		{1, 5, "a", true, "a"},
		{1, 4, "b", true, "a"},
		{1, 5, "b", false, "a b"},
		{1, 6, "b", false, "b"},
		{1, 6, "a b", false, "a b"},
		{2, 3, "c", false, "a b c"},
		{1, 9, "d", false, "a b c"},
		{2, 4, "a", false, "a b"},
		{2, 5, "", false, "b"},
		{1, 9, "d", true, "b d"},
	} {
		now += time.Millisecond
		before := e.Zones()
		result := e.Apply(now, Set{watcher.Position{Era: step.era, Version: step.version}, strings.Fields(step.zones)}, step.fromStore)
		c.Assert(strings.Join(slices.Sorted(maps.Keys(e.Zones())), " "), qt.Equals, step.want, qt.Commentf("%+v", step))
		began, ended := 0, 0
		for _, change := range result.Changes {
			_, was := before[change.Zone]
			c.Assert(was, qt.Equals, !change.Began)
			if change.Began {
				began++
			} else {
				ended++
			}
		}
		c.Assert(len(before)+began-ended, qt.Equals, len(e.Zones()))
	}
	c.Assert(e.Tick(now+RewriteTime-10*time.Millisecond), qt.HasLen, 0)
	c.Assert(e.Tick(now+RewriteTime), qt.HasLen, 1)
	c.Assert(slices.Sorted(maps.Keys(e.Zones())), qt.DeepEquals, []string{"d"})
}

// Guards against zones that grow without bound, also while those of several eras are held.
func TestZonesAreBounded(t *testing.T) {
	c := qt.New(t)
	var e Evacuator
	for era := range uint64(4) {
		zones := []string{strings.Repeat("x", MaxNameBytes+1), ""}
		for i := range 2 * MaxZones {
			zones = append(zones, fmt.Sprint(era, "/", i), fmt.Sprint(era, "/", i))
		}
		result := e.Apply(time.Hour, Set{watcher.Position{Era: era}, zones}, true)
		c.Assert(result.Ignored, qt.Equals, MaxZones+2)
		c.Assert(len(e.Zones()) <= 2*MaxZones, qt.IsTrue)
		c.Assert(e.Listed(""), qt.IsTrue)
	}
}

// Guards against requests that a process which was suspended, say for ten seconds, sends to a zone that was evacuated meanwhile, and
// against one that sends none for long as neither the store nor a peer can be reached.
func TestNothingIsSentAfterSuspension(t *testing.T) {
	c := qt.New(t)
	var e Evacuator
	c.Assert(e.Resuming(time.Hour), qt.IsFalse)
	e.Tick(time.Hour)
	e.Confirm(time.Hour)
	c.Assert(e.Resuming(time.Hour+maxGap), qt.IsFalse)
	now := time.Hour + 10*time.Second
	c.Assert(e.Resuming(now), qt.IsTrue)
	e.Tick(now)
	c.Assert(e.Resuming(now+maxResumeTime-1), qt.IsTrue)
	c.Assert(e.Resuming(now+maxResumeTime), qt.IsFalse)
	e.Confirm(now - 1)
	c.Assert(e.Resuming(now), qt.IsTrue)
	e.Confirm(now)
	c.Assert(e.Resuming(now), qt.IsFalse)
}

// Guards against changes that count as recent though this router has learned of them late, from a peer, or at its start.
func TestRecentChanges(t *testing.T) {
	c := qt.New(t)
	var e Evacuator
	now := time.Hour
	for version, step := range []struct {
		after                 time.Duration
		zones                 string
		fromStore, wantRecent bool
	}{
		{0, "a", true, false},
		{maxGap, "", true, true},
		{maxGap + 1, "a", true, false},
		{time.Millisecond, "", false, false},
	} {
		now += step.after
		set := Set{watcher.Position{Era: 1, Version: uint64(version)}, strings.Fields(step.zones)}
		changes := e.Apply(now, set, step.fromStore).Changes
		e.Confirm(now)
		c.Assert(changes, qt.HasLen, 1)
		c.Check(changes[0].Recent, qt.Equals, step.wantRecent, qt.Commentf("%+v", step))
	}
}
