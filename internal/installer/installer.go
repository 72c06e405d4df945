// Package installer holds a router's configuration and installs new versions
// through one gate: a version is installed only if the table service minted it
// and it is strictly newer than the one in force, so the configuration never
// reverts, whatever arrives late, twice or out of order.
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

// The kinds of error.
const (
	KindInvalid Kind = "invalid configuration"
	KindGap     Kind = "a version in between is missing"
	KindStore   Kind = "store"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

// keepChanges is how many changes are kept to be passed on to peers.
const keepChanges = 256

// maxPassed bounds the changes passed on in one message.
const maxPassed = 64

// Installer is the gate. The zero value holds the empty configuration, version
// 0, which no request is served with. OnInstall is called after each install.
type Installer struct {
	OnInstall func(*declarer.Config)

	current atomic.Pointer[declarer.Config]
	mu      sync.Mutex
	// changes holds the encoded newest changes; changes[i] has version first+i.
	changes [][]byte
	first   uint64
}

// Config returns the configuration in force. It never returns nil.
func (in *Installer) Config() *declarer.Config {
	if c := in.current.Load(); c != nil {
		return c
	}
	return &declarer.Config{}
}

// Version returns the version in force, 0 if none is.
func (in *Installer) Version() uint64 { return in.Config().Version }

// InstallChange installs the change that follows the version in force. It says
// false for an older one, and fails with KindGap for one further ahead.
func (in *Installer) InstallChange(ch declarer.Change) (bool, error) {
	in.mu.Lock()
	defer in.mu.Unlock()
	c := in.Config()
	switch {
	case ch.Version <= c.Version:
		return false, nil
	case ch.Version > c.Version+1:
		return false, failer.New("install", KindGap, fmt.Sprintf("have version %d, got %d", c.Version, ch.Version))
	}
	n, err := c.Apply(ch.Version, ch.Rows)
	if err != nil {
		return false, failer.Wrap("install", KindInvalid, err)
	}
	in.remember(ch)
	in.publish(n)
	return true, nil
}

// InstallSnapshot installs a whole configuration if it is strictly newer.
func (in *Installer) InstallSnapshot(s declarer.Snapshot) (bool, error) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if s.Version <= in.Config().Version {
		return false, nil
	}
	n, err := (&declarer.Config{}).Apply(s.Version, s.Rows)
	if err != nil {
		return false, failer.Wrap("install", KindInvalid, err)
	}
	in.changes, in.first = nil, 0
	in.publish(n)
	return true, nil
}

func (in *Installer) publish(c *declarer.Config) {
	in.current.Store(c)
	if in.OnInstall != nil {
		in.OnInstall(c)
	}
}

func (in *Installer) remember(ch declarer.Change) {
	b, err := json.Marshal(ch)
	if err != nil {
		return
	}
	if len(in.changes) == 0 {
		in.first = ch.Version
	}
	in.changes = append(in.changes, b)
	if n := len(in.changes) - keepChanges; n > 0 {
		in.changes = append([][]byte(nil), in.changes[n:]...)
		in.first += uint64(n)
	}
}

// Since returns what a peer at the version lacks: the changes after it, or a
// snapshot if they are not kept any more. It returns nothing for a peer that
// is not behind.
func (in *Installer) Since(version uint64) (changes [][]byte, snapshot []byte) {
	in.mu.Lock()
	defer in.mu.Unlock()
	c := in.Config()
	if version >= c.Version {
		return nil, nil
	}
	if len(in.changes) > 0 && version+1 >= in.first {
		from := version + 1 - in.first
		to := min(from+maxPassed, uint64(len(in.changes)))
		return in.changes[from:to], nil
	}
	b, err := json.Marshal(declarer.Snapshot{Version: c.Version, Rows: c.Rows()})
	if err != nil {
		return nil, nil
	}
	return nil, b
}

// InstallEncoded installs what a peer passed on.
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
		var ch declarer.Change
		if err := json.Unmarshal(b, &ch); err != nil {
			return failer.Wrap("install from peer", KindInvalid, err)
		}
		if _, err := in.InstallChange(ch); err != nil {
			return err
		}
	}
	return nil
}
