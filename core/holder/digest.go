package holder

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Digest returns a digest of a set of attempts. The order of the list does not count.
func Digest(list []Renewal) uint64 {
	sorted := slices.SortedFunc(slices.Values(list), func(a, b Renewal) int { return strings.Compare(a.Task, b.Task) })
	var data []byte
	for _, t := range sorted {
		// The length keeps a name from running into what follows it.
		data = binary.AppendUvarint(data, uint64(len(t.Task)))
		data = append(data, t.Task...)
		data = binary.AppendUvarint(data, uint64(t.Attempt))
	}
	return xxhash.Sum64(data)
}
