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

// HeadKey is the row that names the newest version.
const HeadKey = "config/head"

const (
	// ReadEvery is the period of reading the head. With a lost read and the
	// jitter a router still learns of a version within the promised 5 s.
	ReadEvery = 2500 * time.Millisecond
	// minRetry and maxRetry bound the growing wait after a failed reading.
	minRetry = 300 * time.Millisecond
	maxRetry = ReadEvery
	// readJitter spreads the reads of many routers.
	readJitter = 500 * time.Millisecond
	// scanLimit is how many changes one read takes.
	scanLimit = 200
)

// ChangeKey returns the row of a version's change.
func ChangeKey(version uint64) string { return fmt.Sprintf("config/change/%020d", version) }

// SnapshotName returns the object that holds the snapshot of a version.
func SnapshotName(version uint64) string { return fmt.Sprintf("config-snapshot-%d", version) }

// Reader keeps an Installer up to date with the store. Store and Installer must
// be set; OnRead, if set, is told how each reading of the head ended.
type Reader struct {
	Store     *connector.Client
	Installer *Installer
	OnRead    func(err error)
	// Kick makes Run read at once; nil is never ready.
	Kick chan struct{}
}

// Run reads until the context ends.
func (r *Reader) Run(ctx context.Context) {
	retry := minRetry
	for {
		err := r.Read(ctx)
		if ctx.Err() != nil {
			return
		}
		next := ReadEvery + rand.N(readJitter)
		if err != nil {
			next = retry + rand.N(retry)
			retry = min(2*retry, maxRetry)
		} else {
			retry = minRetry
		}
		if r.OnRead != nil {
			r.OnRead(err)
		}
		t := time.NewTimer(next)
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		case <-r.Kick:
			t.Stop()
		}
	}
}

// Read brings the installer to the store's head.
func (r *Reader) Read(ctx context.Context) error {
	head, _, err := ReadHead(ctx, r.Store)
	if err != nil {
		return err
	}
	for r.Installer.Version() < head.Version {
		if err := r.advance(ctx, head); err != nil {
			return err
		}
	}
	return nil
}

// ReadHead returns the head and its row's version; without a configuration
// both are zero.
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

// advance installs the snapshot, when it is ahead, or the next changes.
func (r *Reader) advance(ctx context.Context, head declarer.Head) error {
	have := r.Installer.Version()
	if head.SnapshotVersion > have {
		return r.snapshot(ctx, head.SnapshotVersion)
	}
	rows, err := r.Store.Scan(ctx, "config/change/", ChangeKey(have), scanLimit)
	if err != nil {
		return failer.Wrap("read changes", KindStore, err)
	}
	if len(rows) == 0 {
		return failer.New("read changes", KindGap, fmt.Sprintf("the head is at %d, no change after %d", head.Version, have))
	}
	for _, row := range rows {
		var ch declarer.Change
		if err := json.Unmarshal(row.Value, &ch); err != nil {
			return failer.Wrap("read changes", KindInvalid, err)
		}
		if _, err := r.Installer.InstallChange(ch); err != nil {
			return err
		}
	}
	return nil
}

func (r *Reader) snapshot(ctx context.Context, version uint64) error {
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
