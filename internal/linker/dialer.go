package linker

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// keepAlives is the number of probes without an answer that end a connection.
const keepAlives = 3

// probing makes a connection that went silent fail after about the given time:
// sent bytes by the user timeout, and connections that only wait by probes.
func probing(silence time.Duration) (net.KeepAliveConfig, func(network, address string, c syscall.RawConn) error) {
	each := max(time.Second, silence/(keepAlives+1))
	config := net.KeepAliveConfig{Enable: true, Idle: each, Interval: each, Count: keepAlives}
	control := func(_, _ string, c syscall.RawConn) error {
		var err error
		if cerr := c.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
		}); cerr != nil {
			return cerr
		}
		return err
	}
	return config, control
}

// NewDialer returns a dial function whose connections fail once the other side
// has been silent for about the given time.
func NewDialer(silence time.Duration) DialFunc {
	config, control := probing(silence)
	d := &net.Dialer{KeepAliveConfig: config, Control: control}
	return d.DialContext
}

// Listen opens a listener whose connections fail like those of NewDialer.
func Listen(address string, silence time.Duration) (net.Listener, error) {
	config, control := probing(silence)
	l := &net.ListenConfig{KeepAliveConfig: config, Control: control}
	return l.Listen(context.Background(), "tcp", address)
}

// Accepting returns a listener whose connections do not fail by themselves until
// Probe was called on them, which saves half of the system calls for one that is
// closed soon.
func Accepting(address string) (*net.TCPListener, error) {
	l := &net.ListenConfig{KeepAlive: -1}
	ln, err := l.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return ln.(*net.TCPListener), nil
}

// Probe makes a connection fail once the other side has been silent for about
// the given time.
func Probe(c net.Conn, silence time.Duration) error {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return nil
	}
	config, control := probing(silence)
	if err := tcp.SetKeepAliveConfig(config); err != nil {
		return err
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	return control("", "", raw)
}

// LimitQueue changes the number of connections that may wait to be accepted.
func LimitQueue(ln net.Listener, n int) error {
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	var lerr error
	if err := raw.Control(func(fd uintptr) { lerr = unix.Listen(int(fd), n) }); err != nil {
		return err
	}
	return lerr
}
