// Package errdefs defines the typed error kinds of verbenakeel. Every error names its remedy.
package errdefs

import (
	"errors"
	"fmt"
)

// Kind classifies an error by what the caller can do about it.
type Kind string

// Kinds of errors.
const (
	// Invalid means the input is malformed; repeating it unchanged cannot succeed.
	Invalid Kind = "invalid"
	// Refused means the operation was not carried out and nothing of it will run.
	Refused Kind = "refused"
	// Unavailable means a needed service does not answer; nothing was carried out.
	Unavailable Kind = "unavailable"
	// Unknown means the operation may or may not have taken effect.
	Unknown Kind = "unknown"
	// Conflict means another change won.
	Conflict Kind = "conflict"
	// NotFound means the named object does not exist.
	NotFound Kind = "not_found"
	// Expired means the object existed and its retention has passed.
	Expired Kind = "expired"
	// Unauthorized means the credentials are missing or do not allow the operation.
	Unauthorized Kind = "unauthorized"
	// Incompatible means that data has a schema newer than this program.
	Incompatible Kind = "incompatible"
)

// Error is a typed error whose message ends in what to do.
type Error struct {
	// Kind classifies the error.
	Kind Kind
	// Field names the part of the input at fault; empty if none.
	Field string
	// Message says what is wrong.
	Message string
	// Remedy says what to do.
	Remedy string
}

// New returns an Error of the given kind.
func New(kind Kind, message, remedy string) *Error {
	return &Error{Kind: kind, Message: message, Remedy: remedy}
}

// Field returns an Invalid error about one field of the input.
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

// Is reports whether target is an Error of the same kind, so that errors.Is matches kinds.
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
