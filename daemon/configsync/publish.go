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
	// maxProposals bounds how often one change is proposed anew after being voided.
	maxProposals = 5
	// firstReadWait is how long a publication waits for the first read.
	firstReadWait = 2 * time.Second
	// lookBack is how long a change with a lost answer is looked for before its
	// epoch is ended.
	lookBack = 500 * time.Millisecond
	// withdrawPause is the pause between tries to append a withdrawal, and
	// laterPause between those that go on after the operator had his answer.
	withdrawPause = 200 * time.Millisecond
	laterPause    = time.Second
	// maxUnresolved bounds the changes whose fate is followed after the answer.
	maxUnresolved = 16
	// retryAfterMs is when a refused operator should come back, unless the log
	// said otherwise.
	retryAfterMs = 2000
)

// Publish proposes text as the version after base and returns the new version
// once it is accepted. Its errors: *api.ConfigConflict if another change took the
// place; *outcome.Refusal otherwise. A refusal says not_run only where the change
// certainly has no effect and never will; may_have_run where ctx or PublishWait
// ended before that could be known. Unless the change is on the log by then, it is
// withdrawn as soon as the log takes that.
func (s *Sync) Publish(ctx context.Context, text string, base uint64, author string) (uint64, error) {
	if _, err := s.opt.Parse(text); err != nil {
		return 0, outcome.Refuse(outcome.BadRequest, "the configuration is not valid: %v", err)
	}
	ctx, cancel := context.WithTimeout(ctx, s.opt.PublishWait)
	defer cancel()
	s.awaitFirstRead(ctx)
	for range maxProposals {
		change, err := s.draft(text, base, author)
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
			return 0, unknown("so many changes followed that its own can't be told any more")
		}
	}
	return 0, refused("other changes kept being withdrawn meanwhile")
}

// awaitFirstRead gives a daemon that has just started a moment to learn the
// state, without which nothing can be proposed.
func (s *Sync) awaitFirstRead(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, firstReadWait)
	defer cancel()
	s.await(ctx, func(state configlog.State) bool { return s.atEnd || state.Through >= 0 })
}

// draft builds the change for the state known here, or refuses at once what
// can't be accepted.
func (s *Sync) draft(text string, base uint64, author string) (configlog.Change, error) {
	s.mu.Lock()
	state, anchored := s.folder.State(), s.folder.Anchored()
	lost := !anchored && s.atEnd && state.Version == 0
	unread := !s.atEnd && state.Through < 0
	s.mu.Unlock()
	change := configlog.Change{
		ID: uuid.NewString(), Base: base, Epoch: state.Epoch, Text: text, Author: author, AtMs: s.opt.Clock().UnixMilli(),
	}
	switch {
	case state.Version > base:
		// Versions only rise, so the base is out of date however old this state is.
		_, entry := configlog.Judge(configlog.State{Version: state.Version, History: state.History}, change)
		if entry.Version == 0 {
			entry.Version = state.Version
		}
		return change, s.conflict(entry)
	case lost && base == 0 && highestVersion(s.opt.View.Members()) == 0:
		// Every record that tells the state expired, though a running fleet restates
		// it three times in the retention, and no member knows it: the whole fleet
		// was gone for long. The operators begin anew, above every version there ever
		// was.
		change.Forced = true
	case !anchored || unread:
		return change, refused("this daemon has not read the configuration stream yet")
	}
	return change, nil
}

// propose appends the change and returns a state that decides it.
func (s *Sync) propose(ctx context.Context, change configlog.Change) (configlog.State, error) {
	data, err := configlog.Record{Change: &change}.Encode()
	if err != nil {
		return configlog.State{}, refused("the text can't be encoded")
	}
	offset, err := s.opt.Log.Append(ctx, Stream, data)
	if err == nil {
		return s.readBack(ctx, offset)
	}
	if refusal := notAppended(err); refusal != nil {
		return configlog.State{}, refusal
	}
	s.opt.Logger.Warn("config_append_answer_lost", zap.String("change", change.ID), zap.Error(err))
	return s.resolve(ctx, change)
}

// notAppended returns the refusal for an append that was certainly not made, nil
// if it may have been.
func notAppended(err error) *outcome.Refusal {
	if after, ok := extern.IsLimited(err); ok {
		return refused("the platform's log limits appends").After(max(after.Milliseconds(), 1))
	}
	switch {
	case extern.IsUnavailable(err):
		return refused("the platform's log is out")
	case extern.IsTooLarge(err):
		return outcome.Refuse(outcome.TooLarge, "the text exceeds the log's record limit")
	case errorx.IsOfType(err, extern.Invalid):
		return outcome.Refuse(outcome.Internal, "the platform's log refused the change: %v", err)
	}
	return nil
}

// resolve learns what became of a change whose append had no answer. It looks
// for the change on the stream; if it isn't there it may still arrive, so its
// epoch is ended: a change that arrives after that is void for every reader. A
// withdrawal without answer can simply be repeated.
func (s *Sync) resolve(ctx context.Context, change configlog.Change) (configlog.State, error) {
	looked, cancel := context.WithTimeout(ctx, lookBack)
	state, found := s.await(looked, func(state configlog.State) bool { return s.decided(state, change) })
	cancel()
	if found {
		return state, nil
	}
	if change.Forced {
		return state, unknown("the log's answer was lost")
	}
	s.meter.withdrawals.Inc()
	data, err := configlog.Record{Withdraw: &configlog.Withdraw{Epoch: change.Epoch}}.Encode()
	if err != nil {
		return state, unknown("the log's answer was lost")
	}
	for ctx.Err() == nil {
		offset, err := s.opt.Log.Append(ctx, Stream, data)
		if err == nil {
			return s.readBack(ctx, offset)
		}
		duty.Pause(ctx, withdrawPause)
	}
	s.withdrawLater(change)
	return state, unknown("the log's answer was lost and could not be looked for")
}

// withdrawLater has the change's epoch ended once the log answers again.
//
// Failure guarded against: the operator is told that the change may have been
// made, and reads a history without it; then it arrives after all and undoes what
// was published meanwhile. A lost withdrawal can do no more than that, so one
// too many is only logged.
func (s *Sync) withdrawLater(change configlog.Change) {
	select {
	case s.unresolved <- change:
	default:
		s.opt.Logger.Warn("config_change_not_followed", zap.String("change", change.ID))
	}
}

// withdrawLoop makes the withdrawals that publications left behind.
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

// withdraw tries until the withdrawal is on the log, the change is settled, or
// its epoch has ended otherwise.
func (s *Sync) withdraw(ctx context.Context, change configlog.Change) {
	data, err := configlog.Record{Withdraw: &configlog.Withdraw{Epoch: change.Epoch}}.Encode()
	if err != nil {
		return
	}
	for ctx.Err() == nil {
		if state := s.state(); s.decided(state, change) || state.Epoch > change.Epoch {
			return
		}
		call, cancel := context.WithTimeout(ctx, appendTimeout)
		_, err := s.opt.Log.Append(call, Stream, data)
		cancel()
		if err == nil {
			s.opt.Logger.Info("config_change_withdrawn", zap.String("change", change.ID))
			return
		}
		duty.Pause(ctx, laterPause)
	}
}

// decided tells whether the state settles the change, accepted or beaten. Void
// is no decision: the change may yet arrive.
func (s *Sync) decided(state configlog.State, change configlog.Change) bool {
	verdict, _ := configlog.Judge(state, change)
	return verdict == configlog.Accepted || verdict == configlog.Lost
}

// readBack waits until the fold includes the offset.
func (s *Sync) readBack(ctx context.Context, offset int64) (configlog.State, error) {
	state, ok := s.await(ctx, func(state configlog.State) bool { return state.Through >= offset })
	if !ok {
		return state, unknown("it is on the log, but the log could not be read back")
	}
	return state, nil
}

// await returns the first state that satisfies done, which is called under the
// lock, or false at the end of ctx.
func (s *Sync) await(ctx context.Context, done func(configlog.State) bool) (configlog.State, bool) {
	for {
		s.mu.Lock()
		state, stepped := s.folder.State(), s.stepped
		ok := done(state)
		s.mu.Unlock()
		if ok {
			return state, true
		}
		select {
		case <-ctx.Done():
			return state, false
		case <-stepped:
		}
	}
}

func (s *Sync) conflict(winner configlog.Entry) error {
	s.meter.conflicts.Inc()
	return &api.ConfigConflict{Winner: winner.Author, Version: winner.Version}
}

func refused(why string) *outcome.Refusal {
	return outcome.Refuse(outcome.LogUnavailable, "the change was not made: %s", why).After(retryAfterMs)
}

func unknown(why string) *outcome.Refusal {
	return outcome.Refuse(outcome.OutcomeUnknown, "the change may have been made: %s; read the history before trying again", why).
		WithRun(outcome.MayHaveRun).After(retryAfterMs)
}
