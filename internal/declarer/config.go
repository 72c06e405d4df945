package declarer

import (
	"crypto/subtle"
	"fmt"
	"maps"
	"slices"
	"sort"
	"strings"

	"papayapaddle/internal/failer"
	"papayapaddle/internal/placer"
)

// shardCount is the number of shards of each workspace map. A changed workspace copies one shard of
// a map instead of the whole map.
const shardCount = 256

// keyEntry maps the hash of an API key to its workspace.
type keyEntry struct {
	hash      string
	workspace *Workspace
}

// Config is an immutable version of the declarations, indexed for lookups while requests are
// handled. The zero value is the empty configuration at version 0.
type Config struct {
	Version uint64

	workspacesByName [shardCount]map[string]*Workspace
	workspacesByKey  [shardCount]map[string]keyEntry
	workspacesByID   [shardCount]map[uint32]*Workspace
	// Pools, WorkKinds and BackendServers are small, so Apply copies them whole.
	Pools          map[string]*Pool
	WorkKinds      map[string]*WorkKind
	BackendServers map[string]*BackendServer
	// kindsBySpecificity lists the work kinds, the most specific one first.
	kindsBySpecificity []*WorkKind
	workspaceCount     int
}

func shardIndex(s string) int { return int(placer.ID(s) % shardCount) }

// Apply returns a new configuration with the rows of a change applied. It shares the unchanged
// parts with c, which it does not modify. It rejects invalid rows, although rows should have been
// validated before they were committed.
func (c *Config) Apply(version uint64, rows []Row) (*Config, error) {
	next := *c
	next.Version = version
	next.Pools = maps.Clone(c.Pools)
	next.WorkKinds = maps.Clone(c.WorkKinds)
	next.BackendServers = maps.Clone(c.BackendServers)
	b := builder{config: &next}
	for _, r := range rows {
		if err := b.applyRow(r); err != nil {
			return nil, err
		}
	}
	next.kindsBySpecificity = sortBySpecificity(next.WorkKinds)
	return &next, nil
}

// builder applies rows to a copied configuration. It tracks which shards it has cloned and may
// modify.
type builder struct {
	config     *Config
	ownsByName [shardCount]bool
	ownsByKey  [shardCount]bool
	ownsByID   [shardCount]bool
}

func (b *builder) applyRow(row Row) error {
	switch row.Section {
	case SectionWorkspaces:
		return b.applyWorkspace(row)
	case SectionPools:
		return applyToMap(&b.config.Pools, row, func(v *Pool) (string, validator) { return v.Name, v })
	case SectionWorkKinds:
		return applyToMap(&b.config.WorkKinds, row, func(v *WorkKind) (string, validator) { return v.Name, v })
	case SectionBackendServers:
		return applyToMap(&b.config.BackendServers, row, func(v *BackendServer) (string, validator) { return v.Name, v })
	}
	return failer.New("check "+row.Key(), KindInvalid, fmt.Sprintf("unknown section %q", row.Section))
}

func applyToMap[T any](m *map[string]*T, r Row, identify func(*T) (string, validator)) error {
	if *m == nil {
		*m = map[string]*T{}
	}
	if len(r.Body) == 0 {
		delete(*m, r.Name)
		return nil
	}
	v, err := decodeRow[T](r)
	if err != nil {
		return err
	}
	name, item := identify(v)
	if err := validateRow(r, name, item); err != nil {
		return err
	}
	(*m)[r.Name] = v
	return nil
}

func (b *builder) applyWorkspace(r Row) error {
	nameShard := shardIndex(r.Name)
	cloneOnce(&b.config.workspacesByName[nameShard], &b.ownsByName[nameShard])
	if old := b.config.workspacesByName[nameShard][r.Name]; old != nil {
		b.removeFromIndexes(old)
		delete(b.config.workspacesByName[nameShard], r.Name)
		b.config.workspaceCount--
	}
	if len(r.Body) == 0 {
		return nil
	}
	w, err := decodeRow[Workspace](r)
	if err != nil {
		return err
	}
	if err := validateRow(r, w.Name, w); err != nil {
		return err
	}
	b.config.workspacesByName[nameShard][w.Name] = w
	b.config.workspaceCount++
	for _, h := range w.KeyHashes {
		keyShard := shardIndex(h)
		cloneOnce(&b.config.workspacesByKey[keyShard], &b.ownsByKey[keyShard])
		b.config.workspacesByKey[keyShard][h] = keyEntry{hash: h, workspace: w}
	}
	id := placer.ID(w.Name)
	idShard := id % shardCount
	cloneOnce(&b.config.workspacesByID[idShard], &b.ownsByID[idShard])
	b.config.workspacesByID[idShard][id] = w
	return nil
}

func (b *builder) removeFromIndexes(w *Workspace) {
	for _, h := range w.KeyHashes {
		keyShard := shardIndex(h)
		cloneOnce(&b.config.workspacesByKey[keyShard], &b.ownsByKey[keyShard])
		delete(b.config.workspacesByKey[keyShard], h)
	}
	id := placer.ID(w.Name)
	idShard := id % shardCount
	cloneOnce(&b.config.workspacesByID[idShard], &b.ownsByID[idShard])
	delete(b.config.workspacesByID[idShard], id)
}

// cloneOnce clones a shared map before its first modification.
func cloneOnce[K comparable, V any](m *map[K]V, owned *bool) {
	if *owned {
		return
	}
	*owned = true
	if *m == nil {
		*m = map[K]V{}
		return
	}
	*m = maps.Clone(*m)
}

// sortBySpecificity sorts work kinds by the specificity of their conditions, highest first, then by
// name. A longer path outweighs a model, and a model outweighs methods.
func sortBySpecificity(kinds map[string]*WorkKind) []*WorkKind {
	specificity := func(k *WorkKind) int {
		n := len(k.Path) * 4
		if k.Model != "" {
			n += 2
		}
		if len(k.Methods) > 0 {
			n++
		}
		return n
	}
	sorted := slices.Collect(maps.Values(kinds))
	sort.Slice(sorted, func(i, j int) bool {
		a, b := specificity(sorted[i]), specificity(sorted[j])
		if a != b {
			return a > b
		}
		return sorted[i].Name < sorted[j].Name
	})
	return sorted
}

// WorkspaceCount returns the number of workspaces.
func (c *Config) WorkspaceCount() int { return c.workspaceCount }

// Workspace returns the workspace with the name, or nil.
func (c *Config) Workspace(name string) *Workspace { return c.workspacesByName[shardIndex(name)][name] }

// WorkspaceByID returns the workspace whose name has the ID, or nil; see placer.ID.
func (c *Config) WorkspaceByID(id uint32) *Workspace { return c.workspacesByID[id%shardCount][id] }

// WorkspaceByKey returns the workspace that an API key belongs to, or nil.
func (c *Config) WorkspaceByKey(key string) *Workspace {
	hash := HashAPIKey(key)
	entry, ok := c.workspacesByKey[shardIndex(hash)][hash]
	if !ok || subtle.ConstantTimeCompare([]byte(entry.hash), []byte(hash)) != 1 {
		return nil
	}
	return entry.workspace
}

// PoolByModel returns the pool that serves the model, or nil.
func (c *Config) PoolByModel(model string) *Pool {
	for _, p := range c.Pools {
		if slices.Contains(p.Models, model) {
			return p
		}
	}
	return nil
}

// PoolByService returns the pool that serves the plain service, or nil.
func (c *Config) PoolByService(service string) *Pool {
	for _, p := range c.Pools {
		if p.Type == PoolService && p.Service == service {
			return p
		}
	}
	return nil
}

// MatchWorkKind returns the most specific work kind that matches the request, or nil.
func (c *Config) MatchWorkKind(pool, method, path, model string) *WorkKind {
	for _, k := range c.kindsBySpecificity {
		if k.Pool != pool {
			continue
		}
		if k.Model != "" && k.Model != model {
			continue
		}
		if len(k.Methods) > 0 && !slices.Contains(k.Methods, method) {
			continue
		}
		if k.Path != "" && !strings.HasPrefix(path, k.Path) {
			continue
		}
		return k
	}
	return nil
}

// Rows returns all declarations as rows, sorted by key.
func (c *Config) Rows() []Row {
	var rows []Row
	for _, m := range c.workspacesByName {
		for n, w := range m {
			rows = append(rows, NewRow(SectionWorkspaces, n, w))
		}
	}
	for n, p := range c.Pools {
		rows = append(rows, NewRow(SectionPools, n, p))
	}
	for n, k := range c.WorkKinds {
		rows = append(rows, NewRow(SectionWorkKinds, n, k))
	}
	for n, s := range c.BackendServers {
		rows = append(rows, NewRow(SectionBackendServers, n, s))
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key() < rows[j].Key() })
	return rows
}

// CheckReferences returns the problems between declarations: undeclared pools, models and services
// that two pools serve, colliding IDs and shared API keys. Each problem starts with the key of its
// row and a colon.
func (c *Config) CheckReferences() []string {
	var problems []string
	for _, name := range slices.Sorted(maps.Keys(c.WorkKinds)) {
		if c.Pools[c.WorkKinds[name].Pool] == nil {
			problems = append(problems, fmt.Sprintf("kinds/%s: pool %q is not declared", name, c.WorkKinds[name].Pool))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.BackendServers)) {
		if c.Pools[c.BackendServers[name].Pool] == nil {
			problems = append(problems, fmt.Sprintf("backend-servers/%s: pool %q is not declared", name, c.BackendServers[name].Pool))
		}
	}
	servedBy := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(c.Pools)) {
		p := c.Pools[name]
		names := append([]string(nil), p.Models...)
		if p.Service != "" {
			names = append(names, "service "+p.Service)
		}
		for _, served := range names {
			if other := servedBy[served]; other != "" {
				problems = append(problems, fmt.Sprintf("pools/%s: %q is served by pool %q already", name, served, other))
			}
			servedBy[served] = name
		}
	}
	return append(problems, c.checkIdentifiers()...)
}

// checkIdentifiers returns the problems of names whose IDs collide and of API keys that belong to
// two workspaces.
func (c *Config) checkIdentifiers() []string {
	var problems []string
	type identifier struct {
		section Section
		id      uint32
	}
	rowByIdentifier := map[identifier]string{}
	rowByKeyHash := map[string]string{}
	for _, r := range c.Rows() {
		if r.Section == SectionWorkKinds {
			continue
		}
		id := identifier{section: r.Section, id: placer.ID(r.Name)}
		if other := rowByIdentifier[id]; other != "" {
			problems = append(problems, fmt.Sprintf("%s: its ID collides with that of %s; rename one of them", r.Key(), other))
		}
		rowByIdentifier[id] = r.Key()
		if r.Section != SectionWorkspaces {
			continue
		}
		for _, h := range c.Workspace(r.Name).KeyHashes {
			if other := rowByKeyHash[h]; other != "" {
				problems = append(problems, fmt.Sprintf("%s: shares a key with %s", r.Key(), other))
			}
			rowByKeyHash[h] = r.Key()
		}
	}
	return problems
}

// Diff returns the rows that change c into the target.
func (c *Config) Diff(target *Config) []Row {
	current := map[string]Row{}
	for _, r := range c.Rows() {
		current[r.Key()] = r
	}
	var rows []Row
	for _, r := range target.Rows() {
		old, ok := current[r.Key()]
		delete(current, r.Key())
		if !ok || string(old.Body) != string(r.Body) {
			rows = append(rows, r)
		}
	}
	for _, k := range slices.Sorted(maps.Keys(current)) {
		r := current[k]
		r.Body = nil
		rows = append(rows, r)
	}
	return rows
}
