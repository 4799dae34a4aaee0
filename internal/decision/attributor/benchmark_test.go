package attributor

import (
	"testing"
	"time"
)

// BenchmarkJudge judges the evidence of a storm: many requests were running at each of two servers that ended.
func BenchmarkJudge(b *testing.B) {
	var a Attributor
	for request := range uint64(1200) {
		crash(&a, time.Second+time.Duration(request%2)*time.Second, request%2, request, request%7, 100+request, 5000+request)
	}
	b.ReportAllocs()
	for b.Loop() {
		a.Judge(4*time.Second, true)
		a.NextAt()
	}
}
