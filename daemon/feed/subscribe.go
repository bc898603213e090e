package feed

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/daemon/duty"
)

const (
	// holdTime is how long a reader holds a subscriber's request open. Together with a
	// reader's own wait at the log it keeps the age of what a subscriber holds near a
	// second.
	holdTime = 700 * time.Millisecond
	// replySlack is how long the reply may take beyond that.
	replySlack = 400 * time.Millisecond
	// retryPause is the pause after a request that failed, idlePause that of a daemon
	// that needs no reader.
	retryPause = 100 * time.Millisecond
	idlePause  = 200 * time.Millisecond
	// likelyReaders is how many daemons, the first ones of the zone's order, are polled
	// while no reader is known.
	likelyReaders = 3
)

// subscribe polls readers for updates until ctx is done.
func (f *Feed) subscribe(ctx context.Context) {
	for ctx.Err() == nil {
		pause := idlePause
		if address, found := f.nextReader(time.Now()); found {
			pause = 0
			if !f.pollReader(ctx, address) {
				pause = retryPause
			}
		}
		duty.Pause(ctx, pause)
	}
}

// nextReader returns the reader to poll, false for a daemon that needs none or knows
// none.
func (f *Feed) nextReader(now time.Time) (string, bool) {
	zone := f.Targets.LocalZone()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.large || zone.Leads || !f.chosenAt.IsZero() && now.Sub(f.chosenAt) < roleTTL {
		return "", false
	}
	if address, known := f.source.Next(now); known {
		return address, true
	}
	return likelyReader(zone.Members, f.Self)
}

// likelyReader returns one of the daemons that read the log while there is no leader, or
// now and then any other one, which may know the readers.
func likelyReader(members []string, self string) (string, bool) {
	if len(members) == 0 {
		return "", false
	}
	among := members[:min(len(members), likelyReaders)]
	if rand.IntN(likelyReaders+1) == 0 {
		among = members
	}
	address := among[rand.IntN(len(among))]
	return address, address != self
}

// pollReader polls a reader once. It reports whether the reader serves this daemon.
func (f *Feed) pollReader(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, holdTime+replySlack)
	defer cancel()
	f.mu.Lock()
	zone := f.Targets.LocalZone()
	args := ViewArgs{Host: f.Host, From: f.Self, Whole: zone.Standby == f.Self, Version: f.Configuration.Version(), Sample: f.adoptedDigest, WaitMs: holdTime.Milliseconds()}
	f.mu.Unlock()
	args.Working = f.Targets.BusyTargets()
	sentAt := time.Now()
	var reply ViewReply
	if err := f.Peers.Call(ctx, address, viewMethod, args, &reply); err != nil {
		f.Logger.Info("reader_not_reached", zap.String("reader", address), zap.Error(err))
		f.mu.Lock()
		f.source.Failed(time.Now(), address)
		f.mu.Unlock()
		return false
	}
	return f.applyReply(address, sentAt, args.Whole, &reply)
}

// applyReply applies a reader's reply to a request that was sent at sentAt. The reply's
// content was valid when the reply was made, and so no earlier than after the time for
// which the request was held open.
func (f *Feed) applyReply(address string, sentAt time.Time, wholeZone bool, reply *ViewReply) bool {
	if !reply.Serves {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.source.Failed(time.Now(), address)
		if len(reply.Readers) > 0 {
			f.source.SetReaders(reply.Readers)
		}
		return false
	}
	repliedAt := sentAt.Add(time.Duration(reply.HeldMs) * time.Millisecond)
	if len(reply.Configuration) > 0 {
		if err := f.Configuration.ApplyPacked(reply.Configuration, address); err != nil {
			f.Logger.Error("configuration_unreadable", zap.String("reader", address), zap.Error(err))
			return false
		}
	}
	if reply.Known {
		f.Configuration.Confirm(repliedAt.Add(-time.Duration(reply.ConfigurationAgeMs) * time.Millisecond))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if reply.Sampled {
		f.fallback.ReaderAnswered(time.Now())
		f.applyTargets(repliedAt, wholeZone, reply)
	}
	return true
}

// applyTargets applies the targets of a reply, unless this daemon reads them from the log
// by now. f.mu is held.
func (f *Feed) applyTargets(repliedAt time.Time, wholeZone bool, reply *ViewReply) {
	if f.targetReading.Running() {
		return
	}
	f.targetCount = reply.Total
	at := repliedAt.Add(-time.Duration(reply.TargetsAgeMs) * time.Millisecond)
	if reply.Digest != f.adoptedDigest {
		f.adoptedDigest = reply.Digest
		f.Targets.Adopt(at, reply.Targets, wholeZone)
	}
	f.Targets.AdoptVersions(at, reply.Several, reply.VersionsKnown)
	f.Targets.Confirm(at, reply.Started)
	f.Targets.AdoptDepartures(repliedAt, reply.Departures)
}
