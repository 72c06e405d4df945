package messenger

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"papayapaddle/internal/admitter"
	"papayapaddle/internal/failer"
)

// pipeListener accepts the in-memory connections that its dial method opens.
type pipeListener struct {
	conns chan net.Conn
	dials int
}

func newPipeListener() *pipeListener { return &pipeListener{conns: make(chan net.Conn, 8)} }

func (l *pipeListener) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (l *pipeListener) Close() error   { close(l.conns); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial(context.Context, string, string) (net.Conn, error) {
	a, b := net.Pipe()
	l.dials++
	l.conns <- b
	return a, nil
}

// TestTimedOutCallKeepsConnection guards against closing the connection to a peer when one
// admission call times out, which would fail all other calls that are pending on it.
func TestTimedOutCallKeepsConnection(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	ln := newPipeListener()
	owner := &Messenger{Handlers: Handlers{
		Admit: func(a *AdmitArgs) AdmitReply {
			<-release
			return AdmitReply{Granted: a.Ask.ID == 1}
		},
	}}
	go func() { _ = owner.Serve(ln) }()
	defer ln.Close()
	m := &Messenger{Dial: ln.dial}
	defer m.Close()

	type result struct {
		reply AdmitReply
		err   error
	}
	firstResult := make(chan result, 1)
	go func() {
		r, err := m.Admit(context.Background(), "owner", &AdmitArgs{Ask: admitter.Request{ID: 1}})
		firstResult <- result{r, err}
	}()
	expiredCtx, cancel := context.WithDeadline(context.Background(), time.Now().Add(-time.Second))
	defer cancel()
	_, err := m.Admit(expiredCtx, "owner", &AdmitArgs{Ask: admitter.Request{ID: 2}})
	c.Assert(failer.KindOf[Kind](err), qt.Equals, KindTimeout)
	close(release)
	r := <-firstResult
	c.Assert(r.err, qt.IsNil)
	c.Assert(r.reply.Granted, qt.IsTrue)
	c.Assert(ln.dials, qt.Equals, 1)
}

// Guards against the use of a reply that is still being received after its caller has given up waiting for it.
func TestCanceledAdmissionCallReadsNoLateReply(t *testing.T) {
	c := qt.New(t)
	ln := newPipeListener()
	owner := &Messenger{Handlers: Handlers{
		Admit: func(*AdmitArgs) AdmitReply { return AdmitReply{Granted: true, Reason: "r", Running: 1} },
	}}
	go func() { _ = owner.Serve(ln) }()
	defer ln.Close()
	m := &Messenger{Dial: ln.dial}
	defer m.Close()
	for i := range uint64(2000) {
		ctx, cancel := context.WithCancel(context.Background())
		go cancel()
		reply, err := m.Admit(ctx, "owner", &AdmitArgs{Ask: admitter.Request{ID: i}})
		if err != nil {
			c.Assert(reply, qt.Equals, AdmitReply{})
		}
	}
}
