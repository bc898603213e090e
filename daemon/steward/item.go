package steward

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"tarragonhollow.example/tarragonhollow/chat"
	"tarragonhollow.example/tarragonhollow/core/config"
	"tarragonhollow.example/tarragonhollow/core/ledger"
	"tarragonhollow.example/tarragonhollow/jobline"
	"tarragonhollow.example/tarragonhollow/target"
)

// itemKey names an item whatever its attempt.
type itemKey struct {
	job   string
	index int
}

// heldItem is an item leased to this steward, from its pull until its end is
// delivered or it is handed back. Guarded by Steward.mu, except that progress
// belongs to the run while there is one.
type heldItem struct {
	ref     ledger.ItemRef
	item    ledger.Item
	profile string
	group   string
	owner   string
	due     time.Time
	weight  float64
	// pinned items are never cancelled to make room, as their run cannot go on
	// elsewhere: calls of plain services, and work that is not repeatable.
	pinned  bool
	suspect bool
	// repeatable is the profile's word.
	repeatable bool
	// startUntil is when the lease no longer allows a start, on our own
	// monotonic clock.
	startUntil time.Time

	prompt   prompt
	progress []string
	segment  int
	tries    int
	queuedAt time.Time
	// prefer is the target with the item's prefix in its cache, until preferUntil.
	prefer      *targetState
	preferUntil time.Time
	run         *run
	// stopped items belong to a cancelled job: their end is only handed back.
	stopped bool
	// ended items wait for their end to be delivered; handedBack ones ended
	// without a result.
	ended      bool
	handedBack bool
}

func (it *heldItem) key() itemKey { return itemKey{it.ref.Job, it.ref.Index} }

// name is the idempotency key towards targets and the stem of stream ids.
func (it *heldItem) name() string { return it.ref.Job + "/" + it.item.CustomID }

// streamID differs for every start, so that the late cancel of one stream
// cannot hit its successor.
func (it *heldItem) streamID() string {
	return it.name() + "/" + strconv.Itoa(it.ref.Attempt) + "." + strconv.Itoa(it.segment)
}

// isChat tells whether the item goes to an engine.
func (it *heldItem) isChat() bool { return it.item.URL == jobline.ChatURL }

// groupOf names the target group that serves the item, or pulled if the
// configuration names none. An owner hands over items whose start it had to put
// on the log first at the steward's next pull, whichever group that is for;
// without this a service's item could be sent to an engine.
func groupOf(cfg *config.Config, item ledger.Item, pulled string) string {
	if cfg == nil {
		return pulled
	}
	if name, ok := cfg.GroupForItem(item.URL, item.Body); ok {
		return name
	}
	return pulled
}

// generateRequest decodes the item's body in the OpenAI shape.
func (it *heldItem) generateRequest() (target.GenerateRequest, error) {
	req, _, err := chat.ParseRequest(it.item.Body)
	if err != nil {
		return req, ItemError.Wrap(err, "body")
	}
	req.StreamID = it.streamID()
	req.ResumeTokens = append([]string(nil), it.progress...)
	return req, nil
}

// serviceRequest turns /v1/services/{service}/{path} into the service's call.
func (it *heldItem) serviceRequest() (target.ServiceRequest, error) {
	rest, ok := strings.CutPrefix(it.item.URL, jobline.ServicePrefix)
	if !ok {
		return target.ServiceRequest{}, ItemError.New("no target serves %s", it.item.URL)
	}
	_, path, _ := strings.Cut(rest, "/")
	return target.ServiceRequest{
		Method: http.MethodPost,
		Path:   "/" + path,
		Header: http.Header{"Content-Type": {"application/json"}},
		Body:   it.item.Body,
	}, nil
}

// chatAnswer builds the kept answer from all tokens, those of cancelled
// segments included.
func (it *heldItem) chatAnswer(model string, now time.Time, f target.Finish) *ledger.Answer {
	f.Usage.CompletionTokens = len(it.progress)
	whole := chat.Answer{Text: strings.Join(it.progress, ""), Finish: f}
	body := chat.EncodeAnswer("chatcmpl-"+it.name(), model, now, whole)
	return &ledger.Answer{Status: http.StatusOK, ContentType: "application/json", Body: body}
}
