package ledger

import "tarragonhollow.example/tarragonhollow/core/outcome"

// objectOverhead is the estimated size of an object's fixed fields on the log, in bytes.
const objectOverhead = 96

func (s *State) putRequest(offset, atMs int64, body RequestBody) {
	r := s.requests[body.Key]
	if r == nil {
		r = &request{}
		r.object.request = r
		s.requests[body.Key] = r
	}
	r.RequestBody = body
	if body.AtMs == 0 {
		r.AtMs = atMs
	}
	s.recordFullState(&r.object, offset, atMs, r.size())
}

// finishRequest applies the end of a request. The first completion in log order is the
// result; it also resolves a request that had failed or whose outcome was unknown. An end
// of a request that this reader doesn't know yet is ignored: the request's full state,
// including this end, follows at a later offset (see Record.Low).
func (s *State) finishRequest(atMs int64, f *FinishEntry) {
	r := s.requests[f.Key]
	if r == nil || r.State == RequestCompleted {
		return
	}
	if f.Free {
		if r.Attempt == f.Attempt && r.State == RequestRunning {
			s.dropRequest(r)
		}
		return
	}
	if f.State != RequestCompleted && (r.Attempt != f.Attempt || r.State != RequestRunning) {
		return
	}
	r.State, r.Answer, r.Refusal, r.AtMs = f.State, f.Answer, f.Refusal, atMs
	s.addBytes(&r.object, r.size()-r.object.bytes)
}

func (s *State) dropRequest(r *request) {
	delete(s.requests, r.Key)
	s.removeObject(&r.object)
}

func (s *State) forget(f *ForgetEntry) {
	for _, key := range f.Keys {
		if r := s.requests[key]; r != nil {
			s.dropRequest(r)
		}
	}
	for _, name := range f.Jobs {
		if j := s.jobs[name]; j != nil {
			s.dropJob(j)
			delete(s.jobs, name)
		}
	}
}

func (r *request) size() int64 {
	n := len(r.Key) + len(r.Fingerprint) + len(r.Nonce) + len(r.Entry) + len(r.Profile)
	return int64(n) + objectOverhead + r.Answer.size() + r.Refusal.size()
}

func (a *Answer) size() int64 {
	if a == nil {
		return 0
	}
	return int64(len(a.Body) + len(a.ContentType) + 8)
}

func (r *RefusalBody) size() int64 {
	if r == nil {
		return 0
	}
	return int64(len(r.Code) + len(r.Message) + len(r.Run))
}

func toBody(r *outcome.Refusal) *RefusalBody {
	if r == nil {
		return nil
	}
	return &RefusalBody{Code: string(r.Code), Message: r.Message, Run: string(r.Run)}
}

func (r *RefusalBody) refusal() *outcome.Refusal {
	if r == nil {
		return nil
	}
	return &outcome.Refusal{
		Code: outcome.Code(r.Code), Message: r.Message, Run: outcome.RunState(r.Run),
	}
}
