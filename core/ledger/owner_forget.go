package ledger

import "tarragonhollow.example/tarragonhollow/core/outcome"

// forgetProposal drops one request or job whose kept time is over.
type forgetProposal struct {
	subjectOf subject
	entry     ForgetEntry
}

func (p *forgetProposal) subject() subject { return p.subjectOf }

func (p *forgetProposal) size() int { return objectOverhead }

// entries is empty if the key has begun anew since it was found old.
func (p *forgetProposal) entries(o *Owner) []Entry {
	for _, key := range p.entry.Keys {
		if r := o.st.requests[key]; r == nil || r.State == RequestRunning || o.runs[key] != nil {
			return nil
		}
	}
	for _, name := range p.entry.Jobs {
		if o.st.jobs[name] == nil {
			return nil
		}
	}
	return []Entry{{Forget: &p.entry}}
}

func (p *forgetProposal) settled(*Owner) {}

func (p *forgetProposal) withdraw(*Owner, *outcome.Refusal) bool { return false }
