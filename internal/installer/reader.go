package installer

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"papayapaddle/internal/connector"
	"papayapaddle/internal/declarer"
	"papayapaddle/internal/failer"
)

// HeadKey is the key of the row that holds the latest version number.
const HeadKey = "config/head"

const (
	// SyncInterval is the interval between reads of the head. Even with the jitter
	// and one lost read, a router learns of a new version within the guaranteed 5 s.
	SyncInterval = 2500 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the backoff after a failed sync.
	minRetryDelay = 300 * time.Millisecond
	maxRetryDelay = SyncInterval
	// syncJitter is the largest random addition to SyncInterval. It spreads the
	// reads of many routers.
	syncJitter = 500 * time.Millisecond
	// changesPerScan is the maximum number of changes read at once.
	changesPerScan = 200
)

// ChangeKey returns the key of the row that holds the change of a version.
func ChangeKey(version uint64) string { return fmt.Sprintf("config/change/%020d", version) }

// SnapshotName returns the name of the object that holds the snapshot of a
// version.
func SnapshotName(version uint64) string { return fmt.Sprintf("config-snapshot-%d", version) }

// Reader keeps an Installer up to date with the store. Store and Installer must
// be set. OnSync, if set, is called with the result of each sync.
type Reader struct {
	Store     *connector.Client
	Installer *Installer
	OnSync    func(err error)
	// Wake makes Run sync without waiting for the interval. It may be nil.
	Wake chan struct{}
}

// Run syncs periodically until the context ends.
func (r *Reader) Run(ctx context.Context) {
	retryDelay := minRetryDelay
	for {
		err := r.Sync(ctx)
		if ctx.Err() != nil {
			return
		}
		delay := SyncInterval + rand.N(syncJitter)
		if err != nil {
			delay = retryDelay + rand.N(retryDelay)
			retryDelay = min(2*retryDelay, maxRetryDelay)
		} else {
			retryDelay = minRetryDelay
		}
		if r.OnSync != nil {
			r.OnSync(err)
		}
		t := time.NewTimer(delay)
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		case <-r.Wake:
			t.Stop()
		}
	}
}

// Sync installs the versions up to the head in the store.
func (r *Reader) Sync(ctx context.Context) error {
	head, _, err := ReadHead(ctx, r.Store)
	if err != nil {
		return err
	}
	for r.Installer.Version() < head.Version {
		if err := r.installNext(ctx, head); err != nil {
			return err
		}
	}
	return nil
}

// ReadHead returns the head and the version of its row. Both are zero if the
// store holds no configuration.
func ReadHead(ctx context.Context, store *connector.Client) (declarer.Head, uint64, error) {
	row, err := store.Get(ctx, HeadKey)
	if failer.KindOf[connector.Kind](err) == connector.KindNotFound {
		return declarer.Head{}, 0, nil
	}
	if err != nil {
		return declarer.Head{}, 0, failer.Wrap("read head", KindStore, err)
	}
	var head declarer.Head
	if err := json.Unmarshal(row.Value, &head); err != nil {
		return declarer.Head{}, 0, failer.Wrap("read head", KindInvalid, err)
	}
	return head, row.Version, nil
}

// installNext installs the head's snapshot if it is newer than the current
// version, and the next changes otherwise.
func (r *Reader) installNext(ctx context.Context, head declarer.Head) error {
	installed := r.Installer.Version()
	if head.SnapshotVersion > installed {
		return r.installSnapshot(ctx, head.SnapshotVersion)
	}
	rows, err := r.Store.Scan(ctx, "config/change/", ChangeKey(installed), changesPerScan)
	if err != nil {
		return failer.Wrap("read changes", KindStore, err)
	}
	if len(rows) == 0 {
		return failer.New("read changes", KindGap, fmt.Sprintf("head is at version %d, but there is no change after version %d", head.Version, installed))
	}
	for _, row := range rows {
		var change declarer.Change
		if err := json.Unmarshal(row.Value, &change); err != nil {
			return failer.Wrap("read changes", KindInvalid, err)
		}
		if _, err := r.Installer.InstallChange(change); err != nil {
			return err
		}
	}
	return nil
}

func (r *Reader) installSnapshot(ctx context.Context, version uint64) error {
	b, err := r.Store.GetObject(ctx, SnapshotName(version))
	if err != nil {
		return failer.Wrap("read snapshot", KindStore, err)
	}
	var s declarer.Snapshot
	if err := json.Unmarshal(b, &s); err != nil {
		return failer.Wrap("read snapshot", KindInvalid, err)
	}
	_, err = r.Installer.InstallSnapshot(s)
	return err
}
