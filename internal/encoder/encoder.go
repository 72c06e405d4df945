// Package encoder holds the messages between routers and their codec for
// net/rpc. A message batches all that one router has to say to another; fields
// that say nothing cost no byte, and items are encoded as arrays without names,
// because control traffic has a budget.
package encoder

//lint:file-ignore U1000 the codec's library reads the fields named _msgpack

import (
	"fmt"

	"papayapaddle/internal/failer"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of error.
const (
	KindInvalid Kind = "invalid message"
	KindClosed  Kind = "connection closed"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

// Limits on what a peer may send in one message.
const (
	// MaxListItems bounds each list of a message.
	MaxListItems = 65536
	// MaxMessageBytes bounds the encoded size of one message.
	MaxMessageBytes = 8 << 20
)

// header precedes every request and response. A response has no method.
type header struct {
	_msgpack struct{} `msgpack:",as_array"`
	Method   uint8
	Seq      uint64
	Error    string
}

// Hello opens a connection: it tells who speaks and with which codec version.
type Hello struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Name        string
	Incarnation uint64
	Codec       uint8
}

// CodecVersion is refused when it differs, so that two releases never
// misread each other.
const CodecVersion = 1

// Message is one exchange between two routers; its reply is a Message too.
type Message struct {
	// ConfigVersion is the sender's installed configuration version, or 0 if the
	// receiver was told of it before.
	ConfigVersion uint64 `msgpack:"v,omitempty"`
	// FullState says that Registers and Held are the sender's whole state towards
	// the receiver as an owner, and replace what it knew.
	FullState     bool              `msgpack:"y,omitempty"`
	Registrations []Registration    `msgpack:"g,omitempty"`
	Releases      []Release         `msgpack:"r,omitempty"`
	Offers        []Offer           `msgpack:"o,omitempty"`
	HeldSlots     []HeldSlot        `msgpack:"h,omitempty"`
	Reports       []PoolReports     `msgpack:"a,omitempty"`
	Accounts      []PoolAccounts    `msgpack:"b,omitempty"`
	IdleSlots     []IdleSlots       `msgpack:"i,omitempty"`
	Tombstones    []ServerTombstone `msgpack:"l,omitempty"`
	// WantChanges asks for the configuration changes after ConfigVersion.
	WantChanges bool `msgpack:"w,omitempty"`
	// Changes are JSON-encoded configuration changes or one snapshot.
	Changes  [][]byte `msgpack:"c,omitempty"`
	Snapshot []byte   `msgpack:"s,omitempty"`
	// WantFullState asks the receiver for its whole state towards the sender.
	WantFullState bool `msgpack:"z,omitempty"`
	// WantFullStateRequest asks the receiver to ask for a sync over its own connection, which
	// keeps the answer in order with the receiver's offers.
	WantFullStateRequest bool `msgpack:"k,omitempty"`
	// Stopping says that the sender gives up its ownerships.
	Stopping bool `msgpack:"x,omitempty"`
}

// Registration tells an owner that requests of a workspace wait at the sender.
// Count 0 withdraws the registration.
type Registration struct {
	_msgpack  struct{} `msgpack:",as_array"`
	Pool      uint32
	Workspace uint32
	Count     uint32
	// Urgency is the rank of the most urgent waiting request.
	Urgency uint8
	// WaitedMillis is how long the head has waited, in ms.
	WaitedMillis uint32
	// Cost is the estimated cost of the head.
	Cost uint32
}

// Release gives a slot back and settles its cost.
type Release struct {
	_msgpack struct{} `msgpack:",as_array"`
	// Ticket names the slot; the owner knows the server.
	Ticket uint32
	// Cost is the true cost; 0 hands the slot back unused.
	Cost uint32
	// FirstMillis is the time to the first token in ms, 0 if unknown.
	FirstMillis uint32
	// BetweenMillis is the mean time between tokens in ms, 0 if unknown.
	BetweenMillis uint32
	// Failed says that the server did not answer as it should.
	Failed bool
}

// Offer grants one slot to a workspace whose requests wait at the receiver.
type Offer struct {
	_msgpack  struct{} `msgpack:",as_array"`
	Server    uint32
	Ticket    uint32
	Workspace uint32
	// Charge is what the owner charged for the grant.
	Charge uint32
}

// HeldSlot announces a slot that the sender occupies to the server's new owner.
type HeldSlot struct {
	_msgpack  struct{} `msgpack:",as_array"`
	Server    uint32
	Ticket    uint32
	Workspace uint32
	Charge    uint32
}

// Report is an owner's cumulative count for an account, sent to its home. All
// amounts are weighted service in whole units.
type Report struct {
	_msgpack  struct{} `msgpack:",as_array"`
	Workspace uint32
	// Seq grows with each report of one incarnation, so that a late or repeated
	// one is known.
	Seq uint64
	// Total is the weighted service since the sender's start.
	Total uint64
	// Backlogged says that the workspace waits at the sender.
	Backlogged bool
	// Floor is the least value among the other backlogged workspaces at the
	// sender, to which a workspace that was idle is lifted. It is told in the
	// first reports of a backlog.
	Floor uint64
	// Echo is the fleet-wide value last received and EchoTotal the Total that it
	// contained. They are told to a home that has not answered yet.
	Echo      uint64
	EchoTotal uint64
}

// Account is the home's answer to a report.
type Account struct {
	_msgpack  struct{} `msgpack:",as_array"`
	Workspace uint32
	// Value is the fleet-wide weighted service.
	Value uint64
	// Included is the receiver's Total that Value contains.
	Included uint64
}

// PoolReports groups reports by pool, as the pool is the same in most.
type PoolReports struct {
	_msgpack struct{} `msgpack:",as_array"`
	Pool     uint32
	Reports  []Report
}

// PoolAccounts groups accounts by pool.
type PoolAccounts struct {
	_msgpack struct{} `msgpack:",as_array"`
	Pool     uint32
	Accounts []Account
}

// IdleSlots tells how many slots of a pool the sender has free with nobody waiting.
type IdleSlots struct {
	_msgpack struct{} `msgpack:",as_array"`
	Pool     uint32
	Free     uint32
}

// ServerTombstone is a tombstone of one incarnation of a backend server.
type ServerTombstone struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Server      uint32
	Incarnation uint64
}

// Validate refuses a message that no router of this version sends.
func (m *Message) Validate() error {
	n := max(len(m.Registrations), len(m.Releases), len(m.Offers), len(m.HeldSlots),
		len(m.Reports), len(m.Accounts), len(m.IdleSlots), len(m.Tombstones), len(m.Changes))
	if n > MaxListItems {
		return failer.New("check message", KindInvalid, fmt.Sprintf("a list of %d items, at most %d are allowed", n, MaxListItems))
	}
	for _, p := range m.Reports {
		for _, r := range p.Reports {
			if max(r.Total, r.Floor, r.Echo, r.EchoTotal) > maxValue {
				return failer.New("check message", KindInvalid, "a report holds an amount out of range")
			}
		}
	}
	for _, p := range m.Accounts {
		for _, a := range p.Accounts {
			if max(a.Value, a.Included) > maxValue {
				return failer.New("check message", KindInvalid, "an account holds an amount out of range")
			}
		}
	}
	return nil
}

// maxValue bounds account values; it is far above any real service count and
// low enough that sums stay exact.
const maxValue = 1 << 52
