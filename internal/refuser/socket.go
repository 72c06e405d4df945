package refuser

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"os"
	"syscall"
)

// Socket is a new connection that is not registered with the runtime's network poller. A
// connection that is refused immediately needs no poller, which saves most of its system calls.
type Socket int

// Accepter accepts connections from a listener as Sockets, alongside the listener itself.
type Accepter struct {
	file *os.File
	raw  syscall.RawConn
}

// NewAccepter returns an Accepter for the listener.
func NewAccepter(ln *net.TCPListener) (*Accepter, error) {
	f, err := ln.File()
	if err != nil {
		return nil, err
	}
	raw, err := f.SyscallConn()
	if err != nil {
		f.Close()
		return nil, err
	}
	return &Accepter{file: f, raw: raw}, nil
}

// Close closes the Accepter and leaves the listener open.
func (a *Accepter) Close() error { return a.file.Close() }

// Accept waits for the next connection.
func (a *Accepter) Accept() (Socket, error) {
	fd, acceptErr := -1, error(nil)
	err := a.raw.Read(func(listenFD uintptr) bool {
		for {
			fd, _, acceptErr = syscall.Accept4(int(listenFD), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			if !errors.Is(acceptErr, syscall.EINTR) && !errors.Is(acceptErr, syscall.ECONNABORTED) {
				break
			}
		}
		return !errors.Is(acceptErr, syscall.EAGAIN)
	})
	if err != nil {
		return -1, err
	}
	if acceptErr != nil {
		return -1, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", acceptErr)}
	}
	return Socket(fd), nil
}

// Close closes the connection.
func (s Socket) Close() error { return syscall.Close(int(s)) }

// Conn converts the socket into a net.Conn that uses the runtime's network poller.
func (s Socket) Conn() (net.Conn, error) {
	f := os.NewFile(uintptr(s), "caller")
	defer f.Close()
	return net.FileConn(f)
}

// TryRefuse refuses the request on a new connection and closes the connection, if the request
// has arrived completely. It also closes a connection that its caller has closed. Otherwise, or
// if the request may be served, done is false and buffered holds the data read so far.
func (r *Refuser) TryRefuse(s Socket, decide func(*http.Request) *Refusal) (buffered []byte, done bool) {
	b := bufferPool.Get().(*buffer)
	defer bufferPool.Put(b)
	b.length = 0
	for b.length < len(b.data) {
		n, err := syscall.Read(int(s), b.data[b.length:])
		if errors.Is(err, syscall.EAGAIN) {
			break
		}
		if err != nil || n <= 0 {
			// The caller has closed the connection; no request will run.
			_ = s.Close()
			return nil, true
		}
		b.length += n
		req, bodyStart := parseHead(b.data[:b.length])
		if req == nil || !CanKeepAlive(req) || req.ContentLength > int64(b.length-bodyStart) {
			continue
		}
		refusal := decide(req)
		if refusal == nil {
			break
		}
		refusal.Close = true
		// The response fits in the send buffer of a new connection. The error can be
		// ignored, since a caller that has left needs no response.
		_, _ = syscall.Write(int(s), refusal.encode())
		_ = s.Close()
		return nil, true
	}
	return bytes.Clone(b.data[:b.length]), false
}
