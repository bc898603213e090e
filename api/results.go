package api

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"tarragonhollow.example/tarragonhollow/core/ledger"
	"tarragonhollow.example/tarragonhollow/core/outcome"
)

// resultsPageBytes is the maximum size of a page, which each request for results holds in
// memory.
const resultsPageBytes = 256 << 10

// itemView is one line of a job's results.
type itemView struct {
	CustomID string           `json:"custom_id"`
	State    ledger.ItemState `json:"state"`
	Attempts int              `json:"attempts"`
	Response *answerView      `json:"response,omitempty"`
	Error    *errorFields     `json:"error,omitempty"`
}

// viewItem returns the line for an item's result.
func viewItem(r ledger.ItemResult) itemView {
	return itemView{
		CustomID: r.CustomID, State: r.State, Attempts: r.Attempts,
		Response: viewAnswer(r.Answer), Error: viewRefusal(r.Refusal),
	}
}

// results serves GET /v1/jobs/{job}/results: the ended items as JSON lines, in the order
// of the job's lines. ?from=INDEX is the index of the first item.
func (s *Server) results(c echo.Context) error {
	_, scopedName, err := s.jobOf(c)
	if err != nil {
		return err
	}
	from, err := fromItem(c)
	if err != nil {
		return err
	}
	// Each reader holds a page in memory, so readers are limited like requests.
	leave, err := s.enter(stateOf(c).caller, s.limits())
	if err != nil {
		return err
	}
	defer leave()
	done, err := s.begin(s.limits())
	if err != nil {
		return err
	}
	defer done()
	page, err := s.page(c, scopedName, from)
	if err != nil {
		return err
	}
	c.Response().Header().Set(echo.HeaderContentType, "application/jsonl")
	c.Response().WriteHeader(http.StatusOK)
	for {
		if err := writePage(c, page); err != nil {
			return err
		}
		if page.Next >= page.Items {
			return nil
		}
		from = page.Next
		acceptedMs := page.AcceptedMs
		page, err = s.page(c, scopedName, from)
		if err == nil && acceptedMs != 0 && page.AcceptedMs != 0 && page.AcceptedMs != acceptedMs {
			err = outcome.Refuse(outcome.NotFound, "the job is gone, and another one has its name")
		}
		if err != nil {
			s.cutResults(c, err)
		}
	}
}

// page fetches the page of results that starts at the item with index from. A page that
// neither advances nor reaches the end of the job is an error.
func (s *Server) page(c echo.Context, job string, from int) (ledger.ResultsReply, error) {
	req := ledger.ResultsRequest{Job: job, From: from, MaxBytes: resultsPageBytes}
	page, err := s.opts.Backend.Results(c.Request().Context(), req)
	if err != nil {
		return page, err
	}
	if page.Refusal != nil {
		return page, page.Refusal
	}
	if page.Next <= from && page.Next < page.Items {
		return page, outcome.Refuse(outcome.Internal, "a page of results from item %d ends at item %d of %d", from, page.Next, page.Items)
	}
	return page, nil
}

// writePage writes one page and flushes it.
func writePage(c echo.Context, page ledger.ResultsReply) error {
	encoder := json.NewEncoder(c.Response())
	for _, r := range page.Results {
		if err := encoder.Encode(viewItem(r)); err != nil {
			return err
		}
	}
	return http.NewResponseController(c.Response().Writer).Flush()
}

// cutResults ends results that can't be continued. It writes an error line and then
// closes the connection without the end of the body, so that even a reader that checks
// neither lines nor counts notices that results are missing.
func (s *Server) cutResults(c echo.Context, err error) {
	st := stateOf(c)
	refusal := refusalOf(err, false)
	st.recordRefusal(refusal)
	if json.NewEncoder(c.Response()).Encode(errorBody{Error: fieldsOf(refusal)}) == nil {
		_ = http.NewResponseController(c.Response().Writer).Flush()
	}
	panic(http.ErrAbortHandler)
}

// fromItem returns the item index in ?from=, 0 if it is missing.
func fromItem(c echo.Context) (int, error) {
	text := c.QueryParam("from")
	if text == "" {
		return 0, nil
	}
	from, err := strconv.Atoi(text)
	if err != nil || from < 0 {
		return 0, outcome.Refuse(outcome.BadRequest, "from: %.32q is not an item's index", text)
	}
	return from, nil
}
