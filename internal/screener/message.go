package screener

import (
	"errors"
)

// maxEmptyMessages is the number of empty messages in a row after which a connection is closed. The gob encoder never
// sends any.
const maxEmptyMessages = 16

var (
	errMessageTooLarge = errors.New("message is too large")
	errNoMessage       = errors.New("data is no sequence of messages")
)

// messageScanner follows the framing of a stream of the gob encoder: the length of each message comes before it, as
// one byte if it is below 128, and otherwise as the negated number of its bytes and then these bytes. The zero value
// is at the beginning of a message.
type messageScanner struct {
	// prefixLeft is the number of bytes of the length that are to come, and length is the value so far.
	prefixLeft int
	length     uint64
	// left is the number of bytes of the message that are to come, and size its whole size.
	left, size uint64
	empty      int
}

// inMessage reports whether a message has begun and has not ended.
func (m *messageScanner) inMessage() bool { return m.left > 0 || m.prefixLeft > 0 }

// scan follows data, and reports whether messages ended in it.
func (m *messageScanner) scan(b []byte, maxBytes uint64) (ended bool, err error) {
	for len(b) > 0 {
		switch {
		case m.left > 0:
			n := min(m.left, uint64(len(b)))
			m.left -= n
			b = b[n:]
			if m.left == 0 {
				ended = true
			}
			continue
		case m.prefixLeft > 0:
			m.length = m.length<<8 | uint64(b[0])
			m.prefixLeft--
		case b[0] <= 0x7f:
			m.length = uint64(b[0])
		default:
			if m.prefixLeft = -int(int8(b[0])); m.prefixLeft > 8 {
				return ended, errNoMessage
			}
			m.length = 0
		}
		b = b[1:]
		if m.prefixLeft > 0 {
			continue
		}
		if m.length > maxBytes {
			return ended, errMessageTooLarge
		}
		if m.length > 0 {
			m.empty = 0
		} else if m.empty++; m.empty > maxEmptyMessages {
			return ended, errNoMessage
		}
		m.left, m.size = m.length, m.length
	}
	return ended, nil
}

// readMessages reads from a connection of net/rpc, whose decoder allocates the memory for a message when it has read
// the length.
func (c *Conn) readMessages(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	s := c.port.screener
	ended, scanErr := c.messages.scan(p[:n], uint64(c.port.maxMessageBytes))
	if scanErr != nil {
		s.OnGiveUp(c.port.name, ReasonMessageTooLarge)
		return 0, scanErr
	}
	if ended {
		c.complete(0)
		c.markIdle()
	}
	if !c.messages.inMessage() {
		return n, err
	}
	if c.isIdleOrUnlisted() {
		c.register()
	}
	if cost := int64(c.messages.size) - freeBytes; cost > 0 && !s.charge(c, cost) {
		return 0, c.readError()
	}
	return n, err
}

// isIdleOrUnlisted reports whether the connection is not among the unfinished ones.
func (c *Conn) isIdleOrUnlisted() bool {
	c.port.screener.mu.Lock()
	defer c.port.screener.mu.Unlock()
	return c.element == nil || c.isIdle
}
