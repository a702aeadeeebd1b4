package holder

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Digest returns a digest of a set of attempts, independent of the order of the list.
func Digest(list []AttemptRef) uint64 {
	sorted := slices.SortedFunc(slices.Values(list), func(a, b AttemptRef) int { return strings.Compare(a.Task, b.Task) })
	var data []byte
	for _, t := range sorted {
		// The length prefix keeps a name apart from the bytes that follow it.
		data = binary.AppendUvarint(data, uint64(len(t.Task)))
		data = append(data, t.Task...)
		data = binary.AppendUvarint(data, uint64(t.Attempt))
	}
	return xxhash.Sum64(data)
}
