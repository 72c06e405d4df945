// Package applier puts a directory of declarations in force: it compares it
// with the version that the operator saw, commits the difference as one
// transaction, and finds out what became of an answer that was lost.
package applier

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"papayapaddle/internal/connector"
	"papayapaddle/internal/declarer"
	"papayapaddle/internal/failer"
	"papayapaddle/internal/installer"
	"papayapaddle/internal/pauser"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of error.
const (
	// KindConflict means that another operator's change came first; nothing was
	// changed by this apply.
	KindConflict Kind = "another change came first"
	// KindOutcomeUnknown means that the store did not say in time what became of it.
	KindOutcomeUnknown Kind = "outcome unknown"
	KindStore          Kind = "store"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

const (
	// defaultSnapshotInterval is how many changes may follow a snapshot.
	defaultSnapshotInterval = 500
	// retryInterval is the wait between two tries of a call.
	retryInterval = 300 * time.Millisecond
)

// Applier commits configurations. Store must be set.
type Applier struct {
	Store *connector.Client
	// SnapshotInterval overrides the distance of snapshots; 0 means the default.
	SnapshotInterval uint64
}

// BaseConfig is the configuration that an operator saw.
type BaseConfig struct {
	Config *declarer.Config
	Head   declarer.Head
	// HeadRowVersion is the version of the head's row, which the commit demands.
	HeadRowVersion uint64
}

// Result tells what an apply did.
type Result struct {
	Version uint64
	// ChangedRows counts the rows; 0 means that all was in force already.
	ChangedRows int
}

// ReadLatest returns the newest configuration.
func (a *Applier) ReadLatest(ctx context.Context) (BaseConfig, error) {
	var inst installer.Installer
	reader := installer.Reader{Store: a.Store, Installer: &inst}
	for {
		head, rowVersion, err := installer.ReadHead(ctx, a.Store)
		if err != nil {
			return BaseConfig{}, failer.Wrap("read", KindStore, err)
		}
		if err := reader.Read(ctx); err != nil {
			return BaseConfig{}, failer.Wrap("read", KindStore, err)
		}
		if inst.Version() == head.Version {
			return BaseConfig{Config: inst.Config(), Head: head, HeadRowVersion: rowVersion}, nil
		}
	}
}

// Apply commits the difference between the base and the target. The context
// bounds the tries to learn of a lost answer.
func (a *Applier) Apply(ctx context.Context, base BaseConfig, target *declarer.Config) (Result, error) {
	rows := base.Config.Diff(target)
	if len(rows) == 0 {
		return Result{Version: base.Head.Version}, nil
	}
	change := declarer.Change{Version: base.Head.Version + 1, ID: rand.Text(), Rows: rows}
	head := declarer.Head{Version: change.Version, SnapshotVersion: base.Head.SnapshotVersion}
	if change.Version-head.SnapshotVersion >= a.snapshotInterval() && base.Head.Version > 0 {
		if err := a.writeSnapshot(ctx, base); err != nil {
			return Result{}, failer.Wrap("apply", KindStore, err)
		}
		head.SnapshotVersion = base.Head.Version
	}
	tx := connector.Transaction{
		Checks: []connector.Check{{Key: installer.HeadKey, Version: base.HeadRowVersion}},
		Puts: []connector.Put{
			{Key: installer.ChangeKey(change.Version), Value: mustMarshal(change)},
			{Key: installer.HeadKey, Value: mustMarshal(head)},
		},
	}
	if err := a.commit(ctx, tx, change); err != nil {
		return Result{}, err
	}
	return Result{Version: change.Version, ChangedRows: len(rows)}, nil
}

func (a *Applier) snapshotInterval() uint64 {
	if a.SnapshotInterval > 0 {
		return a.SnapshotInterval
	}
	return defaultSnapshotInterval
}

func mustMarshal(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		// The types of this project always encode.
		panic(err)
	}
	return b
}

func (a *Applier) writeSnapshot(ctx context.Context, base BaseConfig) error {
	s := declarer.Snapshot{Version: base.Head.Version, Rows: base.Config.Rows()}
	return a.Store.PutObject(ctx, installer.SnapshotName(s.Version), mustMarshal(s))
}

// commit tries until it knows what became of the transaction. Trying again is
// safe, since the head's row is checked: only one try can take effect.
func (a *Applier) commit(ctx context.Context, tx connector.Transaction, change declarer.Change) error {
	for {
		err := a.Store.Transact(ctx, tx)
		if err == nil {
			return nil
		}
		if failer.KindOf[connector.Kind](err) == connector.KindConflict {
			return a.resolveConflict(ctx, change)
		}
		if !pauser.Pause(ctx, retryInterval) {
			return failer.Wrap("apply", KindOutcomeUnknown, fmt.Errorf("change id %s: %w", change.ID, err))
		}
	}
}

// resolveConflict tells a lost race from an own earlier try that took effect: the
// change row of the version holds the id of whoever won it.
func (a *Applier) resolveConflict(ctx context.Context, change declarer.Change) error {
	for {
		row, err := a.Store.Get(ctx, installer.ChangeKey(change.Version))
		if err == nil {
			return checkWinner(row, change)
		}
		if !pauser.Pause(ctx, retryInterval) {
			return failer.Wrap("apply", KindOutcomeUnknown, fmt.Errorf("change id %s: %w", change.ID, err))
		}
	}
}

func checkWinner(row connector.Row, change declarer.Change) error {
	var winner declarer.Change
	if err := json.Unmarshal(row.Value, &winner); err != nil {
		return failer.Wrap("apply", KindStore, err)
	}
	if winner.ID == change.ID {
		return nil
	}
	var keys []string
	for _, r := range winner.Rows {
		keys = append(keys, r.Key())
	}
	return failer.New("apply", KindConflict, fmt.Sprintf(
		"version %d changed %s; look at the difference and apply again", winner.Version, strings.Join(keys, ", ")))
}
