package emulator

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// A call with the text of the fault aborts the streams in progress, and the engine takes no more calls.
func TestCrashTextEndsEngine(t *testing.T) {
	c := qt.New(t)
	e := NewEngine("e", 1, DefaultEngineConfig)
	e.SetFault(Fault{CrashText: "deadly"})
	s := httptest.NewServer(e)
	defer s.Close()
	post := func(prompt string) (*http.Response, error) {
		return http.Post(s.URL+"/v1/completions", "application/json",
			strings.NewReader(`{"stream": true, "max_tokens": 20000, "emulate_tokens": 20000, "prompt": "`+prompt+`"}`))
	}
	sound, err := post("sound")
	c.Assert(err, qt.IsNil)
	defer sound.Body.Close()
	c.Assert(sound.StatusCode, qt.Equals, http.StatusOK)
	_, err = post("a deadly prompt")
	c.Assert(err, qt.IsNotNil)
	_, err = io.Copy(io.Discard, sound.Body)
	c.Assert(err, qt.IsNotNil, qt.Commentf("the stream in progress ended as if it were complete"))
	_, err = post("sound")
	c.Assert(err, qt.IsNotNil)
}

// Systems that were told to be silent used to serve on, or not to go on.
func TestSilentSystemsGoOn(t *testing.T) {
	const silence = 1500 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		engine := NewEngine("e", 1, EngineConfig{TokenInterval: 10 * time.Millisecond, FullSpeedBatch: 4, TokensPerEvent: 1})
		service := NewService("s", 1, &ExecutionLog{})
		completion := func() *http.Request {
			return httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(`{"stream": true, "max_tokens": 4}`))
		}
		start := time.Now()
		// The silence begins within the stream.
		time.AfterFunc(25*time.Millisecond, func() { engine.SetFault(Fault{SilentMillis: 1500}) })
		w := httptest.NewRecorder()
		engine.ServeHTTP(w, completion())
		c.Assert(time.Since(start), qt.Equals, 25*time.Millisecond+silence)
		c.Assert(strings.HasSuffix(w.Body.String(), "data: [DONE]\n\n"), qt.IsTrue, qt.Commentf(w.Body.String()))

		start = time.Now()
		service.SetFault(Fault{SilentMillis: 1500})
		w = httptest.NewRecorder()
		service.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/visits", strings.NewReader("{}")))
		c.Assert(time.Since(start), qt.Equals, silence)
		c.Assert(w.Code, qt.Equals, http.StatusOK)
	})
}
