package declarer

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"gopkg.in/yaml.v3"

	"papayapaddle/internal/failer"
)

// File is one YAML file of a declaration directory.
type File struct {
	Workspaces     []Workspace     `yaml:"workspaces,omitempty"`
	Pools          []Pool          `yaml:"pools,omitempty"`
	Kinds          []WorkKind      `yaml:"kinds,omitempty"`
	BackendServers []BackendServer `yaml:"backend-servers,omitempty"`
}

// Load reads every .yaml file of a directory and returns the configuration at
// version 0, with all that is wrong in one error: one line each, with file,
// line and what to do.
func Load(dir string) (*Config, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.yaml"))
	if err != nil {
		return nil, failer.Wrap("load "+dir, KindRead, err)
	}
	if len(paths) == 0 {
		return nil, failer.New("load "+dir, KindRead, "the directory holds no .yaml file")
	}
	sort.Strings(paths)
	l := loader{places: map[string]string{}}
	for _, p := range paths {
		b, err := os.ReadFile(p)
		if err != nil {
			return nil, failer.Wrap("load "+dir, KindRead, err)
		}
		l.file(filepath.Base(p), b)
	}
	return l.finish("load " + dir)
}

// LoadBytes reads one file's content; see Load.
func LoadBytes(name string, b []byte) (*Config, error) {
	l := loader{places: map[string]string{}}
	l.file(name, b)
	return l.finish("load " + name)
}

type loader struct {
	rows   []Row
	places map[string]string
	bad    []string
}

func (l *loader) file(name string, b []byte) {
	var f File
	d := yaml.NewDecoder(bytes.NewReader(b))
	d.KnownFields(true)
	if err := d.Decode(&f); err != nil && !errors.Is(err, io.EOF) {
		l.decodeError(name, err)
		return
	}
	lines := itemLines(b)
	for i := range f.Workspaces {
		w := &f.Workspaces[i]
		l.item(name, lines, SectionWorkspaces, i, w.Name, w)
	}
	for i := range f.Pools {
		p := &f.Pools[i]
		l.item(name, lines, SectionPools, i, p.Name, p)
	}
	for i := range f.Kinds {
		k := &f.Kinds[i]
		l.item(name, lines, SectionKinds, i, k.Name, k)
	}
	for i := range f.BackendServers {
		s := &f.BackendServers[i]
		l.item(name, lines, SectionBackendServers, i, s.Name, s)
	}
}

// decodeError splits the YAML library's error into one line each.
func (l *loader) decodeError(name string, err error) {
	var te *yaml.TypeError
	if !errors.As(err, &te) {
		l.bad = append(l.bad, fmt.Sprintf("%s: %v", name, err))
		return
	}
	for _, e := range te.Errors {
		e = strings.ReplaceAll(e, " in type declarer.", " in a declaration of type ")
		l.bad = append(l.bad, fmt.Sprintf("%s: %s", name, e))
	}
}

func (l *loader) item(file string, lines map[Section][]int, section Section, i int, name string, v checker) {
	place := file
	if i < len(lines[section]) {
		place = fmt.Sprintf("%s:%d", file, lines[section][i])
	}
	for _, b := range v.Check() {
		l.bad = append(l.bad, place+": "+b)
	}
	r := NewRow(section, name, v)
	if other := l.places[r.Key()]; other != "" {
		l.bad = append(l.bad, fmt.Sprintf("%s: %s is declared at %s already; remove one", place, r.Key(), other))
		return
	}
	l.places[r.Key()] = place
	l.rows = append(l.rows, r)
}

func (l *loader) finish(op string) (*Config, error) {
	if len(l.bad) > 0 {
		return nil, failer.New(op, KindInvalid, strings.Join(l.bad, "\n"))
	}
	c, err := (&Config{}).Apply(0, l.rows)
	if err != nil {
		return nil, err
	}
	for _, b := range c.CheckReferences() {
		key, _, _ := strings.Cut(b, ": ")
		l.bad = append(l.bad, l.places[key]+": "+b)
	}
	if len(l.bad) > 0 {
		return nil, failer.New(op, KindInvalid, strings.Join(l.bad, "\n"))
	}
	return c, nil
}

// itemLines finds the line of each list item; a file that decodes has them.
func itemLines(b []byte) map[Section][]int {
	lines := map[Section][]int{}
	var doc yaml.Node
	if yaml.Unmarshal(b, &doc) != nil || len(doc.Content) == 0 {
		return lines
	}
	root := doc.Content[0]
	for i := 0; i+1 < len(root.Content); i += 2 {
		section := Section(root.Content[i].Value)
		for _, item := range root.Content[i+1].Content {
			lines[section] = append(lines[section], item.Line)
		}
	}
	return lines
}
