package quotas

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"tarragonhollow.example/tarragonhollow/core/quota"
)

// mostAccounts bounds the accounts that have a counter of their own.
const mostAccounts = 100

// meter counts what becomes of requests for tokens.
type meter struct {
	set *metrics.Set
	// alone counts the tokens taken without a leader, unsure the refusals for want of
	// one, notGiven the calls to other leaders that failed.
	alone, unsure, notGiven *metrics.Counter

	mu       sync.Mutex
	accounts map[string]bool
}

func newMeter(set *metrics.Set) *meter {
	return &meter{
		set: set, accounts: map[string]bool{},
		alone:    set.GetOrCreateCounter("tarragonhollow_quota_alone_total"),
		unsure:   set.GetOrCreateCounter("tarragonhollow_quota_unsure_total"),
		notGiven: set.GetOrCreateCounter("tarragonhollow_quota_not_given_total"),
	}
}

// decided counts what this daemon decided as a leader.
func (m *meter) decided(verdict quota.Verdict) {
	m.set.GetOrCreateCounter(fmt.Sprintf("tarragonhollow_quota_decided_total{taken=%q}", fmt.Sprint(verdict == quota.Taken))).Inc()
}

// refused counts a request over its account's quota. Accounts beyond mostAccounts are
// counted together.
func (m *meter) refused(account string) {
	m.mu.Lock()
	if !m.accounts[account] && len(m.accounts) >= mostAccounts {
		account = "other"
	}
	m.accounts[account] = true
	m.mu.Unlock()
	m.set.GetOrCreateCounter(fmt.Sprintf("tarragonhollow_quota_refused_total{account=%q}", account)).Inc()
}
