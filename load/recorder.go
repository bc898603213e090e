package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// lowestMicros and highestMicros bound the recorded times: 1 µs to 10 min.
	lowestMicros  = 1
	highestMicros = 600_000_000
	// significantDigits is the histograms' precision.
	significantDigits = 3
)

// Recorder collects the samples of one arm of an experiment. It is safe for
// concurrent use.
type Recorder struct {
	mu         sync.Mutex
	firstToken *hdrhistogram.Histogram
	between    *hdrhistogram.Histogram
	total      *hdrhistogram.Histogram
	sent       int
	errors     map[string]int
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{
		firstToken: newHistogram(),
		between:    newHistogram(),
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
		record(r.between, gap)
	}
}

// Merge adds all that another recorder holds.
func (r *Recorder) Merge(other *Recorder) {
	other.mu.Lock()
	defer other.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.firstToken.Merge(other.firstToken)
	r.between.Merge(other.between)
	r.total.Merge(other.total)
	r.sent += other.sent
	for text, n := range other.errors {
		r.errors[text] += n
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// The range covers ten minutes; what lies above is recorded as its bound.
	micros := min(max(d.Microseconds(), lowestMicros), highestMicros)
	_ = h.RecordValue(micros)
}

// Figures is the summary of an arm. Times are in milliseconds.
type Figures struct {
	Sent, Failed            int
	FirstTokenP50, FirstP99 float64
	BetweenP50, BetweenP99  float64
	TotalP50, TotalP99      float64
	// OnlinePerSecond counts answered requests, BatchPerSecond finished items.
	OnlinePerSecond float64
	BatchCompleted  int
	BatchPerSecond  float64
	// RoundSeconds is the time measured.
	RoundSeconds float64
	FirstError   string
}

// Figures summarises what was recorded.
func (r *Recorder) Figures() Figures {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := Figures{
		Sent:          r.sent,
		FirstTokenP50: millis(r.firstToken, 50),
		FirstP99:      millis(r.firstToken, 99),
		BetweenP50:    millis(r.between, 50),
		BetweenP99:    millis(r.between, 99),
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
