package ledger

import "tarragonhollow.example/tarragonhollow/core/outcome"

// forgetProposal drops one request or job whose retention time is over.
type forgetProposal struct {
	subjectOf subject
	entry     ForgetEntry
}

func (p *forgetProposal) subject() subject { return p.subjectOf }

func (p *forgetProposal) size() int { return objectOverhead }

// entries returns nothing if the key has been used again since the proposal, or if the
// request or job is gone.
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

func (p *forgetProposal) done(*Owner) {}

func (p *forgetProposal) withdraw(*Owner, *outcome.Refusal) bool { return false }
