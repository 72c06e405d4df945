package refuser

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"os"
	"syscall"
)

// Socket is a new connection that the runtime does not poll yet. A connection that is
// refused at once never needs to be polled, which saves most of its system calls.
type Socket int

// Accepter accepts sockets from a listener, beside that.
type Accepter struct {
	file *os.File
	raw  syscall.RawConn
}

// NewAccepter returns an accepter of a listener.
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

// Close ends the accepter; the listener stays.
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

// Conn makes a connection of it that the runtime polls.
func (s Socket) Conn() (net.Conn, error) {
	f := os.NewFile(uintptr(s), "caller")
	defer f.Close()
	return net.FileConn(f)
}

// TryRefuse refuses a request that has arrived whole on a new connection, and closes that. If
// it has not, or may be served, done is false, and read is what was read.
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
			// Its caller has left; nothing was answered, and nothing will run.
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
		// The answer fits what a new connection takes; a caller who has left needs none.
		_, _ = syscall.Write(int(s), refusal.encode())
		_ = s.Close()
		return nil, true
	}
	return bytes.Clone(b.data[:b.length]), false
}
