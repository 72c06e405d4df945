// Package failer holds the shape that every package's error type shares: the
// operation that failed, the kind of failure, and the cause.
//
// A package declares its kinds and one alias, for example:
//
//	type Kind string
//	type Error = failer.Error[Kind]
package failer

import (
	"errors"

	"github.com/rotisserie/eris"
)

// Error says which operation failed and how. K is the package's own kind type.
type Error[K ~string] struct {
	// Op is the operation that failed, for example "apply".
	Op string
	// Kind is the package's classification, which callers branch on.
	Kind K
	// Err is the cause and may be nil.
	Err error
}

// Error prints the operation, the kind and the cause on one line.
func (e *Error[K]) Error() string {
	s := e.Op + ": " + string(e.Kind)
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error[K]) Unwrap() error { return e.Err }

// New returns an error with a cause that is described by a message.
func New[K ~string](op string, kind K, msg string) error {
	return &Error[K]{Op: op, Kind: kind, Err: eris.New(msg)}
}

// Wrap returns an error around a cause.
func Wrap[K ~string](op string, kind K, err error) error {
	return &Error[K]{Op: op, Kind: kind, Err: err}
}

// KindOf returns the kind of the first error of type Error[K] in the chain, or
// the empty kind if there is none.
func KindOf[K ~string](err error) K {
	var e *Error[K]
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}
