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
	// chunkBytes limits one chunk of an upload, so that this daemon never has a whole large
	// job in memory.
	chunkBytes = 192 << 10
	// chunkItems limits the items of a chunk, for jobs with very small items.
	chunkItems = 1000
	// abandonTimeout limits the notification of the owner that an upload has failed.
	abandonTimeout = 2 * time.Second
)

// uploader sends one job to its shard's owner in chunks.
type uploader struct {
	ledger ledger.Client
	open   ledger.JobOpenRequest
	chunk  []ledger.Item
	bytes  int
	chunks int
	items  int
}

// PutJob implements api.Backend. The job takes effect once its last record is read back
// from the log; until then nothing of it is visible.
func (b *backend) PutJob(ctx context.Context, upload api.JobUpload) (ledger.JobStatus, bool, error) {
	if err := b.Ready(); err != nil {
		return ledger.JobStatus{}, false, err
	}
	u := uploader{ledger: b.shards, open: ledger.JobOpenRequest{
		Job:         upload.Job,
		Profile:     upload.Profile.Name,
		Upload:      uuid.NewString(),
		DueMs:       time.Now().Add(upload.Profile.Due).UnixMilli(),
		Repeatable:  upload.Profile.Repeatable,
		MaxAttempts: upload.Profile.Retries + 1,
	}}
	reply, err := u.run(ctx, upload)
	if err != nil {
		// In the background, so that the refusal to the caller is not delayed.
		go u.abandon(context.WithoutCancel(ctx))
	}
	return reply.Status, reply.Created, err
}

func (u *uploader) run(ctx context.Context, upload api.JobUpload) (ledger.JobCommitReply, error) {
	if err := u.ledger.OpenJob(ctx, u.open); err != nil {
		return ledger.JobCommitReply{}, err
	}
	for {
		item, err := upload.Next()
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
		Fingerprint: upload.Sum(),
	})
}

// abandon notifies the owner to discard what it has of a failed upload. If the notification
// is lost, the owner discards the upload later because it makes no progress.
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
