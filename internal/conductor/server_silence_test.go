package conductor

import (
	"bufio"
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"

	"papayapaddle/internal/linker"
)

// setDropping lets the kernel drop or accept all packets that arrive for a connection, as if its machine stood still.
func setDropping(t *testing.T, conn net.Conn, drop bool) {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	qt.Assert(t, err, qt.IsNil)
	var optErr error
	err = raw.Control(func(fd uintptr) {
		if !drop {
			optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
			return
		}
		dropAll := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
		optErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &dropAll})
	})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, optErr, qt.IsNil)
}

// TestQuietConnectionSurvivesShortSilence guards against answers that are lost because the machine of a server stood still
// for a second or so while nothing was sent on the connection. It runs in real time, that of the kernel.
func TestQuietConnectionSurvivesShortSilence(t *testing.T) {
	for _, tt := range []struct {
		name    string
		silence time.Duration
		broken  bool
	}{
		{"one probe is lost", 600 * time.Millisecond, false},
		{"two probes are lost", 1600 * time.Millisecond, false},
		{"the machine is gone", 6 * time.Second, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			defer ln.Close()
			conn, err := linker.NewKeepAliveDialer(serverConnSilenceTimeout)(context.Background(), "tcp", ln.Addr().String())
			c.Assert(err, qt.IsNil)
			defer conn.Close()
			peer, err := ln.Accept()
			c.Assert(err, qt.IsNil)
			defer peer.Close()

			time.Sleep(700 * time.Millisecond)
			setDropping(t, peer, true)
			time.Sleep(tt.silence)
			setDropping(t, peer, false)
			time.Sleep(time.Second)
			_, _ = peer.Write([]byte("answer\n"))
			line, err := bufio.NewReader(conn).ReadString('\n')
			if tt.broken {
				c.Assert(err, qt.Not(qt.IsNil))
				return
			}
			c.Assert(err, qt.IsNil)
			c.Assert(line, qt.Equals, "answer\n")
		})
	}
}
