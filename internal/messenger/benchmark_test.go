package messenger

import (
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	"papayapaddle/internal/admitter"
	"papayapaddle/internal/pacer"
	"papayapaddle/internal/quarantiner"
)

// counter counts the bytes written to it.
type counter struct{ n int }

func (c *counter) Write(p []byte) (int, error) {
	c.n += len(p)
	return len(p), nil
}

// BenchmarkGossipEncoding measures the size and the encoding time of a gossip message on an
// open connection.
func BenchmarkGossipEncoding(b *testing.B) {
	// 0 is a message between a leaf and its hub, which has no loads and grants.
	for _, workspaces := range []int{0, 4, 8, 30} {
		b.Run(fmt.Sprint(workspaces), func(b *testing.B) {
			benchmarkGossip(b, workspaces, 0, 0)
		})
	}
	// Evidence about prompt parts is sent after the end of a server only.
	for _, parts := range []int{10, 32} {
		b.Run(fmt.Sprint("evidence about ", parts, " parts"), func(b *testing.B) {
			benchmarkGossip(b, 0, parts, 0)
		})
	}
	// Cold periods are sent once after a change.
	for _, cold := range []int{1, 10, 64} {
		b.Run(fmt.Sprint(cold, " cold servers"), func(b *testing.B) {
			benchmarkGossip(b, 0, 0, cold)
		})
	}
}

func benchmarkGossip(b *testing.B, workspaces, parts, cold int) {
	gossip := Gossip{
		From: Peer{
			Name: "edge-graz-a-12", Address: "10.1.0.36:7400", AvailabilityZone: "graz-a", Incarnation: 1 << 56,
		},
		Version:   19,
		ProvenAgo: 300 * time.Millisecond, ServersChanged: 4000, StoreEra: 2, KnowsEras: true, ServersAgo: 300 * time.Millisecond,
		Contact: time.Minute,
		Grants:  Grants{Tokens: map[string]uint{}, Till: 12345}, GrantsSeen: 12345,
		Evacuations: Evacuations{Known: true, Era: 2, Version: 4000, Ago: 300 * time.Millisecond},
	}
	for i := range cold {
		gossip.Cold.News = append(gossip.Cold.News, pacer.ColdNews{
			Server: fmt.Sprintf("i-%010d", i), StartedUnixMilli: 1_790_000_000_000, Remaining: 3 * time.Second, Hops: 1,
		})
	}
	for i := range min(3, workspaces) {
		gossip.Loads = append(gossip.Loads, admitter.Load{Server: fmt.Sprintf("i-%010d", i), Wait: 123456789})
	}
	for i := range workspaces {
		gossip.Tokens[fmt.Sprintf("name%04d", i)] = 12345 * uint(i+1)
	}
	for range 2 {
		gossip.Known = append(gossip.Known, gossip.From)
	}
	for i := range parts {
		evidence := quarantiner.Evidence{Part: quarantiner.PartKey("service", "m", fmt.Sprint(i))}
		for j := range 2 {
			evidence.Crashes = append(evidence.Crashes, quarantiner.Crash{
				Server: quarantiner.ServerKey(fmt.Sprint(j), 1), Age: time.Second, Begun: true,
				Release: quarantiner.NewRelease("service", "v1"), Workspaces: []uint64{quarantiner.WorkspaceKey("w")},
			})
		}
		gossip.CrashEvidence = append(gossip.CrashEvidence, evidence)
	}
	c := &counter{}
	e := gob.NewEncoder(c)
	if err := e.Encode(gossip); err != nil {
		b.Fatal(err)
	}
	c.n = 0
	b.ReportAllocs()
	for b.Loop() {
		if err := e.Encode(gossip); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(c.n)/float64(b.N), "bytes/message")
}
