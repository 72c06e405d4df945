// Package applier applies declarations to the fleet's stored configuration. It commits the
// difference to the version that the operator saw as one transaction, and determines the outcome of
// a commit whose response was lost.
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
	// KindConflict means that another change was committed first, and this one was not.
	KindConflict Kind = "another change came first"
	// KindOutcomeUnknown means that the store did not report in time whether the change was
	// committed.
	KindOutcomeUnknown Kind = "outcome unknown"
	KindStore          Kind = "store"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

const (
	// defaultSnapshotInterval is the number of changes between snapshots.
	defaultSnapshotInterval = 500
	// retryInterval is the delay between attempts of a call to the store.
	retryInterval = 300 * time.Millisecond
)

// Applier commits configurations. Store must be set.
type Applier struct {
	Store *connector.Client
	// SnapshotInterval is the number of changes between snapshots; 0 means the default.
	SnapshotInterval uint64
}

// BaseConfig is the configuration that a change is based on.
type BaseConfig struct {
	Config *declarer.Config
	Head   declarer.Head
	// HeadRowVersion is the version of the head's row. A commit requires it to be unchanged.
	HeadRowVersion uint64
}

// Result is the result of a successful Apply.
type Result struct {
	Version uint64
	// ChangedRows is the number of changed rows; 0 means that the target equals the base.
	ChangedRows int
}

// ReadLatest returns the newest configuration.
func (a *Applier) ReadLatest(ctx context.Context) (BaseConfig, error) {
	var inst installer.Installer
	reader := installer.Reader{Store: a.Store, Installer: &inst}
	// Another change may be committed between reading the head and syncing. Both are then repeated.
	for {
		head, rowVersion, err := installer.ReadHead(ctx, a.Store)
		if err != nil {
			return BaseConfig{}, failer.Wrap("read", KindStore, err)
		}
		if err := reader.Sync(ctx); err != nil {
			return BaseConfig{}, failer.Wrap("read", KindStore, err)
		}
		if inst.Version() == head.Version {
			return BaseConfig{Config: inst.Config(), Head: head, HeadRowVersion: rowVersion}, nil
		}
	}
}

// Apply commits the difference between the base and the target. After a failed or lost response it
// retries until the outcome is known or the context is done.
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
		// Encoding the types stored here cannot fail.
		panic(err)
	}
	return b
}

func (a *Applier) writeSnapshot(ctx context.Context, base BaseConfig) error {
	s := declarer.Snapshot{Version: base.Head.Version, Rows: base.Config.Rows()}
	return a.Store.PutObject(ctx, installer.SnapshotName(s.Version), mustMarshal(s))
}

// commit retries the transaction until its outcome is known. Retries are safe, because the
// transaction checks the version of the head's row: only one attempt can be committed.
func (a *Applier) commit(ctx context.Context, tx connector.Transaction, change declarer.Change) error {
	for {
		err := a.Store.Transact(ctx, tx)
		if err == nil {
			return nil
		}
		if failer.KindOf[connector.Kind](err) == connector.KindConflict {
			return a.resolveConflict(ctx, change)
		}
		if !pauser.Sleep(ctx, retryInterval) {
			return failer.Wrap("apply", KindOutcomeUnknown, fmt.Errorf("change id %s: %w", change.ID, err))
		}
	}
}

// resolveConflict determines whether a conflict is due to another operator's change or to an
// earlier attempt of this commit that succeeded, by the ID of the committed change.
func (a *Applier) resolveConflict(ctx context.Context, change declarer.Change) error {
	for {
		row, err := a.Store.Get(ctx, installer.ChangeKey(change.Version))
		if err == nil {
			return checkWinner(row, change)
		}
		if !pauser.Sleep(ctx, retryInterval) {
			return failer.Wrap("apply", KindOutcomeUnknown, fmt.Errorf("change id %s: %w", change.ID, err))
		}
	}
}

// checkWinner returns nil if the committed change is this one, and KindConflict otherwise.
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
		"version %d changed %s; review the diff and apply again", winner.Version, strings.Join(keys, ", ")))
}
