package api_test

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"tarragonhollow.example/tarragonhollow/api"
	"tarragonhollow.example/tarragonhollow/core/config"
	"tarragonhollow.example/tarragonhollow/core/ledger"
	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/target"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func TestAPI(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "api")
}

// backend is a fake api.Backend. A spec sets the methods that it needs; a call of any
// other panics.
type backend struct {
	api.Backend
	cfg     *config.Config
	chat    func(context.Context, api.ChatCall, func(target.Token) error) (api.ChatResult, error)
	service func(api.ServiceCall) (target.ServiceResponse, error)
	putJob  func(api.JobUpload) (ledger.JobStatus, bool, error)
	results func(ledger.ResultsRequest) (ledger.ResultsReply, error)
	publish func(text string, base uint64) (api.ConfigInfo, error)
	kept    map[string]ledger.KeptRequest
}

func (b *backend) Config() *config.Config { return b.cfg }
func (b *backend) Ready() error           { return nil }
func (b *backend) Chat(ctx context.Context, c api.ChatCall, sink func(target.Token) error) (api.ChatResult, error) {
	return b.chat(ctx, c, sink)
}
func (b *backend) Service(_ context.Context, c api.ServiceCall) (target.ServiceResponse, error) {
	return b.service(c)
}
func (b *backend) PutJob(_ context.Context, up api.JobUpload) (ledger.JobStatus, bool, error) {
	return b.putJob(up)
}
func (b *backend) Results(_ context.Context, r ledger.ResultsRequest) (ledger.ResultsReply, error) {
	return b.results(r)
}
func (b *backend) PublishConfig(_ context.Context, text string, base uint64, _ string) (api.ConfigInfo, error) {
	return b.publish(text, base)
}
func (b *backend) Request(_ context.Context, key string) (ledger.KeptRequest, error) {
	kept, ok := b.kept[key]
	if !ok {
		return kept, outcome.Refuse(outcome.NotFound, "no such key")
	}
	return kept, nil
}
func (b *backend) WriteMetrics(w io.Writer) { _, _ = io.WriteString(w, "up 1\n") }

// settings returns a configuration with small limits.
func settings() *config.Config {
	return &config.Config{
		Version: 3,
		Profiles: map[string]*config.Profile{
			"desk":  {Name: "desk", Urgency: config.Online, Repeatable: true, Deadline: 10 * time.Second},
			"order": {Name: "order", Urgency: config.Online, Deadline: 10 * time.Second},
			"night": {Name: "night", Urgency: config.Batch, Repeatable: true},
		},
		Limits: config.Limits{BodyBytes: 4096, JobBytes: 8192, LineBytes: 512, ItemsPerJob: 20, InFlightPerCaller: 2},
	}
}

// daemon is a server on a real socket.
type daemon struct {
	*backend
	server *api.Server
	addr   string
	lines  *observer.ObservedLogs
}

// start starts a server that runs until the end of the spec.
func start(change func(*api.Options)) *daemon {
	core, lines := observer.New(zap.InfoLevel)
	d := &daemon{backend: &backend{cfg: settings()}, lines: lines}
	opts := api.Options{Backend: d.backend, Logger: zap.New(core), AdminToken: "secret"}
	if change != nil {
		change(&opts)
	}
	var err error
	d.server, err = api.New(opts)
	Expect(err).NotTo(HaveOccurred())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	d.addr = l.Addr().String()
	done := make(chan error, 1)
	go func() { done <- d.server.Serve(l) }()
	DeferCleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		Expect(d.server.Shutdown(ctx)).To(Succeed())
		Expect(<-done).To(Succeed())
	})
	return d
}

// send sends a request; headers are NAME, VALUE pairs.
func (d *daemon) send(method, path, body string, headers ...string) *http.Response {
	req, err := http.NewRequest(method, "http://"+d.addr+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(resp.Body.Close)
	return resp
}

// dial opens a raw connection and writes text.
func (d *daemon) dial(text string) net.Conn {
	conn, err := net.Dial("tcp", d.addr)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, text)
	Expect(err).NotTo(HaveOccurred())
	return conn
}

// refusal is the body of a refused request's response.
type refusal struct {
	Error struct {
		Code, Message, Run string
		RetryAfterMs       *int64 `json:"retry_after_ms"`
		Winner             string
		Version            uint64
	}
}

func read(resp *http.Response) (r refusal) {
	text, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	Expect(json.Unmarshal(text, &r)).To(Succeed(), string(text))
	Expect(r.Error.RetryAfterMs).NotTo(BeNil(), string(text))
	return r
}

const hello = `{"model":"m","stream":%t,"top_p":0.5,"messages":[{"role":"user","content":[{"type":"text","text":"he"},{"type":"text","text":"llo"}]}]}`

func job(lines int) string {
	var b strings.Builder
	for i := range lines {
		fmt.Fprintf(&b, `{"custom_id":"sheet-%d","url":"/v1/chat/completions","body":{"n":%d}}`+"\n", i, i)
	}
	return b.String()
}

// drainJob reads all items as a backend does.
func drainJob(up api.JobUpload) (ledger.JobStatus, bool, error) {
	n := 0
	for {
		if _, err := up.Next(); errors.Is(err, io.EOF) {
			return ledger.JobStatus{Items: n, State: ledger.JobAccepted}, true, nil
		} else if err != nil {
			return ledger.JobStatus{}, false, err
		}
		n++
	}
}
