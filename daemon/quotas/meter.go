package quotas

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"tarragonhollow.example/tarragonhollow/core/quota"
)

// maxAccountCounters is the maximum number of accounts with a refusal counter of their own.
const maxAccountCounters = 100

// meter counts the results of requests for tokens.
type meter struct {
	set *metrics.Set
	// takenLocally counts the tokens taken without a leader, unsure the refusals because no
	// leader could decide, transferFailures the failed calls for tokens of other leaders.
	takenLocally, unsure, transferFailures *metrics.Counter

	mu       sync.Mutex
	accounts map[string]bool
}

func newMeter(set *metrics.Set) *meter {
	return &meter{
		set: set, accounts: map[string]bool{},
		takenLocally:     set.GetOrCreateCounter("tarragonhollow_quota_alone_total"),
		unsure:           set.GetOrCreateCounter("tarragonhollow_quota_unsure_total"),
		transferFailures: set.GetOrCreateCounter("tarragonhollow_quota_not_given_total"),
	}
}

// countDecision counts a decision of this daemon as a leader.
func (m *meter) countDecision(verdict quota.Verdict) {
	m.set.GetOrCreateCounter(fmt.Sprintf("tarragonhollow_quota_decided_total{taken=%q}", fmt.Sprint(verdict == quota.Taken))).Inc()
}

// countRefusal counts a request over its account's quota. Accounts beyond maxAccountCounters
// share one counter.
func (m *meter) countRefusal(account string) {
	m.mu.Lock()
	if !m.accounts[account] && len(m.accounts) >= maxAccountCounters {
		account = "other"
	}
	m.accounts[account] = true
	m.mu.Unlock()
	m.set.GetOrCreateCounter(fmt.Sprintf("tarragonhollow_quota_refused_total{account=%q}", account)).Inc()
}
