package record

import "github.com/verbenakeel/verbenakeel/internal/rule"

// WriterSeq is the position of the newest record of one writer on one stream.
type WriterSeq struct {
	// Incarnation is the writer's newest incarnation.
	Incarnation uint64 `cbor:"1,keyasint"`
	// Seq is the highest sequence number of that incarnation.
	Seq uint64 `cbor:"2,keyasint"`
}

// Sequences holds the newest position of each writer on a stream, to drop repeated and outdated records.
type Sequences map[string]WriterSeq

// Accept reports whether the record is new and, if so, updates its writer's position. A record of an older incarnation is
// outdated, because its writer was replaced.
func (s Sequences) Accept(rec *Record) bool {
	last := s[rec.Writer]
	if rec.Incarnation < last.Incarnation {
		return false
	}
	if rec.Incarnation == last.Incarnation && rec.Seq <= last.Seq && rule.Enabled(rule.Dedup) {
		return false
	}
	s[rec.Writer] = WriterSeq{rec.Incarnation, rec.Seq}
	return true
}
