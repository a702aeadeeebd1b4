// Package errdefs defines verbenakeel's typed errors and their kinds. Every error states a remedy.
package errdefs

import (
	"errors"
	"fmt"
)

// Kind classifies an error by what the caller can do about it.
type Kind string

// Kinds of errors.
const (
	// Invalid means that the input is malformed; a retry with the same input cannot succeed.
	Invalid Kind = "invalid"
	// Refused means that the operation was rejected; no part of it was or will be executed.
	Refused Kind = "refused"
	// Unavailable means that a required service does not respond; the operation was not executed.
	Unavailable Kind = "unavailable"
	// Unknown means that the operation may or may not have taken effect.
	Unknown Kind = "unknown"
	// Conflict means that a conflicting change took effect first.
	Conflict Kind = "conflict"
	// NotFound means that the named object does not exist.
	NotFound Kind = "not_found"
	// Expired means that the object existed but its retention has passed.
	Expired Kind = "expired"
	// Unauthorized means that the credentials are missing or do not allow the operation.
	Unauthorized Kind = "unauthorized"
	// Incompatible means that the data has a newer schema than this program supports.
	Incompatible Kind = "incompatible"
)

// Error is a typed error whose text ends with a remedy.
type Error struct {
	// Kind classifies the error.
	Kind Kind
	// Field names the invalid field of the input; empty if none.
	Field string
	// Message describes the problem.
	Message string
	// Remedy tells the caller how to resolve it.
	Remedy string
}

// New returns an Error of the given kind.
func New(kind Kind, message, remedy string) *Error {
	return &Error{Kind: kind, Message: message, Remedy: remedy}
}

// Field returns an error of kind Invalid about one field of the input.
func Field(field, message, remedy string) *Error {
	return &Error{Kind: Invalid, Field: field, Message: message, Remedy: remedy}
}

// Error implements error.
func (e *Error) Error() string {
	if e.Field != "" {
		return fmt.Sprintf("%s: %s: %s; %s", e.Kind, e.Field, e.Message, e.Remedy)
	}
	return fmt.Sprintf("%s: %s; %s", e.Kind, e.Message, e.Remedy)
}

// Is reports whether target was made by OfKind for the error's kind, so that errors.Is matches kinds.
func (e *Error) Is(target error) bool {
	t, ok := target.(*Error)
	return ok && t.Message == "" && t.Kind == e.Kind
}

// OfKind returns a target for errors.Is that matches every error of the kind.
func OfKind(kind Kind) error {
	return &Error{Kind: kind}
}

// KindOf returns the kind of the first typed error in err's chain, or an empty kind.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}
