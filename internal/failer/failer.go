// Package failer provides the error type shared by all packages. It holds the
// operation that failed, the kind of failure and the cause.
//
// Each package declares its own kinds and an alias of the error type, for example:
//
//	type Kind string
//	type Error = failer.Error[Kind]
package failer

import (
	"errors"

	"github.com/rotisserie/eris"
)

// Error is an error of one operation. K is the package's type of error kinds.
type Error[K ~string] struct {
	// Op is the operation that failed, for example "apply".
	Op string
	// Kind classifies the error for callers.
	Kind K
	// Err is the cause. It may be nil.
	Err error
}

// Error returns the operation, the kind and the cause, separated by colons.
func (e *Error[K]) Error() string {
	s := e.Op + ": " + string(e.Kind)
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error[K]) Unwrap() error { return e.Err }

// New returns an error whose cause is msg.
func New[K ~string](op string, kind K, msg string) error {
	return &Error[K]{Op: op, Kind: kind, Err: eris.New(msg)}
}

// Wrap returns an error whose cause is err.
func Wrap[K ~string](op string, kind K, err error) error {
	return &Error[K]{Op: op, Kind: kind, Err: err}
}

// KindOf returns the kind of the first Error[K] in the chain of err, or the empty
// kind if there is none.
func KindOf[K ~string](err error) K {
	var e *Error[K]
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}
