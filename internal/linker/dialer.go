package linker

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// keepAliveProbes is the number of unanswered probes after which a connection fails.
const keepAliveProbes = 3

// keepAliveOptions returns socket options that fail a connection whose peer has been
// silent for about the timeout: TCP_USER_TIMEOUT covers unacknowledged data, and
// keep-alive probes cover idle connections.
func keepAliveOptions(timeout time.Duration) (net.KeepAliveConfig, func(network, address string, c syscall.RawConn) error) {
	interval := max(time.Second, timeout/(keepAliveProbes+1))
	config := net.KeepAliveConfig{Enable: true, Idle: interval, Interval: interval, Count: keepAliveProbes}
	control := func(_, _ string, c syscall.RawConn) error {
		var err error
		if controlErr := c.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		}); controlErr != nil {
			return controlErr
		}
		return err
	}
	return config, control
}

// NewKeepAliveDialer returns a dial function whose connections fail once the peer has
// been silent for about the timeout.
func NewKeepAliveDialer(timeout time.Duration) DialFunc {
	config, control := keepAliveOptions(timeout)
	d := &net.Dialer{KeepAliveConfig: config, Control: control}
	return d.DialContext
}

// ListenKeepAlive opens a listener whose connections fail once the peer has been
// silent for about the timeout.
func ListenKeepAlive(address string, timeout time.Duration) (net.Listener, error) {
	config, control := keepAliveOptions(timeout)
	l := &net.ListenConfig{KeepAliveConfig: config, Control: control}
	return l.Listen(context.Background(), "tcp", address)
}

// ListenWithoutKeepAlive opens a listener whose connections do not detect a silent
// peer until EnableKeepAlive is called. This halves the system calls for a connection
// that is closed soon.
func ListenWithoutKeepAlive(address string) (*net.TCPListener, error) {
	l := &net.ListenConfig{KeepAlive: -1}
	ln, err := l.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return ln.(*net.TCPListener), nil
}

// EnableKeepAlive makes a connection fail once the peer has been silent for about the
// timeout.
func EnableKeepAlive(c net.Conn, timeout time.Duration) error {
	if wrapper, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = wrapper.NetConn()
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return nil
	}
	config, control := keepAliveOptions(timeout)
	if err := tcp.SetKeepAliveConfig(config); err != nil {
		return err
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	return control("", "", raw)
}

// WithBuffers limits the bytes that the kernel buffers for each connection that a dial function opens. The kernel
// takes up to twice as much memory for them.
func WithBuffers(dial DialFunc, bytes int) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			if err := errors.Join(tcp.SetReadBuffer(bytes), tcp.SetWriteBuffer(bytes)); err != nil {
				conn.Close()
				return nil, err
			}
		}
		return conn, nil
	}
}

// SetBuffers limits the bytes that the kernel buffers for each connection that a listener accepts from now on. The
// kernel takes up to twice as much memory for them.
func SetBuffers(ln *net.TCPListener, bytes int) error {
	raw, err := ln.SyscallConn()
	if err != nil {
		return err
	}
	var optionErr error
	if err := raw.Control(func(fd uintptr) {
		for _, option := range []int{unix.SO_RCVBUF, unix.SO_SNDBUF} {
			optionErr = errors.Join(optionErr, unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, option, bytes))
		}
	}); err != nil {
		return err
	}
	return optionErr
}

// SetBacklog sets the maximum number of connections that wait to be accepted.
func SetBacklog(ln net.Listener, backlog int) error {
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = unix.Listen(int(fd), backlog) }); err != nil {
		return err
	}
	return listenErr
}
