package declarer

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"papayapaddle/internal/failer"
)

// Row is one declaration as the table service keeps it. A row without a body
// is a deletion.
type Row struct {
	Section Section         `json:"section"`
	Name    string          `json:"name"`
	Body    json.RawMessage `json:"body,omitempty"`
}

// Key identifies the row among all declarations.
func (r Row) Key() string { return string(r.Section) + "/" + r.Name }

// Change is one accepted configuration: the rows that differ from the version
// before.
type Change struct {
	Version uint64 `json:"version"`
	// ID is minted by the operator's process, so that an apply whose answer was
	// lost can be found again.
	ID   string `json:"id"`
	Rows []Row  `json:"rows"`
}

// Head names the newest accepted version.
type Head struct {
	Version uint64 `json:"version"`
	// Snapshot is the version of the newest snapshot in the object store, or 0.
	Snapshot uint64 `json:"snapshot,omitempty"`
}

// Snapshot is a whole configuration at one version.
type Snapshot struct {
	Version uint64 `json:"version"`
	Rows    []Row  `json:"rows"`
}

// NewRow encodes a declaration. The value must be one of this package's types.
func NewRow(section Section, name string, v any) Row {
	b, err := json.Marshal(v)
	if err != nil {
		// The package's own types always encode.
		panic(err)
	}
	return Row{Section: section, Name: name, Body: b}
}

// decodeRow decodes a body strictly.
func decodeRow[T any](r Row) (*T, error) {
	d := json.NewDecoder(bytes.NewReader(r.Body))
	d.DisallowUnknownFields()
	var v T
	if err := d.Decode(&v); err != nil {
		return nil, failer.Wrap("decode "+r.Key(), KindInvalid, err)
	}
	return &v, nil
}

type checker interface{ Check() []string }

func checkRow(r Row, name string, v checker) error {
	bad := v.Check()
	if name != r.Name {
		bad = append(bad, fmt.Sprintf("the body is named %q", name))
	}
	if len(bad) > 0 {
		return failer.New("check "+r.Key(), KindInvalid, strings.Join(bad, "; "))
	}
	return nil
}
