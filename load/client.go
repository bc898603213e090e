package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"tarragonhollow.example/tarragonhollow/target"
)

// Client speaks to the daemons as a caller does.
type Client struct {
	// HTTP is the client used for all calls.
	HTTP *http.Client
	// Daemons are base URLs, e.g. http://127.0.0.1:8080.
	Daemons []string
	// Token is the operators' bearer token, for publishing configuration.
	Token string
}

// NewClient returns a client with room for many connections to each daemon.
func NewClient(daemons []string, token string) *Client {
	transport := &http.Transport{
		MaxIdleConnsPerHost: 1024,
		MaxIdleConns:        0,
		DisableCompression:  true,
	}
	return &Client{HTTP: &http.Client{Transport: transport}, Daemons: daemons, Token: token}
}

// Sample is what one streamed request showed.
type Sample struct {
	// FirstToken is the time from sending to the first token.
	FirstToken time.Duration
	// Gaps are the times between tokens.
	Gaps []time.Duration
	// Total is the time from sending to the end.
	Total time.Duration
	// Err tells why the request failed; nil when it succeeded.
	Err error
}

type chatBody struct {
	Model     string           `json:"model"`
	Stream    bool             `json:"stream"`
	MaxTokens int              `json:"max_tokens"`
	Messages  []target.Message `json:"messages"`
}

// Chat streams one chat completion from the daemon with the given index.
func (c *Client) Chat(ctx context.Context, daemon int, profile, model string, maxTokens int, messages []target.Message) Sample {
	body, err := json.Marshal(chatBody{Model: model, Stream: true, MaxTokens: maxTokens, Messages: messages})
	if err != nil {
		return Sample{Err: err}
	}
	url := c.Daemons[daemon%len(c.Daemons)] + "/v1/chat/completions"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return Sample{Err: err}
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Tarragon-Profile", profile)
	start := time.Now()
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return Sample{Err: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return Sample{Err: statusError(resp)}
	}
	return readStream(resp.Body, start)
}

// readStream measures an SSE stream until its [DONE].
func readStream(body io.Reader, start time.Time) Sample {
	var s Sample
	last := start
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), 1<<20)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			s.Total = time.Since(start)
			return s
		}
		if strings.HasPrefix(data, `{"error"`) {
			s.Err = errors.New(data)
			return s
		}
		if !strings.Contains(data, `"content"`) {
			continue
		}
		now := time.Now()
		if s.FirstToken == 0 {
			s.FirstToken = now.Sub(start)
		} else {
			s.Gaps = append(s.Gaps, now.Sub(last))
		}
		last = now
	}
	s.Err = fmt.Errorf("the stream ended early: %w", errors.Join(lines.Err(), io.ErrUnexpectedEOF))
	return s
}

func statusError(resp *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 512))
	return fmt.Errorf("status %d: %s", resp.StatusCode, bytes.TrimSpace(text))
}

// jobLine is one line of a job's body.
type jobLine struct {
	CustomID string   `json:"custom_id"`
	URL      string   `json:"url"`
	Body     chatBody `json:"body"`
}

// PutJob submits a job of items prompts.
func (c *Client) PutJob(ctx context.Context, daemon int, name, profile, model string, maxTokens, items int, prompts *Prompts) error {
	var body bytes.Buffer
	enc := json.NewEncoder(&body)
	for i := range items {
		line := jobLine{
			CustomID: fmt.Sprintf("item-%d", i),
			URL:      "/v1/chat/completions",
			Body:     chatBody{Model: model, MaxTokens: maxTokens, Messages: prompts.Next()},
		}
		if err := enc.Encode(line); err != nil {
			return err
		}
	}
	url := c.Daemons[daemon%len(c.Daemons)] + "/v1/jobs/" + name
	_, err := c.do(ctx, http.MethodPut, url, &body, map[string]string{"Tarragon-Profile": profile})
	return err
}

// JobCounts is the part of a job's status that a measurement needs.
type JobCounts struct {
	State     string `json:"state"`
	Completed int    `json:"completed"`
	Failed    int    `json:"failed"`
	Waiting   int    `json:"waiting"`
}

// Job returns a job's counts.
func (c *Client) Job(ctx context.Context, daemon int, name string) (JobCounts, error) {
	var counts JobCounts
	url := c.Daemons[daemon%len(c.Daemons)] + "/v1/jobs/" + name
	text, err := c.do(ctx, http.MethodGet, url, nil, nil)
	if err != nil {
		return counts, err
	}
	return counts, json.Unmarshal(text, &counts)
}

// CancelJob cancels a job.
func (c *Client) CancelJob(ctx context.Context, daemon int, name string) error {
	url := c.Daemons[daemon%len(c.Daemons)] + "/v1/jobs/" + name
	_, err := c.do(ctx, http.MethodDelete, url, nil, nil)
	return err
}

// do sends a request and returns the whole answer of a 2xx status.
func (c *Client) do(ctx context.Context, method, url string, body io.Reader, header map[string]string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, err
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return nil, statusError(resp)
	}
	return io.ReadAll(resp.Body)
}
