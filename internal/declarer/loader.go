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
	WorkKinds      []WorkKind      `yaml:"kinds,omitempty"`
	BackendServers []BackendServer `yaml:"backend-servers,omitempty"`
}

// Load reads all .yaml files of a directory and returns the configuration at version 0. Its error
// lists all problems, each on a line of its own with file, line number and how to fix it.
func Load(dir string) (*Config, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.yaml"))
	if err != nil {
		return nil, failer.Wrap("load "+dir, KindRead, err)
	}
	if len(paths) == 0 {
		return nil, failer.New("load "+dir, KindRead, "the directory contains no .yaml files")
	}
	sort.Strings(paths)
	l := loader{locations: map[string]string{}}
	for _, p := range paths {
		data, err := os.ReadFile(p)
		if err != nil {
			return nil, failer.Wrap("load "+dir, KindRead, err)
		}
		l.addFile(filepath.Base(p), data)
	}
	return l.build("load " + dir)
}

// LoadBytes parses the content of a single file; see Load.
func LoadBytes(name string, data []byte) (*Config, error) {
	l := loader{locations: map[string]string{}}
	l.addFile(name, data)
	return l.build("load " + name)
}

// loader collects the rows and the problems of declaration files.
type loader struct {
	rows []Row
	// locations maps row keys to file and line.
	locations map[string]string
	problems  []string
}

func (l *loader) addFile(name string, data []byte) {
	var file File
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	if err := decoder.Decode(&file); err != nil && !errors.Is(err, io.EOF) {
		l.addDecodeError(name, err)
		return
	}
	lines := itemLines(data)
	for i := range file.Workspaces {
		w := &file.Workspaces[i]
		l.addItem(name, lines, SectionWorkspaces, i, w.Name, w)
	}
	for i := range file.Pools {
		p := &file.Pools[i]
		l.addItem(name, lines, SectionPools, i, p.Name, p)
	}
	for i := range file.WorkKinds {
		k := &file.WorkKinds[i]
		l.addItem(name, lines, SectionWorkKinds, i, k.Name, k)
	}
	for i := range file.BackendServers {
		s := &file.BackendServers[i]
		l.addItem(name, lines, SectionBackendServers, i, s.Name, s)
	}
}

// addDecodeError adds the problems in an error of the YAML library, one by one.
func (l *loader) addDecodeError(name string, err error) {
	var typeErr *yaml.TypeError
	if !errors.As(err, &typeErr) {
		l.problems = append(l.problems, fmt.Sprintf("%s: %v", name, err))
		return
	}
	for _, message := range typeErr.Errors {
		message = strings.ReplaceAll(message, " in type declarer.", " in a declaration of type ")
		l.problems = append(l.problems, fmt.Sprintf("%s: %s", name, message))
	}
}

func (l *loader) addItem(file string, lines map[Section][]int, section Section, i int, name string, v validator) {
	location := file
	if i < len(lines[section]) {
		location = fmt.Sprintf("%s:%d", file, lines[section][i])
	}
	for _, problem := range v.Validate() {
		l.problems = append(l.problems, location+": "+problem)
	}
	r := NewRow(section, name, v)
	if other := l.locations[r.Key()]; other != "" {
		l.problems = append(l.problems, fmt.Sprintf("%s: %s is declared at %s already; remove one", location, r.Key(), other))
		return
	}
	l.locations[r.Key()] = location
	l.rows = append(l.rows, r)
}

func (l *loader) build(op string) (*Config, error) {
	if len(l.problems) > 0 {
		return nil, failer.New(op, KindInvalid, strings.Join(l.problems, "\n"))
	}
	c, err := (&Config{}).Apply(0, l.rows)
	if err != nil {
		return nil, err
	}
	for _, problem := range c.CheckReferences() {
		key, _, _ := strings.Cut(problem, ": ")
		l.problems = append(l.problems, l.locations[key]+": "+problem)
	}
	if len(l.problems) > 0 {
		return nil, failer.New(op, KindInvalid, strings.Join(l.problems, "\n"))
	}
	return c, nil
}

// itemLines returns the line numbers of the list items in each section. The data was decoded
// before, so it is valid YAML.
func itemLines(data []byte) map[Section][]int {
	lines := map[Section][]int{}
	var doc yaml.Node
	if yaml.Unmarshal(data, &doc) != nil || len(doc.Content) == 0 {
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
