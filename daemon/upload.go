package daemon

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/google/uuid"

	"tarragonhollow.example/tarragonhollow/api"
	"tarragonhollow.example/tarragonhollow/core/ledger"
	"tarragonhollow.example/tarragonhollow/core/outcome"
)

const (
	// chunkBytes bounds one chunk of an upload, so that a large job is never
	// whole in this daemon's memory.
	chunkBytes = 192 << 10
	// chunkItems bounds the items of a chunk, for jobs of tiny items.
	chunkItems = 1000
	// abandonTimeout bounds the word that an upload has failed.
	abandonTimeout = 2 * time.Second
)

// uploader sends one job to its shard's owner, chunk by chunk.
type uploader struct {
	ledger ledger.Client
	open   ledger.JobOpenRequest
	chunk  []ledger.Item
	bytes  int
	chunks int
	items  int
}

// PutJob implements api.Backend. The job counts only once its last record is
// read back from the log; until then nothing of it is visible.
func (b *backend) PutJob(ctx context.Context, up api.JobUpload) (ledger.JobStatus, bool, error) {
	if err := b.Ready(); err != nil {
		return ledger.JobStatus{}, false, err
	}
	u := uploader{ledger: b.shards, open: ledger.JobOpenRequest{
		Job:         up.Job,
		Profile:     up.Profile.Name,
		Upload:      uuid.NewString(),
		DueMs:       time.Now().Add(up.Profile.Due).UnixMilli(),
		Repeatable:  up.Profile.Repeatable,
		MaxAttempts: up.Profile.Retries + 1,
	}}
	reply, err := u.run(ctx, up)
	if err != nil {
		// The caller's refusal does not wait for it.
		go u.abandon(context.WithoutCancel(ctx))
	}
	return reply.Status, reply.Created, err
}

func (u *uploader) run(ctx context.Context, up api.JobUpload) (ledger.JobCommitReply, error) {
	if err := u.ledger.OpenJob(ctx, u.open); err != nil {
		return ledger.JobCommitReply{}, err
	}
	for {
		item, err := up.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return ledger.JobCommitReply{}, err
		}
		if err := u.add(ctx, item); err != nil {
			return ledger.JobCommitReply{}, err
		}
	}
	if err := u.flush(ctx); err != nil {
		return ledger.JobCommitReply{}, err
	}
	if u.items == 0 {
		return ledger.JobCommitReply{}, outcome.Refuse(outcome.BadRequest, "the job has no items")
	}
	return u.ledger.CommitJob(ctx, ledger.JobCommitRequest{
		Job:         u.open.Job,
		Upload:      u.open.Upload,
		Chunks:      u.chunks,
		Items:       u.items,
		Fingerprint: up.Sum(),
	})
}

// abandon tells the owner to drop what it has of a failed upload. A lost word is
// made up for by the owner, which drops an upload that rests.
func (u *uploader) abandon(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, abandonTimeout)
	defer cancel()
	_ = u.ledger.AddItems(ctx, ledger.JobChunkRequest{Job: u.open.Job, Upload: u.open.Upload, Abandon: true})
}

func (u *uploader) add(ctx context.Context, item ledger.Item) error {
	u.chunk = append(u.chunk, item)
	u.bytes += len(item.Body) + len(item.CustomID) + len(item.URL)
	u.items++
	if u.bytes < chunkBytes && len(u.chunk) < chunkItems {
		return nil
	}
	return u.flush(ctx)
}

func (u *uploader) flush(ctx context.Context) error {
	if len(u.chunk) == 0 {
		return nil
	}
	err := u.ledger.AddItems(ctx, ledger.JobChunkRequest{
		Job:    u.open.Job,
		Upload: u.open.Upload,
		Index:  u.chunks,
		Items:  u.chunk,
	})
	u.chunks++
	u.chunk = nil
	u.bytes = 0
	return err
}
