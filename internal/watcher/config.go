package watcher

import (
	"time"

	"papayapaddle/internal/cataloger"
)

// installedCatalog is a catalog and its encoding, which is sent to peers.
type installedCatalog struct {
	catalog *cataloger.Catalog
	raw     []byte
}

// RawConfig returns the encoded configuration and its version if it is newer than a version.
func (w *Watcher) RawConfig(after uint64) ([]byte, uint64) {
	if i := w.catalog.Load(); i != nil && i.catalog.Version > after {
		return i.raw, i.catalog.Version
	}
	return nil, 0
}

// ConfigVersion returns the version of the configuration in force, 0 if there is none yet.
func (w *Watcher) ConfigVersion() uint64 {
	if c := w.Catalog(); c != nil {
		return c.Version
	}
	return 0
}

// ConfirmConfig records that the configuration of a version was the newest at a time on the
// boot clock; version 0 says that there was none. Confirmations of versions other than the
// one in force are ignored.
func (w *Watcher) ConfirmConfig(version uint64, at time.Duration) {
	if w.ConfigVersion() == version {
		w.configState.confirm(at)
	}
}

// InstallConfig puts a configuration in force if it is newer than the current one. Within
// one process, versions never decrease.
func (w *Watcher) InstallConfig(raw []byte, source string) (*cataloger.Catalog, error) {
	c, _, err := w.install(raw, source)
	return c, err
}

// install implements InstallConfig. It returns the configuration in force and the version of the one that was given.
func (w *Watcher) install(raw []byte, source string) (inForce *cataloger.Catalog, version uint64, err error) {
	c, err := w.DecodeCatalog(raw)
	if err != nil {
		return nil, 0, err
	}
	w.installMu.Lock()
	defer w.installMu.Unlock()
	old := w.Catalog()
	if old != nil && c.Version <= old.Version {
		return old, c.Version, nil
	}
	w.catalog.Store(&installedCatalog{catalog: c, raw: raw})
	oldVersion := uint64(0)
	if old != nil {
		oldVersion = old.Version
	}
	w.Log("config-installed", "version", c.Version, "was", oldVersion, "from", source,
		"routes", len(c.Routes), "workspaces", len(c.Workspaces))
	if w.OnCatalog != nil {
		w.OnCatalog(c)
	}
	return c, c.Version, nil
}

// applyConfig installs the configuration of a batch.
func (w *Watcher) applyConfig(b batch) answerUse {
	w.applyEvacuations(b)
	before := w.stored
	if b.fullTable {
		w.stored = storedConfig{}
	}
	inForce := w.ConfigVersion()
	for _, r := range b.rows {
		if r.Key != w.ConfigKey || r.Deleted {
			continue
		}
		_, version, err := w.install(r.Value, "store")
		if err != nil {
			w.Log("config-unreadable", "err", err)
			w.stored = before
			return answerUnreadable
		}
		w.stored = storedConfig{row: Position{Era: b.position.Era, Version: r.Version}, version: version}
		if w.stored.rewrittenSince(before) {
			w.settleByRow(b.position.Era, b.requestedAt)
		}
		before = w.stored
	}
	if len(b.rows) > 0 {
		w.Log("config-read", "version", w.stored.version, "row", w.stored.row, "was", inForce, "in-force", w.ConfigVersion())
	}
	// A restored store that holds an older configuration than the one in force shows that it lost some.
	if w.stored.version < w.ConfigVersion() || !w.proves(b.position.Era, b.requestedAt) {
		return answerUnproven
	}
	return answerConfirms
}

// storedConfig is the configuration that the store held when it was last read.
type storedConfig struct {
	// row is the position of the row's last change, with the era in which the row was read. It is zero if there is none.
	row     Position
	version uint64
}

// rewrittenSince reports whether the row was certainly written after the store was restored, if it was read in an earlier era
// before. Versions of configurations and of their rows only rise within an era.
func (s storedConfig) rewrittenSince(before storedConfig) bool {
	if before.version == 0 || s.version < before.version {
		return false
	}
	if s.row.Era == before.row.Era || s.version == before.version {
		return s.row.Version != before.row.Version
	}
	return s.row.Version <= before.row.Version
}
