package warmer

import (
	"math"
	"time"
)

const (
	// bucketCount buckets, each wider than the last by a factor of bucketGrowth, cover gaps from firstEdge to about 8.6
	// days. The last bucket also counts longer gaps.
	bucketCount  = 40
	bucketGrowth = math.Sqrt2
	// firstEdge is the upper edge of the first bucket.
	firstEdge = time.Second
	// maxTotal is the total at which all counts are halved, so that old gaps lose weight.
	maxTotal = 256
)

// bucketEdges has the upper edges of the buckets.
var bucketEdges = makeEdges()

// A histogram counts the gaps between arrivals in buckets on a logarithmic scale.
type histogram struct {
	// total is the sum of counts. It is less than maxTotal.
	total  uint16
	counts [bucketCount]uint16
}

// add counts a gap.
func (h *histogram) add(gap time.Duration) {
	h.counts[bucketOf(gap)]++
	h.total++
	if h.total < maxTotal {
		return
	}
	h.total = 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.total += h.counts[i]
	}
}

// countBelow returns the estimated number of gaps shorter than d. Gaps are assumed to be spread evenly within a bucket.
func (h *histogram) countBelow(d time.Duration) float64 {
	last := bucketOf(d)
	sum := 0.0
	for i := range last {
		sum += float64(h.counts[i])
	}
	lower := lowerEdge(last)
	inside := float64(d-lower) / float64(bucketEdges[last]-lower)
	return sum + float64(h.counts[last])*min(1, inside)
}

// quantile returns the index of the bucket that contains the quantile of the gaps.
func (h *histogram) quantile(share float64) int {
	want := share * float64(h.total)
	sum := 0.0
	for i, count := range h.counts {
		sum += float64(count)
		if sum >= want && sum > 0 {
			return i
		}
	}
	return bucketCount - 1
}

func bucketOf(gap time.Duration) int {
	low, high := 0, bucketCount-1
	for low < high {
		middle := (low + high) / 2
		if gap <= bucketEdges[middle] {
			high = middle
		} else {
			low = middle + 1
		}
	}
	return low
}

func lowerEdge(bucket int) time.Duration {
	if bucket == 0 {
		return 0
	}
	return bucketEdges[bucket-1]
}

func makeEdges() [bucketCount]time.Duration {
	var result [bucketCount]time.Duration
	edge := float64(firstEdge)
	for i := range result {
		result[i] = time.Duration(edge)
		edge *= bucketGrowth
	}
	return result
}
