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

// itemKey identifies an item independently of its attempt.
type itemKey struct {
	job   string
	index int
}

// heldItem is an item leased to this steward, from its pull until its end is delivered or
// it is handed back. It is guarded by Steward.mu, except that progress belongs to the run
// while there is one.
type heldItem struct {
	ref     ledger.ItemRef
	item    ledger.Item
	profile string
	group   string
	owner   string
	due     time.Time
	weight  float64
	// pinned items are never preempted, as their run cannot be resumed elsewhere: calls to
	// plain services, and work that is not repeatable.
	pinned  bool
	suspect bool
	// repeatable is the profile's setting.
	repeatable bool
	// startUntil is the time from which the lease no longer allows a start, on this
	// daemon's monotonic clock.
	startUntil time.Time

	prompt          prompt
	progress        []string
	segment         int
	unreachedStarts int
	queuedAt        time.Time
	// prefer is the target that has the item's prefix cached; it applies until preferUntil.
	prefer      *targetState
	preferUntil time.Time
	run         *run
	// stopped is set once the item's job was cancelled; the item is not started again.
	stopped bool
	// ended is set while the item's end waits to be delivered; handedBack if it ended
	// without a result.
	ended      bool
	handedBack bool
}

func (it *heldItem) key() itemKey { return itemKey{it.ref.Job, it.ref.Index} }

// name returns the idempotency key sent to targets, which is also the prefix of stream ids.
func (it *heldItem) name() string { return it.ref.Job + "/" + it.item.CustomID }

// streamID differs for every start, so that a late cancel of one stream cannot cancel its
// successor.
func (it *heldItem) streamID() string {
	return it.name() + "/" + strconv.Itoa(it.ref.Attempt) + "." + strconv.Itoa(it.segment)
}

// isChat reports whether the item runs on an engine.
func (it *heldItem) isChat() bool { return it.item.URL == jobline.ChatURL }

// groupOf returns the target group that serves the item, or fallback if the configuration
// has none. If an owner has to log an item's start before handing it off, it sends the item
// in reply to the steward's next pull, whichever group that pull is for; without this
// lookup a service's item could be sent to an engine.
func groupOf(cfg *config.Config, item ledger.Item, fallback string) string {
	if cfg == nil {
		return fallback
	}
	if name, ok := cfg.GroupForItem(item.URL, item.Body); ok {
		return name
	}
	return fallback
}

// generateRequest decodes the item's body, which is in the OpenAI format.
func (it *heldItem) generateRequest() (target.GenerateRequest, error) {
	req, _, err := chat.ParseRequest(it.item.Body)
	if err != nil {
		return req, ItemError.Wrap(err, "body")
	}
	req.StreamID = it.streamID()
	req.ResumeTokens = append([]string(nil), it.progress...)
	return req, nil
}

// serviceRequest converts /v1/services/{service}/{path} to the call to the service.
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

// chatAnswer builds the stored answer from all tokens, including those of cancelled
// segments.
func (it *heldItem) chatAnswer(model string, now time.Time, f target.Finish) *ledger.Answer {
	f.Usage.CompletionTokens = len(it.progress)
	answer := chat.Answer{Text: strings.Join(it.progress, ""), Finish: f}
	body := chat.EncodeAnswer("chatcmpl-"+it.name(), model, now, answer)
	return &ledger.Answer{Status: http.StatusOK, ContentType: "application/json", Body: body}
}
