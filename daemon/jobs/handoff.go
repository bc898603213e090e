package jobs

import (
	"context"
	"time"

	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/batch"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
	"tarragonhollow.example/tarragonhollow/daemon/places"
)

// Results that this daemon can't write soon are handed off to another daemon.
//
// Load pattern: for seconds the log rejects some hosts, or they are cut off from it,
// while others are served. Results that end there would be returned to callers late and
// lost with the host, and the new holder of their partition would run the items again.

const (
	// handOffDelay is how long a result may wait before another daemon is called to write
	// it. A local write takes some 110 ms.
	handOffDelay = 500 * time.Millisecond
	// handOffInterval is how often waiting results are looked for.
	handOffInterval = 250 * time.Millisecond
	// handOffTimeout bounds one call.
	handOffTimeout = 1500 * time.Millisecond
	// maxHandOffBytes bounds the results of one call.
	maxHandOffBytes = 1 << 20
	// writeMethod is the RPC that hands off results.
	writeMethod = "Jobs.Write"
)

// KeptResult is a result of a job.
type KeptResult struct {
	Job    string
	Result batch.Result
}

// WriteArgs requests that results, all of one partition, be written.
type WriteArgs struct {
	Part    int
	Results []KeptResult
}

// WriteReply reports whether all of them are on the log.
type WriteReply struct {
	Written bool
}

// Write is called by peers.
func (s *service) Write(args WriteArgs, reply *WriteReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), handOffTimeout)
	defer cancel()
	reply.Written = s.jobs.writeForPeer(ctx, args)
	return nil
}

// writeForPeer writes the results and returns true once they are in the store.
func (j *Jobs) writeForPeer(ctx context.Context, args WriteArgs) bool {
	if args.Part < 0 || args.Part >= len(j.writers) || j.accepted.isFailing() || !j.following.running() {
		return false
	}
	c := j.results[args.Part]
	if !j.readWithin(c, maxReadAge) && j.catchUp(ctx, c) != nil {
		return false
	}
	for _, r := range args.Results {
		if !j.finished(r.Job, r.Result.Item) {
			j.writers[args.Part].add(queuedResult{r.Job, r.Result, time.Now()})
		}
	}
	for {
		changed := j.changes.Next()
		if j.allFinished(args.Results) {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

func (j *Jobs) finished(job string, item int) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	known := j.store.Job(job)
	return known != nil && known.Finished(item)
}

func (j *Jobs) allFinished(results []KeptResult) bool {
	for _, r := range results {
		if !j.finished(r.Job, r.Result.Item) {
			return false
		}
	}
	return true
}

// handOffResults hands off results until ctx is done.
func (j *Jobs) handOffResults(ctx context.Context) {
	duty.Every(ctx, handOffInterval, func() {
		for _, w := range j.writers {
			j.handOffPart(ctx, w)
		}
	})
}

func (j *Jobs) handOffPart(ctx context.Context, w *writer) {
	waiting := w.waiting(time.Now().Add(-handOffDelay))
	if len(waiting) == 0 {
		return
	}
	args, keys := handOffArgs(w.cursor.partition.Part, waiting)
	for _, other := range j.fallbackPeers(waiting[0].job) {
		if j.requestWrite(ctx, other, args) {
			w.remove(keys)
			return
		}
	}
}

func handOffArgs(part int, waiting []queuedResult) (WriteArgs, map[itemKey]bool) {
	args, keys := WriteArgs{Part: part}, map[itemKey]bool{}
	size := 0
	for _, e := range waiting {
		size += len(e.result.Output)
		if size > maxHandOffBytes && len(keys) > 0 {
			break
		}
		args.Results = append(args.Results, KeptResult{e.job, e.result})
		keys[e.key()] = true
	}
	return args, keys
}

func (j *Jobs) requestWrite(ctx context.Context, to places.Peer, args WriteArgs) bool {
	ctx, cancel := context.WithTimeout(ctx, handOffTimeout)
	defer cancel()
	var reply WriteReply
	err := j.Peers.Call(ctx, to.Address, writeMethod, args, &reply)
	j.Logger.Info("results_handed_over", zap.Int("part", args.Part), zap.Int("results", len(args.Results)),
		zap.String("peer", to.Address), zap.Bool("written", reply.Written), zap.Error(err))
	return err == nil && reply.Written
}

// unwritten returns the items whose results wait to be written.
func (j *Jobs) unwritten() []itemKey {
	var keys []itemKey
	now := time.Now()
	for _, w := range j.writers {
		for _, e := range w.waiting(now) {
			keys = append(keys, e.key())
		}
	}
	return keys
}
