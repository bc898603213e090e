package jobs

import (
	"context"
	"time"

	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/batch"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
	"tarragonhollow.example/tarragonhollow/daemon/places"
)

// Results that this daemon can't write soon are written by another one.
//
// Load pattern answered: the log turns some hosts away for seconds, or they are cut off
// from it, while others are served. Results that end there would be shown late, and lost
// with the host; and the new holder of their partition would run the items again.

const (
	// handOverAfter is how long a result may wait before another daemon is asked to
	// write it. Written here, it takes some 110 ms.
	handOverAfter = 500 * time.Millisecond
	// handOverEvery is the pace at which waiting results are looked for.
	handOverEvery = 250 * time.Millisecond
	// handOverTime bounds one call.
	handOverTime = 1500 * time.Millisecond
	// handOverBytes bounds the results of one call.
	handOverBytes = 1 << 20
	// writeMethod is the call that hands results over.
	writeMethod = "Jobs.Write"
)

// KeptResult is a result of a job.
type KeptResult struct {
	Job    string
	Result batch.Result
}

// WriteArgs asks for results to be written, all of one partition.
type WriteArgs struct {
	Part    int
	Results []KeptResult
}

// WriteReply tells that all of them stand on the log.
type WriteReply struct {
	Written bool
}

// Write is called by peers.
func (s *service) Write(args WriteArgs, reply *WriteReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTime)
	defer cancel()
	reply.Written = s.jobs.writeForPeer(ctx, args)
	return nil
}

// writeForPeer writes the results and returns once they are in the book.
func (j *Jobs) writeForPeer(ctx context.Context, args WriteArgs) bool {
	if args.Part < 0 || args.Part >= len(j.writers) || j.accepted.lost() || !j.following.running() {
		return false
	}
	c := j.results[args.Part]
	if !j.readWithin(c, freshFor) && j.catchUp(ctx, c) != nil {
		return false
	}
	for _, r := range args.Results {
		if !j.finished(r.Job, r.Result.Item) {
			j.writers[args.Part].add(entry{r.Job, r.Result, time.Now()})
		}
	}
	for {
		news := j.news.Next()
		if j.allFinished(args.Results) {
			return true
		}
		select {
		case <-news:
		case <-ctx.Done():
			return false
		}
	}
}

func (j *Jobs) finished(job string, item int) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	known := j.book.Job(job)
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

// handOver hands results over until ctx is done.
func (j *Jobs) handOver(ctx context.Context) {
	duty.Every(ctx, handOverEvery, func() {
		for _, w := range j.writers {
			j.handOverPart(ctx, w)
		}
	})
}

func (j *Jobs) handOverPart(ctx context.Context, w *writer) {
	waiting := w.waiting(time.Now().Add(-handOverAfter))
	if len(waiting) == 0 {
		return
	}
	args, keys := handOverArgs(w.cursor.partition.Part, waiting)
	for _, other := range j.detours(waiting[0].job) {
		if j.askToWrite(ctx, other, args) {
			w.remove(keys)
			return
		}
	}
}

func handOverArgs(part int, waiting []entry) (WriteArgs, map[itemKey]bool) {
	args, keys := WriteArgs{Part: part}, map[itemKey]bool{}
	size := 0
	for _, e := range waiting {
		size += len(e.result.Output)
		if size > handOverBytes && len(keys) > 0 {
			break
		}
		args.Results = append(args.Results, KeptResult{e.job, e.result})
		keys[e.key()] = true
	}
	return args, keys
}

func (j *Jobs) askToWrite(ctx context.Context, to places.Peer, args WriteArgs) bool {
	ctx, cancel := context.WithTimeout(ctx, handOverTime)
	defer cancel()
	var reply WriteReply
	err := j.Peers.Call(ctx, to.Address, writeMethod, args, &reply)
	j.Logger.Info("results_handed_over", zap.Int("part", args.Part), zap.Int("results", len(args.Results)),
		zap.String("peer", to.Address), zap.Bool("written", reply.Written), zap.Error(err))
	return err == nil && reply.Written
}

// unwritten names the items whose results wait to be written.
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
