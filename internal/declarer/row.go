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
	// SnapshotVersion is the version of the newest snapshot in the object store, or 0.
	SnapshotVersion uint64 `json:"snapshot,omitempty"`
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
	decoder := json.NewDecoder(bytes.NewReader(r.Body))
	decoder.DisallowUnknownFields()
	var v T
	if err := decoder.Decode(&v); err != nil {
		return nil, failer.Wrap("decode "+r.Key(), KindInvalid, err)
	}
	return &v, nil
}

type validator interface{ Validate() []string }

func validateRow(r Row, name string, v validator) error {
	problems := v.Validate()
	if name != r.Name {
		problems = append(problems, fmt.Sprintf("the body is named %q", name))
	}
	if len(problems) > 0 {
		return failer.New("check "+r.Key(), KindInvalid, strings.Join(problems, "; "))
	}
	return nil
}
