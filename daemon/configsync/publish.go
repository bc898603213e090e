package configsync

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/api"
	"tarragonhollow.example/tarragonhollow/core/configlog"
	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
	"tarragonhollow.example/tarragonhollow/extern"
)

const (
	// maxProposals bounds how often one change is proposed, each time after the last proposal
	// became void.
	maxProposals = 5
	// firstReadWait is how long a publication waits for the first read of the stream.
	firstReadWait = 2 * time.Second
	// resolveTimeout is how long a change whose append got no answer is looked for on the
	// stream before its epoch is ended.
	resolveTimeout = 500 * time.Millisecond
	// withdrawPause is the pause between attempts to append a withdrawal, and
	// backgroundWithdrawPause that between attempts after the operator was answered.
	withdrawPause           = 200 * time.Millisecond
	backgroundWithdrawPause = time.Second
	// maxUnresolved bounds the changes that wait to be withdrawn after the operator was
	// answered.
	maxUnresolved = 16
	// retryAfterMs is the retry-after of refusals, in milliseconds, unless the log gave one.
	retryAfterMs = 2000
)

// Publish proposes text as the version after base and returns the new version once it is
// accepted. It returns an *api.ConfigConflict if another change became that version, and an
// *outcome.Refusal otherwise. A refusal is not_run only if the change has no effect and
// never will have one, and may_have_run if ctx or PublishWait ended before that was known.
// In the latter case the change, unless it is on the log by then, is withdrawn as soon as
// the log accepts the withdrawal.
func (s *Sync) Publish(ctx context.Context, text string, base uint64, author string) (uint64, error) {
	if _, err := s.opt.Parse(text); err != nil {
		return 0, outcome.Refuse(outcome.BadRequest, "the configuration is not valid: %v", err)
	}
	ctx, cancel := context.WithTimeout(ctx, s.opt.PublishWait)
	defer cancel()
	s.awaitFirstRead(ctx)
	for range maxProposals {
		change, err := s.newChange(text, base, author)
		if err != nil {
			return 0, err
		}
		state, err := s.propose(ctx, change)
		if err != nil {
			return 0, err
		}
		switch verdict, entry := configlog.Judge(state, change); verdict {
		case configlog.Accepted:
			s.meter.published.Inc()
			s.opt.Logger.Info("config_published", zap.Uint64("version", entry.Version), zap.String("author", author))
			return entry.Version, nil
		case configlog.Lost:
			return 0, s.conflict(entry)
		case configlog.Unknown:
			return 0, outcomeUnknown("so many changes followed that its own can't be told any more")
		}
	}
	return 0, changeRefused("other changes kept being withdrawn meanwhile")
}

// awaitFirstRead waits up to firstReadWait until a daemon that has just started has read the
// state, without which nothing can be proposed.
func (s *Sync) awaitFirstRead(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, firstReadWait)
	defer cancel()
	s.awaitState(ctx, func(state configlog.State) bool { return s.atEnd || state.Through >= 0 })
}

// newChange returns the change to propose on the state known here, or an error if it can't be
// accepted.
func (s *Sync) newChange(text string, base uint64, author string) (configlog.Change, error) {
	s.mu.Lock()
	state, complete := s.replayer.State(), s.replayer.Complete()
	expired := !complete && s.atEnd && state.Version == 0
	unread := !s.atEnd && state.Through < 0
	s.mu.Unlock()
	change := configlog.Change{
		ID: uuid.NewString(), Base: base, Epoch: state.Epoch, Text: text, Author: author, AtMs: s.opt.Clock().UnixMilli(),
	}
	switch {
	case state.Version > base:
		// Versions only increase, so the base is out of date even if this state is old.
		_, entry := configlog.Judge(configlog.State{Version: state.Version, History: state.History}, change)
		if entry.Version == 0 {
			entry.Version = state.Version
		}
		return change, s.conflict(entry)
	case expired && base == 0 && highestVersion(s.opt.View.Members()) == 0:
		// Every record of the state has expired, although a running fleet rewrites it three
		// times in the retention, and no member knows it: the whole fleet was down for longer
		// than the retention. The operators start over, with a version above all earlier ones.
		change.Forced = true
	case !complete || unread:
		return change, changeRefused("this daemon has not read the configuration stream yet")
	}
	return change, nil
}

// propose appends the change and returns a state that includes its outcome.
func (s *Sync) propose(ctx context.Context, change configlog.Change) (configlog.State, error) {
	data, err := configlog.Record{Change: &change}.Encode()
	if err != nil {
		return configlog.State{}, changeRefused("the text can't be encoded")
	}
	offset, err := s.opt.Log.Append(ctx, Stream, data)
	if err == nil {
		return s.readBack(ctx, offset)
	}
	if refusal := appendRefusal(err); refusal != nil {
		return configlog.State{}, refusal
	}
	s.opt.Logger.Warn("config_append_answer_lost", zap.String("change", change.ID), zap.Error(err))
	return s.resolve(ctx, change)
}

// appendRefusal returns the refusal for an append that was certainly not made, or nil if it
// may have been made.
func appendRefusal(err error) *outcome.Refusal {
	if after, ok := extern.IsLimited(err); ok {
		return changeRefused("the platform's log limits appends").After(max(after.Milliseconds(), 1))
	}
	switch {
	case extern.IsUnavailable(err):
		return changeRefused("the platform's log is out")
	case extern.IsTooLarge(err):
		return outcome.Refuse(outcome.TooLarge, "the text exceeds the log's record limit")
	case errorx.IsOfType(err, extern.Invalid):
		return outcome.Refuse(outcome.Internal, "the platform's log refused the change: %v", err)
	}
	return nil
}

// resolve determines the outcome of a change whose append got no answer. It looks for the
// change on the stream. If it isn't there, it may still arrive, so resolve ends its epoch by
// a withdrawal: a change that arrives after that is void for every reader. A withdrawal
// whose append got no answer can be repeated.
func (s *Sync) resolve(ctx context.Context, change configlog.Change) (configlog.State, error) {
	lookupCtx, cancel := context.WithTimeout(ctx, resolveTimeout)
	state, found := s.awaitState(lookupCtx, func(state configlog.State) bool { return s.isDecided(state, change) })
	cancel()
	if found {
		return state, nil
	}
	if change.Forced {
		return state, outcomeUnknown("the log's answer was lost")
	}
	s.meter.withdrawals.Inc()
	data, err := configlog.Record{Withdraw: &configlog.Withdraw{Epoch: change.Epoch}}.Encode()
	if err != nil {
		return state, outcomeUnknown("the log's answer was lost")
	}
	for ctx.Err() == nil {
		offset, err := s.opt.Log.Append(ctx, Stream, data)
		if err == nil {
			return s.readBack(ctx, offset)
		}
		duty.Pause(ctx, withdrawPause)
	}
	s.withdrawLater(change)
	return state, outcomeUnknown("the log's answer was lost and could not be looked for")
}

// withdrawLater queues the change, to have its epoch ended once the log answers again.
//
// Failure guarded against: the operator is told that the change may have been made, and
// reads a history without it; then it arrives after all and reverts what was published in
// the meantime. A lost withdrawal can cause no more than that, so if the queue is full, the
// change is only logged.
func (s *Sync) withdrawLater(change configlog.Change) {
	select {
	case s.unresolved <- change:
	default:
		s.opt.Logger.Warn("config_change_not_followed", zap.String("change", change.ID))
	}
}

// withdrawLoop makes the withdrawals that publications queued.
func (s *Sync) withdrawLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case change := <-s.unresolved:
			s.withdraw(ctx, change)
		}
	}
}

// withdraw retries until the withdrawal is on the log, the change is resolved, or its epoch
// has ended for another reason.
func (s *Sync) withdraw(ctx context.Context, change configlog.Change) {
	data, err := configlog.Record{Withdraw: &configlog.Withdraw{Epoch: change.Epoch}}.Encode()
	if err != nil {
		return
	}
	for ctx.Err() == nil {
		if state := s.state(); s.isDecided(state, change) || state.Epoch > change.Epoch {
			return
		}
		call, cancel := context.WithTimeout(ctx, appendTimeout)
		_, err := s.opt.Log.Append(call, Stream, data)
		cancel()
		if err == nil {
			s.opt.Logger.Info("config_change_withdrawn", zap.String("change", change.ID))
			return
		}
		duty.Pause(ctx, backgroundWithdrawPause)
	}
}

// isDecided reports whether the state decides the change, as accepted or as lost to another
// one. Void is not a decision, since the change may still arrive.
func (s *Sync) isDecided(state configlog.State, change configlog.Change) bool {
	verdict, _ := configlog.Judge(state, change)
	return verdict == configlog.Accepted || verdict == configlog.Lost
}

// readBack waits until the state includes the record at the offset.
func (s *Sync) readBack(ctx context.Context, offset int64) (configlog.State, error) {
	state, ok := s.awaitState(ctx, func(state configlog.State) bool { return state.Through >= offset })
	if !ok {
		return state, outcomeUnknown("it is on the log, but the log could not be read back")
	}
	return state, nil
}

// awaitState returns the first state that satisfies done, or the last one and false at the
// end of ctx. done is called under the lock.
func (s *Sync) awaitState(ctx context.Context, done func(configlog.State) bool) (configlog.State, bool) {
	for {
		s.mu.Lock()
		state, changed := s.replayer.State(), s.changed
		ok := done(state)
		s.mu.Unlock()
		if ok {
			return state, true
		}
		select {
		case <-ctx.Done():
			return state, false
		case <-changed:
		}
	}
}

// conflict counts a conflict and returns the error that names the winner.
func (s *Sync) conflict(winner configlog.Entry) error {
	s.meter.conflicts.Inc()
	return &api.ConfigConflict{Winner: winner.Author, Version: winner.Version}
}

// changeRefused returns the refusal of a change that was not made.
func changeRefused(why string) *outcome.Refusal {
	return outcome.Refuse(outcome.LogUnavailable, "the change was not made: %s", why).After(retryAfterMs)
}

// outcomeUnknown returns the refusal of a change that may have been made.
func outcomeUnknown(why string) *outcome.Refusal {
	return outcome.Refuse(outcome.OutcomeUnknown, "the change may have been made: %s; read the history before trying again", why).
		WithRun(outcome.MayHaveRun).After(retryAfterMs)
}
