package api

import (
	"context"
	"net/http"
	"regexp"

	"github.com/labstack/echo/v4"

	"tarragonhollow.example/tarragonhollow/core/ledger"
	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/jobline"
)

// jobName matches valid job names, which are safe in a path, a log line and a shell.
var jobName = regexp.MustCompile(`^[A-Za-z0-9._-]{1,128}$`)

// jobView is the response of GET /v1/jobs/{job}. Times are in Unix milliseconds, 0 for
// "not yet" or "unknown".
type jobView struct {
	Job        string          `json:"job"`
	Profile    string          `json:"profile"`
	State      ledger.JobState `json:"state"`
	Counts     jobCounts       `json:"counts"`
	AcceptedMs int64           `json:"accepted_ms"`
	DueMs      int64           `json:"due_ms"`
	EndedMs    int64           `json:"ended_ms"`
	ForecastMs int64           `json:"forecast_ms"`
	// ForecastLate is true if the job is forecast to miss its due time.
	ForecastLate bool `json:"forecast_late"`
}

// jobCounts holds the numbers of a job's items by state.
type jobCounts struct {
	Items     int `json:"items"`
	Waiting   int `json:"waiting"`
	Running   int `json:"running"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
	Cancelled int `json:"cancelled"`
}

// viewJob returns the response for a job's status, with the name that its caller gave it.
func viewJob(name string, s ledger.JobStatus) jobView {
	return jobView{
		Job: name, Profile: s.Profile, State: s.State,
		Counts: jobCounts{
			Items: s.Items, Waiting: s.Waiting, Running: s.Running,
			Completed: s.Completed, Failed: s.Failed, Cancelled: s.Cancelled,
		},
		AcceptedMs: s.AcceptedMs, DueMs: s.DueMs, EndedMs: s.EndedMs, ForecastMs: s.ForecastMs,
		ForecastLate: s.DueMs > 0 && s.ForecastMs > s.DueMs,
	}
}

// jobOf returns the job's name and its scoped name CALLER/JOB.
func (s *Server) jobOf(c echo.Context) (name, scopedName string, err error) {
	caller, err := s.identify(c)
	if err != nil {
		return "", "", err
	}
	name = c.Param("job")
	if !jobName.MatchString(name) {
		return "", "", outcome.Refuse(outcome.BadRequest, "a job's name is 1 to 128 characters of A-Z a-z 0-9 . _ -")
	}
	scopedName = scoped(caller, name)
	stateOf(c).key = scopedName
	return name, scopedName, nil
}

// job serves GET /v1/jobs/{job}.
func (s *Server) job(c echo.Context) error {
	return s.jobAction(c, s.opts.Backend.Job)
}

// cancelJob serves DELETE /v1/jobs/{job}. It answers once no new item will start.
func (s *Server) cancelJob(c echo.Context) error {
	stateOf(c).backendCalled = true
	return s.jobAction(c, s.opts.Backend.CancelJob)
}

// jobAction calls do with the job's scoped name and answers with the job's status.
func (s *Server) jobAction(c echo.Context, do func(context.Context, string) (ledger.JobStatus, error)) error {
	name, scopedName, err := s.jobOf(c)
	if err != nil {
		return err
	}
	status, err := do(c.Request().Context(), scopedName)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, viewJob(name, status))
}

// item serves GET /v1/jobs/{job}/items/{custom_id}.
func (s *Server) item(c echo.Context) error {
	name, scopedName, err := s.jobOf(c)
	if err != nil {
		return err
	}
	id, err := pathTail(c, "/v1/jobs/"+name+"/items/", jobline.MaxCustomIDBytes)
	if err != nil {
		return err
	}
	result, err := s.opts.Backend.Item(c.Request().Context(), scopedName, id)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, viewItem(result))
}
