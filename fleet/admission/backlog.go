// Package admission decides which submissions are refused because the work that waits is expected to make them too late.
// The decider publishes the expected wait of new work, and every entry decides by that record. The package performs no I/O
// and uses neither a clock nor random numbers.
package admission

import (
	"fmt"

	"github.com/verbenakeel/verbenakeel/errdefs"
	"github.com/verbenakeel/verbenakeel/fleet/work"
)

const (
	// MaxRows bounds the rows of a record: some services, with a few priorities and two kinds of capacity each.
	MaxRows = 128
	// maxName bounds the name of a service in bytes.
	maxName = 128
	// maxRecordBytes bounds a record in bytes, so that a damaged one costs little. It holds MaxRows rows.
	maxRecordBytes = 32 << 10
	// MaxWaitMs bounds the expected wait in milliseconds. Longer waits make no difference to any decision.
	MaxWaitMs = 3_600_000
)

// Backlog is the expected wait of new work, as the decider publishes it while there is too little capacity.
type Backlog struct {
	// ComputedMs is when it was computed, by the decider's wall clock in Unix milliseconds.
	ComputedMs int64 `cbor:"1,keyasint"`
	Rows       []Row `cbor:"2,keyasint,omitempty"`
}

// Row is the expected wait of new work of one service, priority and kind of capacity. It also holds for lower priorities
// (with higher numbers) up to the next row.
type Row struct {
	Service  string `cbor:"1,keyasint"`
	Priority int    `cbor:"2,keyasint"`
	// BestEffort is true for best-effort capacity and false for reserved CPU.
	BestEffort bool `cbor:"3,keyasint,omitempty"`
	// WaitMs is the expected wait in milliseconds, 0 to MaxWaitMs.
	WaitMs int64 `cbor:"4,keyasint"`
	// FallMsPerS is by how many milliseconds the wait falls in a second; negative while it grows, 0 if unknown.
	FallMsPerS int64 `cbor:"5,keyasint,omitempty"`
}

// Encode returns the stored form. It leaves out rows that Decode would reject.
func Encode(b *Backlog) []byte {
	kept := Backlog{ComputedMs: b.ComputedMs}
	for _, r := range b.Rows {
		if len(kept.Rows) < MaxRows && checkRow(&r) == nil {
			kept.Rows = append(kept.Rows, r)
		}
	}
	return work.Encode(&kept)
}

// Decode returns the backlog of a stored record. It ignores fields that it does not know. Its errors are of kind
// Incompatible or name the invalid field.
func Decode(data []byte) (*Backlog, error) {
	if len(data) > maxRecordBytes {
		return nil, errdefs.Field("backlog", fmt.Sprintf("has %d bytes", len(data)), fmt.Sprintf("publish at most %d", maxRecordBytes))
	}
	b := &Backlog{}
	if err := work.Decode(data, b); err != nil {
		return nil, err
	}
	if len(b.Rows) > MaxRows {
		return nil, errdefs.Field("rows", fmt.Sprintf("has %d entries", len(b.Rows)), fmt.Sprintf("publish at most %d", MaxRows))
	}
	for i := range b.Rows {
		if err := checkRow(&b.Rows[i]); err != nil {
			return nil, fmt.Errorf("rows[%d]: %w", i, err)
		}
	}
	return b, nil
}

// checkRow returns an error that names the first field out of range, or nil.
func checkRow(r *Row) error {
	switch {
	case len(r.Service) > maxName:
		return errdefs.Field("service", fmt.Sprintf("has %d bytes", len(r.Service)), fmt.Sprintf("publish at most %d", maxName))
	case r.WaitMs < 0 || r.WaitMs > MaxWaitMs:
		return errdefs.Field("wait", fmt.Sprint(r.WaitMs), fmt.Sprintf("publish 0 to %d", MaxWaitMs))
	}
	return nil
}

// Wait returns the row that holds for new work; false if such work is not expected to wait.
func (b *Backlog) Wait(service string, priority int, bestEffort bool) (Row, bool) {
	best, found := Row{}, false
	for _, r := range b.Rows {
		if r.Service == service && r.BestEffort == bestEffort && r.Priority <= priority && (!found || r.Priority > best.Priority) {
			best, found = r, true
		}
	}
	return best, found
}
