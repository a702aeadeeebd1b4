package scheduler

import "math/bits"

const (
	// bucketWidthMilli is the width of a bucket in millicores; bucketCount of them distinguish up to 32 free cores.
	bucketWidthMilli = 250
	bucketCount      = 128
)

// freeIndex holds the workers on which tasks may start, in buckets by free processors.
type freeIndex struct {
	buckets [bucketCount][]*worker
	// nonEmpty has a bit for each bucket that is not empty.
	nonEmpty [bucketCount / 64]uint64
	count    int
	// rotation rotates the worker scanned first in each bucket, and the bucket at which the second part of a search
	// starts.
	rotation int
}

func freeBucket(w *worker) int {
	return int(min(max(w.free().CPUMilli, 0)/bucketWidthMilli, bucketCount-1))
}

// update moves the worker to the bucket of its free processors, or removes it from the index.
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
		b[w.bucketSlot] = b[last]
		b[w.bucketSlot].bucketSlot = w.bucketSlot
		b[last] = nil
		x.buckets[w.bucket] = b[:last]
		if last == 0 {
			x.nonEmpty[w.bucket/64] &^= 1 << (w.bucket % 64)
		}
		x.count--
	}
	w.bucket = want
	if want >= 0 {
		w.bucketSlot = len(x.buckets[want])
		x.buckets[want] = append(x.buckets[want], w)
		x.nonEmpty[want/64] |= 1 << (want % 64)
		x.count++
	}
}

// highestNonEmpty returns the highest non-empty bucket between low and b, both included, or -1.
func (x *freeIndex) highestNonEmpty(b, low int) int {
	for b >= low {
		word := x.nonEmpty[b/64] << (63 - b%64)
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
// visited. Two thirds of them are taken from the bucket with the most free processors down, the rest from a bucket that
// rotates, so that in a large fleet excluded workers in the top buckets do not hide the others.
func (x *freeIndex) search(cpuMilli int64, limit int, visit func(w *worker) bool) {
	low := int(min(cpuMilli/bucketWidthMilli, bucketCount-1))
	x.rotation++
	all := x.count <= limit
	first := limit * 2 / 3
	if all {
		first = limit
	}
	left, ok := x.scanBuckets(bucketCount-1, low, first, visit)
	if !ok || all || left > 0 {
		return
	}
	x.scanBuckets(low+x.rotation%(bucketCount-low), low, limit-first, visit)
}

// scanBuckets visits up to limit workers from bucket b down to low. It returns the number of visits left, and false if
// visit ended the search.
func (x *freeIndex) scanBuckets(b, low, limit int, visit func(w *worker) bool) (int, bool) {
	for b = x.highestNonEmpty(b, low); b >= 0 && limit > 0; b = x.highestNonEmpty(b-1, low) {
		ws := x.buckets[b]
		for i := 0; i < len(ws) && limit > 0; i++ {
			limit--
			if !visit(ws[(i+x.rotation)%len(ws)]) {
				return limit, false
			}
		}
	}
	return limit, true
}
