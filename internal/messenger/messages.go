package messenger

import (
	"time"

	"papayapaddle/internal/admitter"
	"papayapaddle/internal/pacer"
	"papayapaddle/internal/quarantiner"
	"papayapaddle/internal/steerer"
	"papayapaddle/internal/watcher"
)

// Peer identifies one process of a router.
type Peer struct {
	Name             string
	Address          string
	AvailabilityZone string
	// Incarnation distinguishes a process from earlier ones of the same name.
	Incarnation uint64
	// CPUShare is the fraction of a core that the process may use, 0 if unknown.
	CPUShare float64
}

// Gossip is the message that two routers exchange periodically. Both the call and its
// reply are of this type.
type Gossip struct {
	From Peer
	// Leaving says that the router is shutting down and no longer owns backend servers.
	Leaving bool
	// Crowded says that the router receives more requests than it can serve.
	Crowded bool
	// Version is the version of the configuration in force. ProvenAgo is how long ago the
	// request was sent whose answer confirmed that it is the newest, negative if there
	// was none.
	Version   uint64
	ProvenAgo time.Duration
	// ServersChanged is the store version up to which the router knows all changes of
	// the backend servers' entries, and StoreEra the era that it is of. ServersAgo is how long ago it was
	// confirmed that there was no later change; it is negative if that was never confirmed.
	ServersChanged uint64
	StoreEra       uint64
	ServersAgo     time.Duration
	// Contact is how long the router has had such confirmations without an interruption.
	Contact time.Duration
	// KnowsEras is false in messages of releases that do not compare the store's eras.
	KnowsEras bool
	// Loads are the loads of the backend servers that the sender owns.
	Loads []admitter.Load
	Grants
	// GrantsSeen acknowledges the receiver's grants: it is the Till of the last ones that
	// the sender has received.
	GrantsSeen uint64
	// CrashDigest is the digest of the sender's evidence about prompt parts that crash servers.
	// CrashEvidence is that evidence, sent to peers with another digest.
	CrashDigest   uint64
	CrashEvidence []quarantiner.Evidence
	// Limits are changes of the limits that backend servers name. LimitsSeen acknowledges the receiver's: it is
	// the Till of the last ones that the sender has received.
	Limits     pacer.Update
	LimitsSeen uint64
	// Cold are changes of the periods in which backend servers are cold, and ColdSeen acknowledges the receiver's.
	Cold     pacer.ColdUpdate
	ColdSeen uint64
	// Evacuations are the evacuated zones that the sender knows.
	Evacuations Evacuations
	// Known is a sample of the reachable routers that the sender knows, and in a large
	// fleet those that restarted recently.
	Known []Peer
	// Leaf says that the sender is a leaf and the receiver is one of its hubs. First says
	// that the receiver is the leaf's primary hub, which counts it.
	Leaf  bool
	First bool
	// Lost are routers that the sender has lost or that are shutting down.
	Lost []LostRouter
	// Own counts the sending hub and the leaves whose primary hub it is. Zone and Fleet are
	// the totals of the hub's availability zone and of the fleet, sent to leaves.
	Own   RouterCount
	Zone  RouterCount
	Fleet RouterCount
}

// ServersPosition returns the position up to which the sender knows the backend servers' entries.
func (g *Gossip) ServersPosition() watcher.Position {
	return watcher.Position{Era: g.StoreEra, Version: g.ServersChanged}
}

// Evacuations are the evacuated zones that the store held at a position.
type Evacuations struct {
	// Known is false if the sender has not read them yet, and in messages of releases that know none. The message then
	// says nothing about evacuations.
	Known   bool
	Era     uint64
	Version uint64
	Zones   []string
	// Ago is how long ago the request was sent whose answer confirmed that they are the newest, negative if there was none.
	Ago time.Duration
}

// Position returns the position at which the store held the zones.
func (e *Evacuations) Position() watcher.Position {
	return watcher.Position{Era: e.Era, Version: e.Version}
}

// Grants are the tokens that a router granted to workspaces and the receiver has not
// yet acknowledged.
type Grants struct {
	// Tokens maps the names of workspaces to the tokens granted to them.
	Tokens map[string]uint
	// Till is the sequence number of the last grant that is included.
	Till uint64
}

// AdmitArgs carries an admission request to the owner of a backend server. Times are
// sent as durations, since the clocks of routers differ.
type AdmitArgs struct {
	Ask admitter.Request
	// FirstIn and DeadlineIn are the times left until the first event is due and until the
	// deadline. They replace the absolute times of the request.
	FirstIn    time.Duration
	DeadlineIn time.Duration
	// Service and Prompt let the owner suggest another server if its own has no free slot.
	// Tried are the servers that were already asked.
	Service string
	Prompt  steerer.SharedPrefix
	Tried   []string
	// Limits holds the limit that the server names, if the sender knows one. The receiver may have become its
	// owner only just now.
	Limits []pacer.News
	// Cold holds the period in which the server is cold, for the same reason.
	Cold []pacer.ColdNews
}

// AdmitReply is the owner's decision.
type AdmitReply struct {
	Granted    bool
	Reason     admitter.Reason
	RetryAfter time.Duration
	// Running to Mean explain a refusal in the log; see admitter.Decision.
	Running int
	Waiting int
	Backlog time.Duration
	Limit   int
	Retried bool
	Ahead   int
	StartIn time.Duration
	MaxWait time.Duration
	Usage   float64
	Mean    float64
	// Waited is how long the request waited for the decision. Cold says that the server was cold at the decision, so that
	// a grant must be used soon.
	Waited time.Duration
	Cold   bool
	// Elsewhere is the ID of a server to try instead, empty if none is known. Home says
	// that this server becomes the prompt's new home, not only an overflow server for
	// this request.
	Elsewhere string
	Home      bool
}

// HeldSlot is a slot that a running request of a router holds on a backend server. It is
// reported to the server's new owner.
type HeldSlot struct {
	Ask        admitter.Request
	DeadlineIn time.Duration
}

// RequestUpdates are changes in the state of requests, reported to the owner of their
// backend servers in one message.
type RequestUpdates struct {
	From string
	// Held are slots that the owner does not know of, because it is new or has released them.
	Held     []HeldSlot
	Outcomes []admitter.Outcome
	Canceled []CanceledRequest
}

// size returns the number of updates.
func (s *RequestUpdates) size() int { return len(s.Held) + len(s.Outcomes) + len(s.Canceled) }

// CanceledRequest identifies an admission request whose answer is no longer needed.
type CanceledRequest struct {
	Server string
	ID     uint64
}

// FetchConfigArgs requests a configuration newer than a version.
type FetchConfigArgs struct{ After uint64 }

// FetchConfigReply is the configuration as the platform stores it, empty if there is no
// newer one.
type FetchConfigReply struct {
	Config  []byte
	Version uint64
	// ProvenAgo and KnowsEras have the same meaning as in Gossip.
	ProvenAgo time.Duration
	KnowsEras bool
}

// FetchServersArgs requests the backend servers' entries that changed after a store
// version of an era.
type FetchServersArgs struct {
	After uint64
	Era   uint64
}

// FetchServersReply holds the changed entries, or all entries if Whole is set.
type FetchServersReply struct {
	Rows  []ServerRow
	Whole bool
	// Changed, Era and Ago have the same meaning as ServersChanged, StoreEra and ServersAgo in Gossip.
	Changed uint64
	Era     uint64
	Ago     time.Duration
}

// ServerRow is one entry as the platform stores it.
type ServerRow struct {
	ID      string
	Value   []byte
	Version uint64
	Deleted bool
}

// RequestUpdatesReply answers RequestUpdates.
type RequestUpdatesReply struct {
	// Forgotten says that the owner has released the sender's slots since it last heard
	// from the sender, which must report them again.
	Forgotten bool
}
