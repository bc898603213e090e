package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// lowestMicros and highestMicros are the range of the histograms: 1 µs to 10 min.
	lowestMicros  = 1
	highestMicros = 600_000_000
	// significantDigits is the precision of the histograms.
	significantDigits = 3
)

// Recorder collects the samples of one arm of an experiment. It is safe for
// concurrent use.
type Recorder struct {
	mu         sync.Mutex
	firstToken *hdrhistogram.Histogram
	interToken *hdrhistogram.Histogram
	total      *hdrhistogram.Histogram
	sent       int
	errors     map[string]int
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{
		firstToken: newHistogram(),
		interToken: newHistogram(),
		total:      newHistogram(),
		errors:     map[string]int{},
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, significantDigits)
}

// Add records one sample.
func (r *Recorder) Add(s Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	if s.Err != nil {
		r.errors[s.Err.Error()]++
		return
	}
	record(r.firstToken, s.FirstToken)
	record(r.total, s.Total)
	for _, gap := range s.Gaps {
		record(r.interToken, gap)
	}
}

// Merge adds the samples of another recorder.
func (r *Recorder) Merge(other *Recorder) {
	other.mu.Lock()
	defer other.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.firstToken.Merge(other.firstToken)
	r.interToken.Merge(other.interToken)
	r.total.Merge(other.total)
	r.sent += other.sent
	for text, n := range other.errors {
		r.errors[text] += n
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// Longer times are recorded as the upper bound.
	micros := min(max(d.Microseconds(), lowestMicros), highestMicros)
	_ = h.RecordValue(micros)
}

// Summary is the measurement of an arm. Times are in milliseconds.
type Summary struct {
	Sent, Failed                 int
	FirstTokenP50, FirstTokenP99 float64
	InterTokenP50, InterTokenP99 float64
	TotalP50, TotalP99           float64
	// OnlinePerSecond is the rate of successful requests, BatchPerSecond that of
	// completed items.
	OnlinePerSecond float64
	BatchCompleted  int
	BatchPerSecond  float64
	// RoundSeconds is the measured duration.
	RoundSeconds float64
	FirstError   string
}

// Summary returns the percentiles and counts of the recorded samples.
func (r *Recorder) Summary() Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := Summary{
		Sent:          r.sent,
		FirstTokenP50: millis(r.firstToken, 50),
		FirstTokenP99: millis(r.firstToken, 99),
		InterTokenP50: millis(r.interToken, 50),
		InterTokenP99: millis(r.interToken, 99),
		TotalP50:      millis(r.total, 50),
		TotalP99:      millis(r.total, 99),
	}
	for text, n := range r.errors {
		f.Failed += n
		f.FirstError = text
	}
	return f
}

func millis(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1000
}
