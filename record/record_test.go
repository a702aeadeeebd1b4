package record

import (
	"errors"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/errdefs"
)

// Guards against a field that is lost in encoding or decoding.
func TestRoundTrip(t *testing.T) {
	in := &Record{Writer: "e1", Incarnation: 7, Seq: 3, AtMs: 12, Submits: []Job{{ID: "a/b", Customer: "a", Tasks: 2}}}
	data, err := Encode(in)
	assert.NilError(t, err)
	out, err := Decode(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, in, out)
}

// Guards against a reader that decodes records of a newer schema as its own.
func TestDecodeRefusesNewerSchema(t *testing.T) {
	data, err := cbor.Marshal(map[int]any{1: SchemaVersion + 1, 2: 5})
	assert.NilError(t, err)
	_, err = Decode(data)
	assert.Assert(t, errors.Is(err, errdefs.OfKind(errdefs.Incompatible)), "got %v", err)
}
