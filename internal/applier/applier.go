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
	// KindLost means that another operator's change came first; nothing was
	// changed by this apply.
	KindLost Kind = "another change came first"
	// KindUnknown means that the store did not say in time what became of it.
	KindUnknown Kind = "outcome unknown"
	KindStore   Kind = "store"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

const (
	// snapshotEvery is how many changes may follow a snapshot.
	snapshotEvery = 500
	// retryEvery is the wait between two tries of a call.
	retryEvery = 300 * time.Millisecond
)

// Applier commits configurations. Store must be set.
type Applier struct {
	Store *connector.Client
	// SnapshotEvery overrides the distance of snapshots; 0 means the default.
	SnapshotEvery uint64
}

// Base is the configuration that an operator saw.
type Base struct {
	Config *declarer.Config
	Head   declarer.Head
	// HeadRow is the version of the head's row, which the commit demands.
	HeadRow uint64
}

// Result tells what an apply did.
type Result struct {
	Version uint64
	// Changed counts the rows; 0 means that all was in force already.
	Changed int
}

// Read returns the newest configuration.
func (a *Applier) Read(ctx context.Context) (Base, error) {
	var in installer.Installer
	r := installer.Reader{Store: a.Store, Installer: &in}
	for {
		head, row, err := installer.ReadHead(ctx, a.Store)
		if err != nil {
			return Base{}, failer.Wrap("read", KindStore, err)
		}
		if err := r.Sync(ctx); err != nil {
			return Base{}, failer.Wrap("read", KindStore, err)
		}
		if in.Version() == head.Version {
			return Base{Config: in.Config(), Head: head, HeadRow: row}, nil
		}
	}
}

// Apply commits the difference between the base and the target. The context
// bounds the tries to learn of a lost answer.
func (a *Applier) Apply(ctx context.Context, base Base, target *declarer.Config) (Result, error) {
	rows := base.Config.Diff(target)
	if len(rows) == 0 {
		return Result{Version: base.Head.Version}, nil
	}
	ch := declarer.Change{Version: base.Head.Version + 1, ID: rand.Text(), Rows: rows}
	head := declarer.Head{Version: ch.Version, Snapshot: base.Head.Snapshot}
	if ch.Version-head.Snapshot >= a.snapshotEvery() && base.Head.Version > 0 {
		if err := a.snapshot(ctx, base); err != nil {
			return Result{}, failer.Wrap("apply", KindStore, err)
		}
		head.Snapshot = base.Head.Version
	}
	t := connector.Transaction{
		Checks: []connector.Check{{Key: installer.HeadKey, Version: base.HeadRow}},
		Puts: []connector.Put{
			{Key: installer.ChangeKey(ch.Version), Value: encode(ch)},
			{Key: installer.HeadKey, Value: encode(head)},
		},
	}
	if err := a.commit(ctx, t, ch); err != nil {
		return Result{}, err
	}
	return Result{Version: ch.Version, Changed: len(rows)}, nil
}

func (a *Applier) snapshotEvery() uint64 {
	if a.SnapshotEvery > 0 {
		return a.SnapshotEvery
	}
	return snapshotEvery
}

func encode(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		// The types of this project always encode.
		panic(err)
	}
	return b
}

func (a *Applier) snapshot(ctx context.Context, base Base) error {
	s := declarer.Snapshot{Version: base.Head.Version, Rows: base.Config.Rows()}
	return a.Store.PutObject(ctx, installer.SnapshotName(s.Version), encode(s))
}

// commit tries until it knows what became of the transaction. Trying again is
// safe, since the head's row is checked: only one try can take effect.
func (a *Applier) commit(ctx context.Context, t connector.Transaction, ch declarer.Change) error {
	for {
		err := a.Store.Transact(ctx, t)
		if err == nil {
			return nil
		}
		if failer.KindOf[connector.Kind](err) == connector.KindConflict {
			return a.resolve(ctx, ch)
		}
		if !pauser.Sleep(ctx, retryEvery) {
			return failer.Wrap("apply", KindUnknown, fmt.Errorf("change id %s: %w", ch.ID, err))
		}
	}
}

// resolve tells a lost race from an own earlier try that took effect: the
// change row of the version holds the id of whoever won it.
func (a *Applier) resolve(ctx context.Context, ch declarer.Change) error {
	for {
		row, err := a.Store.Get(ctx, installer.ChangeKey(ch.Version))
		if err == nil {
			return judge(row, ch)
		}
		if !pauser.Sleep(ctx, retryEvery) {
			return failer.Wrap("apply", KindUnknown, fmt.Errorf("change id %s: %w", ch.ID, err))
		}
	}
}

func judge(row connector.Row, ch declarer.Change) error {
	var winner declarer.Change
	if err := json.Unmarshal(row.Value, &winner); err != nil {
		return failer.Wrap("apply", KindStore, err)
	}
	if winner.ID == ch.ID {
		return nil
	}
	var keys []string
	for _, r := range winner.Rows {
		keys = append(keys, r.Key())
	}
	return failer.New("apply", KindLost, fmt.Sprintf(
		"version %d changed %s; look at the difference and apply again", winner.Version, strings.Join(keys, ", ")))
}
