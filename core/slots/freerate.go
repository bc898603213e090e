package slots

import "time"

const (
	// rateWindow is the time over which freed slots are counted, in rateBuckets parts.
	rateWindow  = time.Second
	rateBuckets = 10
	bucketTime  = rateWindow / rateBuckets
)

// freeRate counts the slots of a group that became free within the last rateWindow.
type freeRate struct {
	// buckets holds the counts by time, round robin; latest is the number of the newest.
	buckets [rateBuckets]int
	latest  int64
}

// observe counts a slot that became free.
func (f *freeRate) observe(now time.Time) {
	f.advance(now)
	f.buckets[f.latest%rateBuckets]++
}

// perSecond returns the number of slots that became free within the last second.
func (f *freeRate) perSecond(now time.Time) float64 {
	f.advance(now)
	sum := 0
	for _, n := range f.buckets {
		sum += n
	}
	return float64(sum) / rateWindow.Seconds()
}

func (f *freeRate) advance(now time.Time) {
	number := now.UnixNano() / int64(bucketTime)
	for n := max(f.latest, number-rateBuckets) + 1; n <= number; n++ {
		f.buckets[n%rateBuckets] = 0
	}
	f.latest = max(f.latest, number)
}
