package screener

import (
	"bytes"
	"encoding/gob"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Guards against more memory for unfinished requests than the budget, and against requests that are given up though
// others have been unfinished for longer.
func TestBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxBytes = 100_000
		s := &Screener{
			MaxBytes: maxBytes, OnGiveUp: func(string, string) {},
			Limits: func() Limits {
				return Limits{MaxHeaderBytes: 1 << 20, HeaderTimeout: time.Hour, IdleTimeout: time.Hour}
			},
		}
		ports := []*Port{s.NewPort("callers", 0), s.NewPort("ready", 3)}
		var conns []*Conn
		var unfinished []*Conn
		open := map[*Port]int{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			before := slices.Clone(unfinished)
			var c *Conn
			if len(conns) > 0 {
				c = conns[rapid.IntRange(0, len(conns)-1).Draw(t, "connection")]
			}
			switch op := rapid.SampledFrom([]string{"open", "read", "read", "active", "idle", "close"}).Draw(t, "op"); {
			case op == "open":
				server, _ := net.Pipe()
				if c = rapid.SampledFrom(ports).Draw(t, "port").Wrap(server, nil); c != nil {
					conns = append(conns, c)
				}
			case c == nil || c.gone:
			case op == "read" && c.inHead:
				c.Count(bytes.Repeat([]byte("a:\r\n"), rapid.IntRange(1, 400).Draw(t, "lines")))
			case op == "active":
				c.SetState(http.StateActive)
			case op == "idle" && !c.inHead:
				c.SetState(http.StateIdle)
			case op == "close":
				c.Close()
			}
			used := int64(0)
			clear(open)
			unfinished = unfinished[:0]
			for _, c := range conns {
				used += c.charged
				if !c.gone {
					open[c.port]++
				}
				if c.element != nil && !c.isIdle {
					unfinished = append(unfinished, c)
				}
			}
			if used != s.UsedBytes() || used > maxBytes {
				t.Fatalf("connections count for %d bytes, the budget says %d of %d", used, s.UsedBytes(), maxBytes)
			}
			for _, p := range ports {
				if p.open != open[p] || p.maxConns > 0 && p.open > p.maxConns {
					t.Fatalf("%s: %d connections are open, the port says %d of %d", p.name, open[p], p.open, p.maxConns)
				}
			}
			for _, victim := range before {
				if !victim.gone || victim == c {
					continue
				}
				for _, other := range unfinished {
					if other.port == victim.port && other.since.Before(victim.since) {
						t.Fatal("a request was given up though another one has been unfinished for longer")
					}
				}
			}
		}
	})
}

// Guards against messages of peers that are taken for too large, or are not found out, because they arrive in pieces.
func TestMessagesInPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxBytes = 3000
		var stream bytes.Buffer
		encoder := gob.NewEncoder(&stream)
		// The encoder sends a description of the type before the first value.
		descriptions, tooLarge := 1, false
		sizes := rapid.SliceOfN(rapid.SampledFrom([]int{0, 1, 100, 127, 128, 255, 256, 2900, 3100, 70_000}), 1, 8).Draw(t, "sizes")
		for _, size := range sizes {
			tooLarge = tooLarge || size > maxBytes
			if err := encoder.Encode(struct{ Text string }{strings.Repeat("x", size)}); err != nil {
				t.Fatal(err)
			}
		}
		var m messageScanner
		ends := 0
		for data := stream.Bytes(); len(data) > 0; {
			n := min(len(data), rapid.SampledFrom([]int{1, 2, 50, 4096}).Draw(t, "piece"))
			// Message by message, so that the ends can be counted.
			for i := range n {
				ended, err := m.scan(data[i:i+1], maxBytes)
				if err != nil {
					if !tooLarge {
						t.Fatal(err)
					}
					return
				}
				if ended {
					ends++
				}
			}
			data = data[n:]
		}
		if tooLarge || ends != len(sizes)+descriptions || m.inMessage() {
			t.Fatalf("%d messages ended, want %d, too large: %v, within a message: %v", ends, len(sizes)+descriptions, tooLarge, m.inMessage())
		}
	})
}

// Guards against lengths that overflow, and against a connection that is busy for ever with messages without content.
func TestInvalidMessages(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		data string
		err  error
	}{
		{"\xf8\xff\xff\xff\xff\xff\xff\xff\xff", errMessageTooLarge},
		{"\xfc\x7f\xff\xff\xff", errMessageTooLarge},
		{"\xf7\x01", errNoMessage},
		{"\x80", errNoMessage},
		{strings.Repeat("\x00", maxEmptyMessages+1), errNoMessage},
		{strings.Repeat("\x00", maxEmptyMessages) + "\x01x", nil},
	} {
		_, err := new(messageScanner).scan([]byte(test.data), 1<<20)
		c.Check(err, qt.Equals, test.err, qt.Commentf("%q", test.data))
	}
}
