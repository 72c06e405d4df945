package messenger

import (
	"bytes"
	"encoding/gob"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"papayapaddle/internal/pacer"
)

// previousGossip and previousFetchServersArgs are what the release before sends and expects; it knows no eras.
type (
	previousGossip struct {
		From           Peer
		Version        uint64
		ProvenAgo      time.Duration
		ServersChanged uint64
		ServersAgo     time.Duration
		Contact        time.Duration
	}
	previousFetchServersArgs struct{ After uint64 }
)

// Guards against messages that routers of this release and of the one before cannot decode during an upgrade.
func TestMessagesOfPreviousRelease(t *testing.T) {
	c := qt.New(t)
	convert := func(from, to any) {
		var b bytes.Buffer
		c.Assert(gob.NewEncoder(&b).Encode(from), qt.IsNil)
		c.Assert(gob.NewDecoder(&b).Decode(to), qt.IsNil)
	}
	previous := previousGossip{From: Peer{Name: "p"}, Version: 3, ProvenAgo: 5, ServersChanged: 7, ServersAgo: 9, Contact: 11}
	var received Gossip
	convert(previous, &received)
	c.Assert(received, qt.DeepEquals, Gossip{
		From: previous.From, Version: 3, ProvenAgo: 5, ServersChanged: 7, ServersAgo: 9, Contact: 11,
	})
	received.KnowsEras, received.StoreEra = true, 2
	received.Cold, received.ColdSeen = pacer.ColdUpdate{News: []pacer.ColdNews{{Server: "s", Remaining: time.Second}}, Till: 3}, 4
	var back previousGossip
	convert(received, &back)
	c.Assert(back, qt.Equals, previous)
	var args previousFetchServersArgs
	convert(FetchServersArgs{After: 7, Era: 2}, &args)
	c.Assert(args.After, qt.Equals, uint64(7))
}
