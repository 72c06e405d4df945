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

// shardCount divides the workspaces, so that one changed workspace copies one
// shard of the map and not all of it.
const shardCount = 256

// keyEntry leads from a key's hash to its workspace.
type keyEntry struct {
	hash      string
	workspace *Workspace
}

// Config is one immutable version of the declarations, indexed for the path of
// a request. The zero value is the empty configuration at version 0.
type Config struct {
	Version uint64

	workspaces [shardCount]map[string]*Workspace
	keys       [shardCount]map[string]keyEntry
	ids        [shardCount]map[uint32]*Workspace
	// Pools, Kinds and Servers are small and copied whole at their changes.
	Pools   map[string]*Pool
	Kinds   map[string]*WorkKind
	Servers map[string]*BackendServer
	// kindOrder holds the kinds, the most specific first.
	kindOrder []*WorkKind
	count     int
}

func shardOf(s string) int { return int(placer.ID(s) % shardCount) }

// Apply returns a new configuration with the change's rows put in. It shares
// all unchanged parts with c, which stays valid. It refuses rows that cannot
// be decoded, as an operator's check should have done.
func (c *Config) Apply(version uint64, rows []Row) (*Config, error) {
	n := *c
	n.Version = version
	n.Pools = maps.Clone(c.Pools)
	n.Kinds = maps.Clone(c.Kinds)
	n.Servers = maps.Clone(c.Servers)
	b := builder{c: &n}
	for _, r := range rows {
		if err := b.put(r); err != nil {
			return nil, err
		}
	}
	n.kindOrder = orderKinds(n.Kinds)
	return &n, nil
}

// builder tracks which shards were copied already.
type builder struct {
	c      *Config
	copied [shardCount]bool
	keyed  [shardCount]bool
	idd    [shardCount]bool
}

func (b *builder) put(r Row) error {
	switch r.Section {
	case SectionWorkspaces:
		return b.putWorkspace(r)
	case SectionPools:
		return putSmall(&b.c.Pools, r, func(v *Pool) (string, checker) { return v.Name, v })
	case SectionKinds:
		return putSmall(&b.c.Kinds, r, func(v *WorkKind) (string, checker) { return v.Name, v })
	case SectionBackendServers:
		return putSmall(&b.c.Servers, r, func(v *BackendServer) (string, checker) { return v.Name, v })
	}
	return failer.New("check "+r.Key(), KindInvalid, fmt.Sprintf("unknown section %q", r.Section))
}

func putSmall[T any](m *map[string]*T, r Row, named func(*T) (string, checker)) error {
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
	name, ch := named(v)
	if err := checkRow(r, name, ch); err != nil {
		return err
	}
	(*m)[r.Name] = v
	return nil
}

func (b *builder) putWorkspace(r Row) error {
	i := shardOf(r.Name)
	own(&b.c.workspaces[i], &b.copied[i])
	if old := b.c.workspaces[i][r.Name]; old != nil {
		b.dropIndexes(old)
		delete(b.c.workspaces[i], r.Name)
		b.c.count--
	}
	if len(r.Body) == 0 {
		return nil
	}
	w, err := decodeRow[Workspace](r)
	if err != nil {
		return err
	}
	if err := checkRow(r, w.Name, w); err != nil {
		return err
	}
	b.c.workspaces[i][w.Name] = w
	b.c.count++
	for _, h := range w.KeyHashes {
		k := shardOf(h)
		own(&b.c.keys[k], &b.keyed[k])
		b.c.keys[k][h] = keyEntry{hash: h, workspace: w}
	}
	id := placer.ID(w.Name)
	d := id % shardCount
	own(&b.c.ids[d], &b.idd[d])
	b.c.ids[d][id] = w
	return nil
}

func (b *builder) dropIndexes(w *Workspace) {
	for _, h := range w.KeyHashes {
		k := shardOf(h)
		own(&b.c.keys[k], &b.keyed[k])
		delete(b.c.keys[k], h)
	}
	id := placer.ID(w.Name)
	d := id % shardCount
	own(&b.c.ids[d], &b.idd[d])
	delete(b.c.ids[d], id)
}

// own copies a shared map once, before its first change.
func own[K comparable, V any](m *map[K]V, done *bool) {
	if *done {
		return
	}
	*done = true
	if *m == nil {
		*m = map[K]V{}
		return
	}
	*m = maps.Clone(*m)
}

// orderKinds puts kinds with more conditions first, then by name.
func orderKinds(kinds map[string]*WorkKind) []*WorkKind {
	specific := func(k *WorkKind) int {
		n := len(k.Path) * 4
		if k.Model != "" {
			n += 2
		}
		if len(k.Methods) > 0 {
			n++
		}
		return n
	}
	out := slices.Collect(maps.Values(kinds))
	sort.Slice(out, func(i, j int) bool {
		a, b := specific(out[i]), specific(out[j])
		if a != b {
			return a > b
		}
		return out[i].Name < out[j].Name
	})
	return out
}

// WorkspaceCount returns the number of workspaces.
func (c *Config) WorkspaceCount() int { return c.count }

// Workspace returns the workspace of that name, or nil.
func (c *Config) Workspace(name string) *Workspace { return c.workspaces[shardOf(name)][name] }

// WorkspaceByID returns the workspace with that identifier, or nil.
func (c *Config) WorkspaceByID(id uint32) *Workspace { return c.ids[id%shardCount][id] }

// WorkspaceByKey returns the workspace that a bearer key belongs to, or nil.
func (c *Config) WorkspaceByKey(key string) *Workspace {
	h := HashKey(key)
	e, ok := c.keys[shardOf(h)][h]
	if !ok || subtle.ConstantTimeCompare([]byte(e.hash), []byte(h)) != 1 {
		return nil
	}
	return e.workspace
}

// PoolOfModel returns the pool that serves the model, or nil.
func (c *Config) PoolOfModel(model string) *Pool {
	for _, p := range c.Pools {
		if slices.Contains(p.Models, model) {
			return p
		}
	}
	return nil
}

// PoolOfService returns the pool of a plain service, or nil.
func (c *Config) PoolOfService(service string) *Pool {
	for _, p := range c.Pools {
		if p.Type == PoolService && p.Service == service {
			return p
		}
	}
	return nil
}

// KindOf returns the most specific kind that matches, or nil.
func (c *Config) KindOf(pool, method, path, model string) *WorkKind {
	for _, k := range c.kindOrder {
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

// Rows returns all declarations as rows in the order of their keys.
func (c *Config) Rows() []Row {
	var rows []Row
	for _, m := range c.workspaces {
		for n, w := range m {
			rows = append(rows, NewRow(SectionWorkspaces, n, w))
		}
	}
	for n, p := range c.Pools {
		rows = append(rows, NewRow(SectionPools, n, p))
	}
	for n, k := range c.Kinds {
		rows = append(rows, NewRow(SectionKinds, n, k))
	}
	for n, s := range c.Servers {
		rows = append(rows, NewRow(SectionBackendServers, n, s))
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key() < rows[j].Key() })
	return rows
}

// CheckReferences returns what is wrong between declarations: names that do
// not exist, and names that are taken twice.
func (c *Config) CheckReferences() []string {
	var bad []string
	for _, n := range slices.Sorted(maps.Keys(c.Kinds)) {
		if c.Pools[c.Kinds[n].Pool] == nil {
			bad = append(bad, fmt.Sprintf("kinds/%s: pool %q is not declared", n, c.Kinds[n].Pool))
		}
	}
	for _, n := range slices.Sorted(maps.Keys(c.Servers)) {
		if c.Pools[c.Servers[n].Pool] == nil {
			bad = append(bad, fmt.Sprintf("backend-servers/%s: pool %q is not declared", n, c.Servers[n].Pool))
		}
	}
	taken := map[string]string{}
	for _, n := range slices.Sorted(maps.Keys(c.Pools)) {
		p := c.Pools[n]
		names := append([]string(nil), p.Models...)
		if p.Service != "" {
			names = append(names, "service "+p.Service)
		}
		for _, m := range names {
			if other := taken[m]; other != "" {
				bad = append(bad, fmt.Sprintf("pools/%s: %q is served by pool %q already", n, m, other))
			}
			taken[m] = n
		}
	}
	return append(bad, c.checkIdentifiers()...)
}

// checkIdentifiers finds names that share an identifier and keys that two
// workspaces share.
func (c *Config) checkIdentifiers() []string {
	var bad []string
	type identifier struct {
		section Section
		id      uint32
	}
	seen := map[identifier]string{}
	keys := map[string]string{}
	for _, r := range c.Rows() {
		if r.Section == SectionKinds {
			continue
		}
		id := identifier{section: r.Section, id: placer.ID(r.Name)}
		if other := seen[id]; other != "" {
			bad = append(bad, fmt.Sprintf("%s: shares the identifier of %s; rename one", r.Key(), other))
		}
		seen[id] = r.Key()
		if r.Section != SectionWorkspaces {
			continue
		}
		for _, h := range c.Workspace(r.Name).KeyHashes {
			if other := keys[h]; other != "" {
				bad = append(bad, fmt.Sprintf("%s: shares a key with %s", r.Key(), other))
			}
			keys[h] = r.Key()
		}
	}
	return bad
}

// Diff returns the rows that lead from c to the target.
func (c *Config) Diff(target *Config) []Row {
	have := map[string]Row{}
	for _, r := range c.Rows() {
		have[r.Key()] = r
	}
	var rows []Row
	for _, r := range target.Rows() {
		old, ok := have[r.Key()]
		delete(have, r.Key())
		if !ok || string(old.Body) != string(r.Body) {
			rows = append(rows, r)
		}
	}
	for _, k := range slices.Sorted(maps.Keys(have)) {
		r := have[k]
		r.Body = nil
		rows = append(rows, r)
	}
	return rows
}
