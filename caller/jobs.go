package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"tarragonhollow.example/tarragonhollow/core/outcome"
)

// Line is one line, that is one item, of a job's body.
type Line struct {
	CustomID string `json:"custom_id"`
	URL      string `json:"url"`
	Body     any    `json:"body"`
}

// EncodeLines encodes lines as a job's body in JSON lines.
func EncodeLines(lines []Line) ([]byte, error) {
	var body bytes.Buffer
	enc := json.NewEncoder(&body)
	for _, line := range lines {
		if err := enc.Encode(line); err != nil {
			return nil, err
		}
	}
	return body.Bytes(), nil
}

// Job is a job's status. Times are Unix milliseconds; 0 means not set yet.
type Job struct {
	Job        string `json:"job"`
	Profile    string `json:"profile"`
	State      string `json:"state"`
	Counts     `json:"counts"`
	AcceptedMs int64 `json:"accepted_ms"`
	DueMs      int64 `json:"due_ms"`
	EndedMs    int64 `json:"ended_ms"`
	ForecastMs int64 `json:"forecast_ms"`
}

// Counts are the numbers of a job's items by state.
type Counts struct {
	Items     int `json:"items"`
	Waiting   int `json:"waiting"`
	Running   int `json:"running"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
	Cancelled int `json:"cancelled"`
}

// Ended reports whether the job has ended, so that no more items will run.
func (j Job) Ended() bool { return j.State == "ended" || j.State == "cancelled" }

// Result is one line of a job's results.
type Result struct {
	CustomID string `json:"custom_id"`
	State    string `json:"state"`
	Attempts int    `json:"attempts"`
	Response *struct {
		Status int             `json:"status"`
		Body   json.RawMessage `json:"body"`
	} `json:"response"`
	Error *struct {
		Code    outcome.Code     `json:"code"`
		Message string           `json:"message"`
		Run     outcome.RunState `json:"run"`
	} `json:"error"`
}

// PutJob submits a job. created is false if the same job already existed.
func (c *Client) PutJob(ctx context.Context, o Options, name string, body []byte) (created bool, err error) {
	status, _, err := c.do(ctx, http.MethodPut, "/v1/jobs/"+name, bytes.NewReader(body), o, nil)
	return status == http.StatusAccepted, err
}

// Job returns a job's status.
func (c *Client) Job(ctx context.Context, o Options, name string) (Job, error) {
	return c.job(ctx, http.MethodGet, o, name)
}

// CancelJob cancels a job. It returns once no daemon will start another of its items.
func (c *Client) CancelJob(ctx context.Context, o Options, name string) (Job, error) {
	return c.job(ctx, http.MethodDelete, o, name)
}

func (c *Client) job(ctx context.Context, method string, o Options, name string) (Job, error) {
	var job Job
	_, text, err := c.do(ctx, method, "/v1/jobs/"+name, nil, o, nil)
	if err != nil {
		return job, err
	}
	return job, json.Unmarshal(text, &job)
}

// Results returns the results of the items that have ended so far. If the daemon could not
// send all of them, the error is a *Refused.
func (c *Client) Results(ctx context.Context, o Options, name string) ([]Result, error) {
	_, text, err := c.do(ctx, http.MethodGet, "/v1/jobs/"+name+"/results", nil, o, nil)
	if err != nil {
		return nil, err
	}
	var results []Result
	lines := bufio.NewScanner(bytes.NewReader(text))
	lines.Buffer(nil, maxAnswerBytes)
	for lines.Scan() {
		var result Result
		if err := json.Unmarshal(lines.Bytes(), &result); err != nil {
			return nil, err
		}
		if result.CustomID == "" && result.Error != nil {
			return nil, parseRefusal(http.StatusOK, lines.Bytes())
		}
		results = append(results, result)
	}
	return results, lines.Err()
}
