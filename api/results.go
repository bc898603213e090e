package api

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"tarragonhollow.example/tarragonhollow/core/ledger"
	"tarragonhollow.example/tarragonhollow/core/outcome"
)

// resultsPageBytes bounds a page: what one reader holds in memory at once.
const resultsPageBytes = 256 << 10

// itemView is one line of a job's results.
type itemView struct {
	CustomID string           `json:"custom_id"`
	State    ledger.ItemState `json:"state"`
	Attempts int              `json:"attempts"`
	Response *answerView      `json:"response,omitempty"`
	Error    *errorFields     `json:"error,omitempty"`
}

// viewItem shapes an item's result.
func viewItem(r ledger.ItemResult) itemView {
	return itemView{
		CustomID: r.CustomID, State: r.State, Attempts: r.Attempts,
		Response: viewAnswer(r.Answer), Error: viewRefusal(r.Refusal),
	}
}

// results serves GET /v1/jobs/{job}/results: the ended items as JSON lines, in
// line order. ?from=INDEX starts at an item.
func (s *Server) results(c echo.Context) error {
	_, full, err := s.jobOf(c)
	if err != nil {
		return err
	}
	from, err := fromItem(c)
	if err != nil {
		return err
	}
	// A reader holds a page in memory, so readers are bounded like requests.
	leave, err := s.enter(stateOf(c).caller, s.limits())
	if err != nil {
		return err
	}
	defer leave()
	done, err := s.run(s.limits())
	if err != nil {
		return err
	}
	defer done()
	page, err := s.page(c, full, from)
	if err != nil {
		return err
	}
	c.Response().Header().Set(echo.HeaderContentType, "application/jsonl")
	c.Response().WriteHeader(http.StatusOK)
	for {
		if err := writePage(c, page); err != nil {
			return err
		}
		if page.Next >= page.Items || page.Next <= from {
			return nil
		}
		from = page.Next
		if page, err = s.page(c, full, from); err != nil {
			s.cutResults(c, err)
		}
	}
}

// page asks the backend for the results from an item on.
func (s *Server) page(c echo.Context, job string, from int) (ledger.ResultsReply, error) {
	req := ledger.ResultsRequest{Job: job, From: from, MaxBytes: resultsPageBytes}
	page, err := s.opts.Backend.Results(c.Request().Context(), req)
	if err != nil {
		return page, err
	}
	if page.Refusal != nil {
		return page, page.Refusal
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

// cutResults ends results that broke off: an error line, then the connection is
// closed without the end of the body, so that a reader that looks at neither
// lines nor counts still sees that something is missing.
func (s *Server) cutResults(c echo.Context, err error) {
	st := stateOf(c)
	refusal := refusalOf(err, false)
	st.refused(refusal)
	if json.NewEncoder(c.Response()).Encode(errorBody{Error: fieldsOf(refusal)}) == nil {
		_ = http.NewResponseController(c.Response().Writer).Flush()
	}
	panic(http.ErrAbortHandler)
}

// fromItem reads ?from=.
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
