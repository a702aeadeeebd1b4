package entry

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/verbenakeel/verbenakeel/errdefs"
)

// snapshotMode encodes equal states to equal bytes.
var snapshotMode = func() cbor.EncMode {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// export encodes the folded state of a stream, with the offset it was folded to and the age of the newest read.
func (e *Entry) export(name string) ([]byte, uint64, time.Duration, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var v any
	var next uint64
	switch name {
	case configStream:
		v, next = e.state.Config, e.state.Config.Next
	case e.regionStream():
		if learned, err := e.state.Decider.Learned(); err == nil {
			e.state.Region.Learned = learned
		}
		v, next = e.state.Region, e.state.Region.Next
	case e.claimStream():
		v, next = e.state.Claims, e.state.Claims.Next
	default:
		return nil, 0, 0, errdefs.Field("stream", fmt.Sprintf("%q is unknown", name), "ask for a stream of this region")
	}
	data, err := snapshotMode.Marshal(v)
	if err != nil {
		return nil, 0, 0, fmt.Errorf("encode snapshot of %s: %w", name, err)
	}
	return data, next, 0, nil
}
