package engine

import (
	"os"
	"time"
)

// ExitStatus is the exit status of a process that crashes with Options.ExitOnCrash.
const ExitStatus = 3

// stepLoop runs the batch. Each iteration is one forward pass over all running
// sequences.
func (s *Server) stepLoop() {
	defer s.wg.Done()
	for s.awaitWork() {
		if !s.sleep(s.planStep()) {
			return
		}
		s.finishStep()
	}
}

// awaitWork blocks until there is a sequence to run and the engine is not frozen. It
// returns false if the engine closes first.
func (s *Server) awaitWork() bool {
	for {
		s.mu.Lock()
		busy := len(s.running)+len(s.waiting) > 0 && s.unfrozen == nil
		s.mu.Unlock()
		if busy {
			return true
		}
		select {
		case <-s.wake:
		case <-s.done:
			return false
		}
	}
}

// sleep waits for d and returns true, or false if the engine closes first.
func (s *Server) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-s.done:
		return false
	}
}

func (s *Server) wakeLoop() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// planStep removes cancelled sequences, admits waiting ones in order of arrival and
// returns the duration of the step.
func (s *Server) planStep() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.running = s.dropCancelled(s.running, now)
	s.waiting = s.dropCancelled(s.waiting, now)
	if s.admit() {
		s.crash(now)
		return 0
	}
	s.sampleLoad(now)
	if len(s.running) == 0 {
		return 0
	}
	s.stats.Steps++
	ms := s.opts.BaseStepMs + s.control.SlowMs
	ms += s.opts.PerSequenceMs * float64(len(s.running))
	ms += s.opts.PrefillMsPerToken * float64(s.planPrefill())
	return s.scaled(ms)
}

// admit fills the free slots from the queue. It stops and returns true when it admits
// a request that crashes the engine.
func (s *Server) admit() bool {
	for len(s.waiting) > 0 && len(s.running) < s.opts.Slots {
		q := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.running = append(s.running, q)
		if q.crashes {
			return true
		}
		q.admit(s.cache)
	}
	return false
}

// planPrefill distributes the step's PrefillChunkTokens over the running sequences in
// order of admission and returns the number of prompt tokens processed.
func (s *Server) planPrefill() int {
	left := s.opts.PrefillChunkTokens
	for _, q := range s.running {
		q.chunk = min(q.prefill, left)
		left -= q.chunk
	}
	return s.opts.PrefillChunkTokens - left
}

// finishStep advances the running sequences, counts their tokens and ends those that
// are complete.
func (s *Server) finishStep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	kept := s.running[:0]
	for _, q := range s.running {
		if q.cancelled {
			kept = append(kept, q)
			continue
		}
		sent := q.sent
		ended := q.step(now)
		s.countTokens(q, q.sent-sent, now)
		if !ended {
			kept = append(kept, q)
			continue
		}
		s.cache.store(q.hashes())
		q.record.end(EndedFinished, now)
		q.end(finishReason(q.req.Model, q.req.Messages, q.req.MaxTokens))
	}
	clear(s.running[len(kept):])
	s.running = kept
	s.sampleLoad(now)
}

func (s *Server) countTokens(q *sequence, n int, now time.Time) {
	if n == 0 {
		return
	}
	s.stats.TokensByUrgency[q.record.Urgency] += n
	s.stats.LastTokenMs = now.UnixMilli()
	if s.stats.FirstTokenMs == 0 {
		s.stats.FirstTokenMs = s.stats.LastTokenMs
	}
}

// dropCancelled ends the cancelled sequences and returns the others. The prefixes
// they computed stay cached, so that resuming on this engine is cheap.
func (s *Server) dropCancelled(list []*sequence, now time.Time) []*sequence {
	kept := make([]*sequence, 0, len(list))
	for _, q := range list {
		if !q.cancelled {
			kept = append(kept, q)
			continue
		}
		if q.sent > 0 {
			s.cache.store(q.hashes())
		}
		q.record.end(EndedCancelled, now)
		q.end(EndedCancelled)
	}
	return kept
}

// crash drops all requests and the cache and makes every open handler abort its
// connection. The records are kept: they belong to the test's checker and are not
// part of the simulated engine's state.
func (s *Server) crash(now time.Time) {
	if s.opts.ExitOnCrash {
		os.Exit(ExitStatus)
	}
	for _, q := range append(s.running, s.waiting...) {
		q.record.end(EndedCrashed, now)
	}
	s.running, s.waiting = nil, nil
	s.cache.clear(s.opts)
	s.load = loadHistory{}
	s.stats.Crashes++
	s.downUntil = now.Add(s.scaled(s.opts.RestartMs))
	close(s.crashed)
	s.crashed = make(chan struct{})
}
