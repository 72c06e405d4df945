// Package installer holds a router's configuration and installs new versions of
// it. Version numbers are assigned by commits in the table service. A version is
// installed only if it is strictly newer than the current one, so late,
// duplicate and reordered deliveries never revert the configuration.
package installer

import (
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"

	"papayapaddle/internal/declarer"
	"papayapaddle/internal/failer"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	KindInvalid Kind = "invalid configuration"
	KindGap     Kind = "a version in between is missing"
	KindStore   Kind = "store"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

// maxKeptChanges is the number of recent changes kept for peers.
const maxKeptChanges = 256

// maxChangesPerUpdate bounds the changes sent to a peer in one message.
const maxChangesPerUpdate = 64

// Installer holds the current configuration. The zero value holds the empty
// configuration with version 0, which serves no requests. OnInstall, if set, is
// called after each install.
type Installer struct {
	OnInstall func(*declarer.Config)

	current atomic.Pointer[declarer.Config]
	mu      sync.Mutex
	// changes holds the latest changes as JSON; changes[i] has version firstVersion+i.
	changes      [][]byte
	firstVersion uint64
}

// Config returns the current configuration. It never returns nil.
func (in *Installer) Config() *declarer.Config {
	if c := in.current.Load(); c != nil {
		return c
	}
	return &declarer.Config{}
}

// Version returns the current version, or 0 if none is installed.
func (in *Installer) Version() uint64 { return in.Config().Version }

// InstallChange installs the change that follows the current version. It returns
// false for an older change, and an error of KindGap if changes in between are
// missing.
func (in *Installer) InstallChange(change declarer.Change) (bool, error) {
	in.mu.Lock()
	defer in.mu.Unlock()
	c := in.Config()
	switch {
	case change.Version <= c.Version:
		return false, nil
	case change.Version > c.Version+1:
		return false, failer.New("install", KindGap, fmt.Sprintf("current version is %d, got version %d", c.Version, change.Version))
	}
	next, err := c.Apply(change.Version, change.Rows)
	if err != nil {
		return false, failer.Wrap("install", KindInvalid, err)
	}
	in.keepChange(change)
	in.publish(next)
	return true, nil
}

// InstallSnapshot installs a complete configuration if it is strictly newer than
// the current one. It reports whether it did.
func (in *Installer) InstallSnapshot(s declarer.Snapshot) (bool, error) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if s.Version <= in.Config().Version {
		return false, nil
	}
	next, err := (&declarer.Config{}).Apply(s.Version, s.Rows)
	if err != nil {
		return false, failer.Wrap("install", KindInvalid, err)
	}
	in.changes, in.firstVersion = nil, 0
	in.publish(next)
	return true, nil
}

func (in *Installer) publish(c *declarer.Config) {
	in.current.Store(c)
	if in.OnInstall != nil {
		in.OnInstall(c)
	}
}

func (in *Installer) keepChange(change declarer.Change) {
	b, err := json.Marshal(change)
	if err != nil {
		return
	}
	if len(in.changes) == 0 {
		in.firstVersion = change.Version
	}
	in.changes = append(in.changes, b)
	if excess := len(in.changes) - maxKeptChanges; excess > 0 {
		in.changes = append([][]byte(nil), in.changes[excess:]...)
		in.firstVersion += uint64(excess)
	}
}

// UpdateSince returns the update for a peer at the given version: the changes
// after it, or a snapshot if those changes are no longer kept. It returns
// nothing if the peer is up to date.
func (in *Installer) UpdateSince(version uint64) (changes [][]byte, snapshot []byte) {
	in.mu.Lock()
	defer in.mu.Unlock()
	c := in.Config()
	if version >= c.Version {
		return nil, nil
	}
	if len(in.changes) > 0 && version+1 >= in.firstVersion {
		from := version + 1 - in.firstVersion
		to := min(from+maxChangesPerUpdate, uint64(len(in.changes)))
		return in.changes[from:to], nil
	}
	b, err := json.Marshal(declarer.Snapshot{Version: c.Version, Rows: c.Rows()})
	if err != nil {
		return nil, nil
	}
	return nil, b
}

// InstallEncoded installs an update from a peer, as returned by UpdateSince.
func (in *Installer) InstallEncoded(changes [][]byte, snapshot []byte) error {
	if snapshot != nil {
		var s declarer.Snapshot
		if err := json.Unmarshal(snapshot, &s); err != nil {
			return failer.Wrap("install from peer", KindInvalid, err)
		}
		if _, err := in.InstallSnapshot(s); err != nil {
			return err
		}
	}
	for _, b := range changes {
		var change declarer.Change
		if err := json.Unmarshal(b, &change); err != nil {
			return failer.Wrap("install from peer", KindInvalid, err)
		}
		if _, err := in.InstallChange(change); err != nil {
			return err
		}
	}
	return nil
}
