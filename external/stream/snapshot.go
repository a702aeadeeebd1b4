package stream

import (
	"github.com/cespare/xxhash/v2"

	"github.com/verbenakeel/verbenakeel/record"
)

// MaxPieceBytes is the maximum size of a snapshot piece in one record, in bytes.
const MaxPieceBytes = 64 << 10

// Split splits an encoded state into pieces. offset is the first offset that the state does not include.
func Split(offset uint64, state []byte) []record.SnapshotPiece {
	count := max(1, (len(state)+MaxPieceBytes-1)/MaxPieceBytes)
	sum := xxhash.Sum64(state)
	pieces := make([]record.SnapshotPiece, 0, count)
	for i := range count {
		end := min(len(state), (i+1)*MaxPieceBytes)
		pieces = append(pieces, record.SnapshotPiece{
			Offset: offset, Index: i, Count: count, Sum: sum, Data: state[i*MaxPieceBytes : end],
		})
	}
	return pieces
}

type snapshotKey struct {
	offset uint64
	sum    uint64
	count  int
}

// Assembler reassembles snapshots from their pieces, which may arrive in any order and repeatedly.
type Assembler struct {
	sets map[snapshotKey]map[int][]byte
}

// Add adds the snapshot piece in rec, if there is one.
func (a *Assembler) Add(rec *record.Record) {
	p := rec.Snapshot
	if p == nil || p.Index < 0 || p.Index >= p.Count {
		return
	}
	if a.sets == nil {
		a.sets = make(map[snapshotKey]map[int][]byte)
	}
	key := snapshotKey{p.Offset, p.Sum, p.Count}
	if a.sets[key] == nil {
		a.sets[key] = make(map[int][]byte)
	}
	a.sets[key][p.Index] = p.Data
	if len(a.sets[key]) < p.Count {
		return
	}
	for k := range a.sets {
		if k.offset < p.Offset {
			delete(a.sets, k)
		}
	}
}

// Newest returns the complete snapshot with the highest offset whose checksum matches.
func (a *Assembler) Newest() (uint64, []byte, bool) {
	var best snapshotKey
	var state []byte
	found := false
	for key, set := range a.sets {
		if len(set) != key.count || (found && key.offset <= best.offset) {
			continue
		}
		var data []byte
		for i := range key.count {
			data = append(data, set[i]...)
		}
		if xxhash.Sum64(data) != key.sum {
			continue
		}
		best, state, found = key, data, true
	}
	return best.offset, state, found
}
