package input

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/test/fleet"
)

// uploadItems is the number of items before an upload's fault, enough to append several
// chunks of the upload to the log first.
const uploadItems = 4000

// jobLines returns n job lines with distinct prompts.
func jobLines(n int, text string) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, `{"custom_id":"i-%d","url":"/v1/chat/completions","body":{"model":"ordering","max_tokens":4,"messages":[{"role":"user","content":"%s %d"}]}}`+"\n", i, text, i)
	}
	return b.String()
}

// droppedConnection ends a body with an error, which makes the client close its
// connection.
type droppedConnection struct{}

func (droppedConnection) Read([]byte) (int, error) { return 0, errors.New("connection dropped") }

var _ = Describe("A partially uploaded job", func() {
	// An upload fails at its end, after much of it was appended to the log, because of
	// a bad last line or a dropped connection. No job may exist and nothing may run,
	// and the name must remain free for the complete list.
	DescribeTable("does not exist, runs nothing and leaves its name free",
		func(tail func() io.Reader, status int) {
			f := fleet.Start(fleet.Options{})
			job := fleet.NewJob("prep", 30, -1)
			owner := f.Owner(job.Name)
			others := f.Others(owner)
			for i, d := range []*fleet.Daemon{owner, others[0]} {
				resp, err := send(d, "PUT", "/v1/jobs/prep", io.MultiReader(strings.NewReader(jobLines(uploadItems, "half")), tail()),
					"Tarragon-Profile", f.Shape.BatchProfile)
				if status == 0 {
					Expect(err).To(HaveOccurred(), "upload %d", i)
					continue
				}
				Expect(err).NotTo(HaveOccurred())
				got := readRefusal(resp)
				Expect(resp.StatusCode).To(Equal(status), "%+v", got)
				Expect(got.Run).To(Equal(outcome.NotRun))
				Expect(got.Message).To(ContainSubstring("line 4001"))
			}
			for _, d := range f.Daemons {
				for _, path := range []string{"", "/results", "/items/i-0"} {
					resp, err := send(d, "GET", "/v1/jobs/prep"+path, nil)
					Expect(err).NotTo(HaveOccurred())
					Expect(readRefusal(resp).Code).To(Equal(outcome.NotFound), path)
				}
			}
			Expect(f.Put(others[1], job)).To(BeTrue())
			for _, d := range f.Daemons {
				f.WaitJob(d, job)
			}
			f.CheckJob(job)
			Expect(targetCalls(f)).To(Equal(len(job.Texts)), "calls at targets")
		},
		Entry("with a bad last line", func() io.Reader { return strings.NewReader("{]") }, 400),
		Entry("with a last line that is too long", func() io.Reader { return strings.NewReader(strings.Repeat("x", 300<<10)) }, 413),
		Entry("with a repeated custom_id at its end", func() io.Reader { return strings.NewReader(jobLines(1, "half")) }, 400),
		Entry("whose connection drops", func() io.Reader { return droppedConnection{} }, 0),
	)
})

var _ = Describe("A partially sent order", func() {
	// A caller's connection drops in the middle of an order, and the caller sends it
	// again with the same key: it must run once.
	It("has not run, and its key is free for the complete order", func() {
		f := fleet.Start(fleet.Options{Daemons: 2})
		path := "/v1/services/" + f.Shape.Service + f.Shape.ActionPath
		for _, d := range f.Daemons {
			conn, err := net.Dial("tcp", strings.TrimPrefix(d.Client.Base, "http://"))
			Expect(err).NotTo(HaveOccurred())
			_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a\r\nTarragon-Profile: %s\r\nIdempotency-Key: tray\r\nContent-Length: 100\r\n\r\n{\"order\":",
				path, f.Shape.ActionProfile)
			Expect(err).NotTo(HaveOccurred())
			Expect(conn.(*net.TCPConn).CloseWrite()).To(Succeed())
			text, err := io.ReadAll(conn)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(text)).To(HavePrefix("HTTP/1.1 400"))
			Expect(string(text)).To(ContainSubstring(`"run":"not_run"`))
			Expect(conn.Close()).To(Succeed())
		}
		for _, d := range f.Daemons {
			resp, err := send(d, http.MethodGet, "/v1/requests/tray", nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(readRefusal(resp).Code).To(Equal(outcome.NotFound))
		}
		Expect(targetCalls(f)).To(BeZero())
		first, err := f.Order(f.Daemons[0], "tray")
		Expect(err).NotTo(HaveOccurred())
		Expect(f.Order(f.Daemons[1], "tray")).To(Equal(first))
		Expect(f.Executions("tray")).To(Equal(1))
	})
})
