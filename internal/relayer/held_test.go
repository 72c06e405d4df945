package relayer

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"papayapaddle/internal/sender"
)

// Guards against memory for responses beyond the budget of the router or of a workspace, and against memory that is
// never released, with clients that read for any time.
func TestResponseBudgetHolds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const maxBytes = 1000
		type response struct {
			workspace            string
			bytes                int64
			start, reading, kept time.Duration
		}
		responses := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) response {
			ms := func(label string, most int) time.Duration {
				return time.Duration(rapid.IntRange(0, most).Draw(rt, label)) * time.Millisecond
			}
			return response{
				workspace: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "workspace"), bytes: int64(rapid.IntRange(1, maxBytes/2).Draw(rt, "bytes")),
				start: ms("start", 3000), reading: ms("receive", 1000), kept: ms("write", 20_000),
			}
		}), 1, 20).Draw(rt, "responses")
		synctest.Test(t, func(t *testing.T) {
			b := &ResponseBudget{MaxBytes: maxBytes}
			var workers sync.WaitGroup
			for _, r := range responses {
				workers.Go(func() {
					time.Sleep(r.start)
					if err := b.Reserve(t.Context(), r.workspace, r.bytes); err != nil {
						t.Error(err)
						return
					}
					b.mu.Lock()
					if used, own := b.used, b.byWorkspace[r.workspace]; used > maxBytes || own > maxBytes/2 {
						t.Errorf("%d bytes are held, %d of workspace %s", used, own, r.workspace)
					}
					b.mu.Unlock()
					time.Sleep(r.reading)
					ctx, cancel := context.WithTimeout(t.Context(), r.kept)
					defer cancel()
					_, end := b.begin(r.workspace, 0, func(time.Time) { cancel() })
					<-ctx.Done()
					end()
					b.Release(r.workspace, r.bytes)
				})
			}
			workers.Wait()
			if b.UsedBytes() != 0 || len(b.byWorkspace) != 0 || b.writes.Len() != 0 {
				t.Errorf("%d bytes of %d workspaces and %d writes are left", b.UsedBytes(), len(b.byWorkspace), b.writes.Len())
			}
		})
	})
}

// Guards against a client that is cut off though another one reads more slowly, or though only the other one's
// workspace holds too much.
func TestSlowestReaderIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		b := &ResponseBudget{MaxBytes: 1000}
		var cut []string
		var advance []func()
		write := func(name, workspace string, n int64) func() {
			defer time.Sleep(time.Second)
			progress, end := b.begin(workspace, n, func(time.Time) { cut = append(cut, name) })
			advance = append(advance, progress)
			return end
		}
		ends := []func(){write("a1", "a", 300), write("b1", "b", 100), write("b2", "b", 200)}
		c.Assert(b.Stalled(time.Now()), qt.Equals, int64(3))
		// The client of b1 goes on reading, that of b2 does not.
		advance[1]()
		c.Assert(b.Stalled(time.Now()), qt.Equals, int64(2))
		c.Assert(b.CutSlowest(time.Now(), 10*time.Second), qt.IsFalse)
		c.Assert(cut, qt.HasLen, 0)
		ends = append(ends, write("b3", "b", 250))
		c.Assert(cut, qt.DeepEquals, []string{"b2"}, qt.Commentf("workspace b holds over half of the budget"))
		ends[2]()
		ends = append(ends, write("c1", "c", 400))
		c.Assert(cut, qt.DeepEquals, []string{"b2", "a1"}, qt.Commentf("the budget is exceeded"))
		for i, end := range ends {
			if i != 2 {
				end()
			}
		}
		c.Assert(b.UsedBytes(), qt.Equals, int64(0))
	})
}

// blockedWriter is a client that does not read a longer response.
type blockedWriter struct {
	http.ResponseWriter
	closed chan struct{}
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	if len(p) > coveredBytes/2 {
		<-w.closed
		return 0, io.ErrClosedPipe
	}
	return w.ResponseWriter.Write(p)
}

func (w *blockedWriter) SetWriteDeadline(t time.Time) error {
	if time.Until(t) <= 0 {
		close(w.closed)
	}
	return nil
}

// Guards against a response that is lost since the memory is held for a client that does not read.
func TestResponseWaitsForSlowReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		b := &ResponseBudget{MaxBytes: 400 << 10}
		body := strings.Repeat("x", 150<<10)
		var finished []string
		respond := func(id string, w http.ResponseWriter) {
			x := &exchange{Relayer: &Relayer{ResponseBudget: b, Log: func(string, ...any) {}}, admittedWorkspace: "demo"}
			x.req, x.respCtl = httptest.NewRequest("GET", "/", nil), http.NewResponseController(w)
			x.w, x.call.Deadline = &heldWriter{w, x}, time.Now().Add(time.Minute)
			defer x.releaseResponse()
			data, err := x.readResponse(&sender.Response{Body: strings.NewReader(body), ContentLength: int64(len(body))})
			c.Check(err, qt.IsNil)
			c.Check(string(data) == body, qt.IsTrue)
			_, err = x.w.Write(data)
			if err == nil {
				finished = append(finished, id)
			}
		}
		go respond("slow", &blockedWriter{httptest.NewRecorder(), make(chan struct{})})
		time.Sleep(time.Second)
		respond("next", httptest.NewRecorder())
		synctest.Wait()
		c.Check(finished, qt.DeepEquals, []string{"next"})
		c.Check(b.UsedBytes(), qt.Equals, int64(0))
	})
}
