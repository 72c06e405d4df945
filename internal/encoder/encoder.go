// Package encoder defines the messages between routers and their codec for net/rpc. A message
// batches everything that one router sends to another. To limit control traffic, empty fields are
// omitted, and items are encoded as arrays without field names.
//
// The owner of a backend server is the router that allocates its slots.
package encoder

//lint:file-ignore U1000 the msgpack library reads the fields named _msgpack

import (
	"fmt"

	"papayapaddle/internal/failer"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	KindInvalid Kind = "invalid message"
	KindClosed  Kind = "connection closed"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

// Limits on what a peer may send in one message.
const (
	// MaxListItems bounds the length of each list in a message.
	MaxListItems = 65536
	// MaxMessageBytes bounds the encoded size of one message.
	MaxMessageBytes = 8 << 20
)

// header precedes every request and response. In a response, Method is 0.
type header struct {
	_msgpack struct{} `msgpack:",as_array"`
	Method   uint8
	Seq      uint64
	Error    string
}

// Hello is the first message in each direction of a connection. It identifies the sender and its
// codec version.
type Hello struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Name        string
	Incarnation uint64
	Codec       uint8
}

// CodecVersion is the version of the message format. Connections between different versions are
// rejected, so that a router never misinterprets a message of another release.
const CodecVersion = 1

// Message is a message between two routers. Its reply is a Message, too.
type Message struct {
	// ConfigVersion is the sender's installed configuration version, or 0 if it was already sent
	// to the receiver.
	ConfigVersion uint64 `msgpack:"v,omitempty"`
	// FullState reports that Registrations and HeldSlots are the sender's complete state towards
	// the receiver as an owner, which replaces the receiver's previous knowledge.
	FullState     bool              `msgpack:"y,omitempty"`
	Registrations []Registration    `msgpack:"g,omitempty"`
	Releases      []Release         `msgpack:"r,omitempty"`
	Offers        []Offer           `msgpack:"o,omitempty"`
	HeldSlots     []HeldSlot        `msgpack:"h,omitempty"`
	Reports       []PoolReports     `msgpack:"a,omitempty"`
	Accounts      []PoolAccounts    `msgpack:"b,omitempty"`
	IdleSlots     []IdleSlots       `msgpack:"i,omitempty"`
	Tombstones    []ServerTombstone `msgpack:"l,omitempty"`
	// ServerLimits are limits that backend servers name, for their owner.
	ServerLimits []ServerLimit `msgpack:"m,omitempty"`
	// ServerPauses are pauses that backend servers ask for, for their owner.
	ServerPauses []ServerPause `msgpack:"p,omitempty"`
	// WantChanges requests the configuration changes after ConfigVersion.
	WantChanges bool `msgpack:"w,omitempty"`
	// Changes are JSON-encoded configuration changes.
	Changes [][]byte `msgpack:"c,omitempty"`
	// Snapshot is a JSON-encoded snapshot of the configuration, sent instead of changes.
	Snapshot []byte `msgpack:"s,omitempty"`
	// WantFullState requests the receiver's full state towards the sender.
	WantFullState bool `msgpack:"z,omitempty"`
	// WantFullStateRequest asks the receiver to send WantFullState over its own connection. This
	// keeps the full state in order with the receiver's offers.
	WantFullStateRequest bool `msgpack:"k,omitempty"`
	// Stopping reports that the sender is giving up the ownership of its backend servers.
	Stopping bool `msgpack:"x,omitempty"`
}

// Registration asks an owner for slots for the requests of a workspace that are queued at the
// sender.
type Registration struct {
	_msgpack  struct{} `msgpack:",as_array"`
	Pool      uint32
	Workspace uint32
	// Count is the number of slots that the owner may offer. 0 withdraws the registration.
	Count uint32
	// Urgency is the urgency level of the most urgent queued request.
	Urgency uint8
	// WaitedMillis is the time that the head of the queue has waited, in ms.
	WaitedMillis uint32
	// Cost is the estimated cost of the head of the queue.
	Cost uint32
}

// ServerLimit is the rate that a backend server takes from all routers together, as its last answer to the
// sender says.
type ServerLimit struct {
	_msgpack struct{} `msgpack:",as_array"`
	Server   uint32
	// Named is false if the server no longer names a limit.
	Named bool
	// PerSecondMilli is the rate in thousandths of a request a second.
	PerSecondMilli uint32
}

// ServerPause is a pause that a backend server asks for in a refusal.
type ServerPause struct {
	_msgpack struct{} `msgpack:",as_array"`
	Server   uint32
	// Millis is the rest of the pause in milliseconds.
	Millis uint32
}

// Release returns a slot to its owner and reports the cost of the request.
type Release struct {
	_msgpack struct{} `msgpack:",as_array"`
	// Ticket identifies the slot. The owner knows its backend server.
	Ticket uint32
	// Cost is the actual cost, or 0 if the slot was not used.
	Cost uint32
	// FirstMillis is the time to the first token in ms, or 0 if unknown.
	FirstMillis uint32
	// BetweenMillis is the mean time between tokens in ms, or 0 if unknown.
	BetweenMillis uint32
	// Failed reports that the backend server failed to respond correctly.
	Failed bool
}

// Offer grants one slot to a workspace that has queued requests at the receiver.
type Offer struct {
	_msgpack  struct{} `msgpack:",as_array"`
	Server    uint32
	Ticket    uint32
	Workspace uint32
	// Charge is the cost that the owner charged to the workspace for the slot.
	Charge uint32
}

// HeldSlot tells the new owner of a backend server about a slot that the sender is using.
type HeldSlot struct {
	_msgpack  struct{} `msgpack:",as_array"`
	Server    uint32
	Ticket    uint32
	Workspace uint32
	Charge    uint32
}

// Report is an owner's cumulative service for the account of a workspace. It is sent to the
// account's home, the router that sums the reports of all owners. All amounts are weighted service
// (cost divided by the weight of the workspace) in whole units.
type Report struct {
	_msgpack  struct{} `msgpack:",as_array"`
	Workspace uint32
	// Seq increases with each report of an incarnation, so that delayed and duplicate reports are
	// detected.
	Seq uint64
	// Total is the weighted service since the sender was started.
	Total uint64
	// Backlogged reports whether the workspace has queued requests at the sender.
	Backlogged bool
	// Floor is the least value of the other backlogged workspaces at the sender. The value of a
	// workspace that was idle is raised to it. It is sent in the first reports of a backlog.
	Floor uint64
	// Echo is the fleet-wide value last received, and EchoTotal is the Total that it included.
	// They are sent to a home that has not replied yet.
	Echo      uint64
	EchoTotal uint64
}

// Account is the home's reply to a Report.
type Account struct {
	_msgpack  struct{} `msgpack:",as_array"`
	Workspace uint32
	// Value is the fleet-wide weighted service.
	Value uint64
	// Included is the receiver's Total that Value includes.
	Included uint64
}

// PoolReports holds the reports of one pool, so that the pool is encoded once.
type PoolReports struct {
	_msgpack struct{} `msgpack:",as_array"`
	Pool     uint32
	Reports  []Report
}

// PoolAccounts holds the accounts of one pool.
type PoolAccounts struct {
	_msgpack struct{} `msgpack:",as_array"`
	Pool     uint32
	Accounts []Account
}

// IdleSlots is the number of free slots of a pool for which no request is queued at the sender.
type IdleSlots struct {
	_msgpack struct{} `msgpack:",as_array"`
	Pool     uint32
	Free     uint32
}

// ServerTombstone marks an incarnation of a backend server as leaving.
type ServerTombstone struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Server      uint32
	Incarnation uint64
}

// Validate returns an error if a value of the message is out of range.
func (m *Message) Validate() error {
	longest := max(len(m.Registrations), len(m.Releases), len(m.Offers), len(m.HeldSlots),
		len(m.Reports), len(m.Accounts), len(m.IdleSlots), len(m.Tombstones), len(m.Changes), len(m.ServerLimits), len(m.ServerPauses))
	if longest > MaxListItems {
		return failer.New("check message", KindInvalid, fmt.Sprintf("a list of %d items, at most %d are allowed", longest, MaxListItems))
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

// maxValue bounds the amounts in reports and accounts. It is far above any real amount and low
// enough that sums are exact in a float64.
const maxValue = 1 << 52
