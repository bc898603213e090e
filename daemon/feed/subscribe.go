package feed

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/daemon/duty"
)

const (
	// waitForNews is how long a reader holds a subscriber's question open. Together with
	// a reader's own wait at the log it keeps the age of what a subscriber holds near a
	// second.
	waitForNews = 700 * time.Millisecond
	// answerSlack is how long the answer may take beyond that.
	answerSlack = 400 * time.Millisecond
	// askPause is the pause after a question that brought nothing, restPause that of a
	// daemon that needs no reader.
	askPause  = 100 * time.Millisecond
	restPause = 200 * time.Millisecond
	// likelyReaders is how many daemons, the first ones of the zone's order, are asked
	// while no reader is known.
	likelyReaders = 3
)

// subscribe asks readers for what is new until ctx is done.
func (f *Feed) subscribe(ctx context.Context) {
	for ctx.Err() == nil {
		pause := restPause
		if address, ask := f.reader(time.Now()); ask {
			pause = 0
			if !f.askReader(ctx, address) {
				pause = askPause
			}
		}
		duty.Pause(ctx, pause)
	}
}

// reader returns the reader to ask, false for a daemon that needs none or knows none.
func (f *Feed) reader(now time.Time) (string, bool) {
	zone := f.Targets.OwnZone()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.large || zone.Leads || !f.chosen.IsZero() && now.Sub(f.chosen) < roleFor {
		return "", false
	}
	if address, known := f.source.Next(now); known {
		return address, true
	}
	return likelyReader(zone.Members, f.Self)
}

// likelyReader returns one of the daemons that read the log as long as nobody leads, or
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

// askReader asks a reader once. It tells whether that one serves.
func (f *Feed) askReader(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, waitForNews+answerSlack)
	defer cancel()
	f.mu.Lock()
	zone := f.Targets.OwnZone()
	args := ViewArgs{Host: f.Host, From: f.Self, Whole: zone.Standby == f.Self, Version: f.Configuration.Version(), Sample: f.adopted, WaitMs: waitForNews.Milliseconds()}
	f.mu.Unlock()
	args.Working = f.Targets.Working()
	asked := time.Now()
	var reply ViewReply
	if err := f.Peers.Call(ctx, address, viewMethod, args, &reply); err != nil {
		f.Logger.Info("reader_not_reached", zap.String("reader", address), zap.Error(err))
		f.mu.Lock()
		f.source.Failed(time.Now(), address)
		f.mu.Unlock()
		return false
	}
	return f.take(address, asked, args.Whole, &reply)
}

// take takes a reader's answer to a question that was asked at the given moment. What the
// answer says was true when it was given, and so no earlier than after the time for which
// the question was held open.
func (f *Feed) take(address string, asked time.Time, whole bool, reply *ViewReply) bool {
	if !reply.Serves {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.source.Failed(time.Now(), address)
		if len(reply.Readers) > 0 {
			f.source.SetReaders(reply.Readers)
		}
		return false
	}
	given := asked.Add(time.Duration(reply.HeldMs) * time.Millisecond)
	if len(reply.Configuration) > 0 {
		if err := f.Configuration.TakePacked(reply.Configuration, address); err != nil {
			f.Logger.Error("configuration_unreadable", zap.String("reader", address), zap.Error(err))
			return false
		}
	}
	if reply.Known {
		f.Configuration.Hear(given.Add(-time.Duration(reply.ConfigurationAgeMs) * time.Millisecond))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if reply.Sampled {
		f.backup.Served(time.Now())
		f.takeTargets(given, whole, reply)
	}
	return true
}

// takeTargets takes the targets of an answer, unless they are read from the log here by
// now. f.mu is held.
func (f *Feed) takeTargets(given time.Time, whole bool, reply *ViewReply) {
	if f.targetReading.Running() {
		return
	}
	f.targets = reply.Total
	at := given.Add(-time.Duration(reply.TargetsAgeMs) * time.Millisecond)
	if reply.Digest != f.adopted {
		f.adopted = reply.Digest
		f.Targets.Adopt(at, reply.Targets, whole)
	}
	f.Targets.Confirm(at, reply.Started)
}
