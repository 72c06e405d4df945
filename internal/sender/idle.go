package sender

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// isIdle reports, without blocking, whether an unused connection is open and has received
// nothing.
func (c *conn) isIdle() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		// Connections in tests have no file descriptor.
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		// Both data and end of file are unexpected on an unused connection.
		open = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && open
}
