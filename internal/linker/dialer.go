package linker

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// keepAliveProbes is the number of probes without an answer that end a connection.
const keepAliveProbes = 3

// keepAliveOptions makes a connection that went silent fail after about the given time:
// sent bytes by the user timeout, and connections that only wait by probes.
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

// NewKeepAliveDialer returns a dial function whose connections fail once the other side
// has been silent for about the given time.
func NewKeepAliveDialer(timeout time.Duration) DialFunc {
	config, control := keepAliveOptions(timeout)
	d := &net.Dialer{KeepAliveConfig: config, Control: control}
	return d.DialContext
}

// ListenKeepAlive opens a listener whose connections fail like those of NewDialer.
func ListenKeepAlive(address string, timeout time.Duration) (net.Listener, error) {
	config, control := keepAliveOptions(timeout)
	l := &net.ListenConfig{KeepAliveConfig: config, Control: control}
	return l.Listen(context.Background(), "tcp", address)
}

// ListenWithoutKeepAlive returns a listener whose connections do not fail by themselves until
// Probe was called on them, which saves half of the system calls for one that is
// closed soon.
func ListenWithoutKeepAlive(address string) (*net.TCPListener, error) {
	l := &net.ListenConfig{KeepAlive: -1}
	ln, err := l.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return ln.(*net.TCPListener), nil
}

// EnableKeepAlive makes a connection fail once the other side has been silent for about
// the given time.
func EnableKeepAlive(c net.Conn, timeout time.Duration) error {
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

// SetBacklog changes the number of connections that may wait to be accepted.
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
