package side

import (
	"io"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/control"
	"github.com/verbenakeel/verbenakeel/record"
	"github.com/verbenakeel/verbenakeel/settings"
)

// A configuration change must trigger an immediate announcement only if it concerns the side process: announcements of all
// side processes after every change exceed the heartbeat budget, and a change of its own must not wait for the heartbeat.
func TestAnnounceAtOnceOnOwnChange(t *testing.T) {
	contract, err := cbor.Marshal(record.Contract{Customer: "hartwell", Concurrency: 3})
	assert.NilError(t, err)
	for _, tc := range []struct {
		name string
		resp *control.AnnounceResponse
		want bool
	}{
		{"nothing new", &control.AnnounceResponse{Revision: 5}, false},
		{"a change of others", &control.AnnounceResponse{Revision: 6}, false},
		{"its contract", &control.AnnounceResponse{Revision: 6, Contracts: [][]byte{contract}}, true},
		{"its order", &control.AnnounceResponse{Revision: 6, Shutdown: &control.ShutdownOrder{Drain: true, Revision: 6}}, true},
		{"its order, again", &control.AnnounceResponse{Revision: 6, Shutdown: &control.ShutdownOrder{Revision: 4}}, false},
		{"an entry that is behind", &control.AnnounceResponse{Revision: 4, Contracts: [][]byte{contract}}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			set := settings.DefaultSide()
			set.ID, set.Service, set.Data = "instance-01", "fitcheck", "127.0.0.1:0"
			s, err := New(set, nil, io.Discard)
			assert.NilError(t, err)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.addEntry("127.0.0.1:1", true)
			s.revision = 5
			s.applyResponse(tc.resp)
			assert.Equal(t, len(s.announcers["127.0.0.1:1"].wake) > 0, tc.want)
			assert.Equal(t, s.revision, max(5, tc.resp.Revision))
		})
	}
}
