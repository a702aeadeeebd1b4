package scheduler

import "math/bits"

const (
	// freeStep is the width of a bucket in millicores; with freeBuckets it tells up to 32 free cores apart.
	freeStep    = 250
	freeBuckets = 128
)

// freeIndex holds the workers on which something may start, in buckets by free processors.
type freeIndex struct {
	buckets [freeBuckets][]*worker
	// filled has a bit for each bucket that is not empty.
	filled [freeBuckets / 64]uint64
	n      int
	// turn rotates the worker looked at first in each bucket, and the bucket that the second part of a search starts at.
	turn int
}

func freeBucket(w *worker) int {
	return int(min(max(w.free().CPUMilli, 0)/freeStep, freeBuckets-1))
}

// update places the worker in the bucket it belongs to now, or takes it out.
func (x *freeIndex) update(w *worker) {
	want := -1
	if w.known && w.up && !w.zoneRef.out {
		want = freeBucket(w)
	}
	if want == w.bucket {
		return
	}
	if w.bucket >= 0 {
		b := x.buckets[w.bucket]
		last := len(b) - 1
		b[w.place] = b[last]
		b[w.place].place = w.place
		b[last] = nil
		x.buckets[w.bucket] = b[:last]
		if last == 0 {
			x.filled[w.bucket/64] &^= 1 << (w.bucket % 64)
		}
		x.n--
	}
	w.bucket = want
	if want >= 0 {
		w.place = len(x.buckets[want])
		x.buckets[want] = append(x.buckets[want], w)
		x.filled[want/64] |= 1 << (want % 64)
		x.n++
	}
}

// below returns the highest filled bucket at or below b and at or above low, or -1.
func (x *freeIndex) below(b, low int) int {
	for b >= low {
		word := x.filled[b/64] << (63 - b%64)
		if word != 0 {
			b -= bits.LeadingZeros64(word)
			if b < low {
				return -1
			}
			return b
		}
		b = b/64*64 - 1
	}
	return -1
}

// search calls visit for workers with at least that many free millicores until it returns false or limit workers were
// visited: two thirds of them from the emptiest down, the rest from a bucket that rotates, so that in a large fleet
// workers that are full of exclusions do not hide the others.
func (x *freeIndex) search(cpuMilli int64, limit int, visit func(w *worker) bool) {
	low := int(min(cpuMilli/freeStep, freeBuckets-1))
	x.turn++
	all := x.n <= limit
	first := limit * 2 / 3
	if all {
		first = limit
	}
	left, ok := x.walk(freeBuckets-1, low, first, visit)
	if !ok || all || left > 0 {
		return
	}
	x.walk(low+x.turn%(freeBuckets-low), low, limit-first, visit)
}

// walk visits up to limit workers from bucket b down to low. It returns how many visits are left, and false if visit
// ended the search.
func (x *freeIndex) walk(b, low, limit int, visit func(w *worker) bool) (int, bool) {
	for b = x.below(b, low); b >= 0 && limit > 0; b = x.below(b-1, low) {
		ws := x.buckets[b]
		for i := 0; i < len(ws) && limit > 0; i++ {
			limit--
			if !visit(ws[(i+x.turn)%len(ws)]) {
				return limit, false
			}
		}
	}
	return limit, true
}
