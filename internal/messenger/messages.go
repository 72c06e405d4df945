package messenger

import (
	"time"

	"papayapaddle/internal/admitter"
	"papayapaddle/internal/steerer"
)

// Peer names one process of a router.
type Peer struct {
	Name             string
	Address          string
	AvailabilityZone string
	// Incarnation tells a process from an earlier one of the same name.
	Incarnation uint64
	// CPUShare is its part of a core, 0 if unknown.
	CPUShare float64
}

// Gossip is what two routers tell each other in turn.
type Gossip struct {
	From Peer
	// Leaving says that the router is shutting down and owns nothing any more.
	Leaving bool
	// Crowded says that more requests reach the router than it can serve.
	Crowded bool
	// Version is the configuration in force, and ProvenAgo how long ago the
	// question was asked whose answer proved it to be the newest; negative if it
	// never was.
	Version   uint64
	ProvenAgo time.Duration
	// ServersChanged is the store's version up to which the router knows all changes
	// of the backend servers' entries, and ServersAgo how long ago there provably was
	// no later one; negative if that was never proven.
	ServersChanged uint64
	ServersAgo     time.Duration
	// Contact is for how long the router has had such proofs without a break.
	Contact time.Duration
	// Loads are the servers that the router owns.
	Loads []admitter.Load
	Grants
	// GrantsSeen is the Till of the receiver's grants that the sender has.
	GrantsSeen uint64
	// Known are some of the routers that it heard of lately.
	Known []Peer
	// Leaf says that a leaf has chosen the receiver for its news, First that it did so
	// in the first place.
	Leaf  bool
	First bool
	// Lost are routers that a hub does not hear.
	Lost []LostRouter
	// Own is what a hub counts by itself, Zone and Fleet what it tells a leaf.
	Own   RouterCount
	Zone  RouterCount
	Fleet RouterCount
}

// Grants is what a router granted workspaces lately, in tokens, as far as the
// receiver does not know it.
type Grants struct {
	Tokens map[string]uint
	// Till numbers the last grant that is in it.
	Till uint64
}

// AdmitArgs carries an ask to the owner of its server. Times are spans, as clocks
// differ.
type AdmitArgs struct {
	Ask admitter.Ask
	// FirstIn and DeadlineIn replace the ask's times.
	FirstIn    time.Duration
	DeadlineIn time.Duration
	// Service and Prompt let the owner name a server with room where its own has none;
	// Tried are those that were asked.
	Service string
	Prompt  steerer.Prompt
	Tried   []string
}

// AdmitReply is the owner's decision.
type AdmitReply struct {
	Granted    bool
	Reason     admitter.Reason
	RetryAfter time.Duration
	Running    int
	Waiting    int
	Backlog    time.Duration
	Usage      float64
	Mean       float64
	// Elsewhere is the id of a server to ask instead, empty if none is known; Home says
	// that it takes the place of this one, and not only its room.
	Elsewhere string
	Home      bool
}

// HeldSlot is a request that a router runs on a server, told to the server's new
// owner.
type HeldSlot struct {
	Ask        admitter.Ask
	DeadlineIn time.Duration
}

// RequestUpdates is what a router tells the owner of servers, in one message.
type RequestUpdates struct {
	From     string
	Held     []HeldSlot
	Outcomes []admitter.Outcome
	Canceled []CanceledRequest
}

// size is the number of things told.
func (s *RequestUpdates) size() int { return len(s.Held) + len(s.Outcomes) + len(s.Canceled) }

// CanceledRequest is an ask that nobody waits for any more.
type CanceledRequest struct {
	Server string
	ID     uint64
}

// FetchConfigArgs asks for a configuration newer than a version.
type FetchConfigArgs struct{ After uint64 }

// FetchConfigReply is the configuration as the platform stores it, empty if there is
// none that is newer.
type FetchConfigReply struct {
	Config  []byte
	Version uint64
	// ProvenAgo is as in News.
	ProvenAgo time.Duration
}

// FetchServersArgs asks for the backend servers' entries that changed after a version
// of the store.
type FetchServersArgs struct{ After uint64 }

// FetchServersReply holds these entries, or all if Whole is set.
type FetchServersReply struct {
	Rows  []ServerRow
	Whole bool
	// Changed and Ago are as ServersChanged and ServersAgo in News.
	Changed uint64
	Ago     time.Duration
}

// ServerRow is one entry as the platform stores it.
type ServerRow struct {
	ID      string
	Value   []byte
	Version uint64
	Deleted bool
}

// RequestUpdatesReply answers a settlement.
type RequestUpdatesReply struct {
	// Forgotten says that what the sender held was given up since it was last heard.
	Forgotten bool
}
