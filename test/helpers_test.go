package test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/caller"
	"tarragonhollow.example/tarragonhollow/test/fleet"
)

// cancel cancels a job.
func cancel(f *fleet.Fleet, d *fleet.Daemon, name string) error {
	ctx, stop := callTime()
	defer stop()
	_, err := d.Client.CancelJob(ctx, caller.Options{}, name)
	return err
}

// halfUpload sends the first lines of a job and then breaks the connection.
func halfUpload(d *fleet.Daemon, profile, name string) error {
	const line = `{"custom_id":"a","url":"/v1/chat/completions","body":{"model":"ordering","messages":[{"role":"user","content":"x"}]}}` + "\n"
	body := io.MultiReader(strings.NewReader(line), broken{})
	req, err := http.NewRequest(http.MethodPut, d.Client.Base+"/v1/jobs/"+name, body)
	if err != nil {
		return err
	}
	req.Header.Set("Tarragon-Profile", profile)
	resp, err := d.Client.HTTP.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

type broken struct{}

func (broken) Read([]byte) (int, error) { return 0, errors.New("the line dropped") }

// publish publishes a configuration made from the base version.
func publish(d *fleet.Daemon, text string, base uint64) (caller.Config, error) {
	ctx, stop := callTime()
	defer stop()
	return d.Client.PublishConfig(ctx, text, base)
}

// mustPublish publishes a configuration that nobody races.
func mustPublish(d *fleet.Daemon, text string, base uint64) {
	GinkgoHelper()
	published, err := publish(d, text, base)
	Expect(err).NotTo(HaveOccurred())
	Expect(published.Version).To(Equal(base + 1))
}

// callTime bounds one call.
func callTime() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), fleet.Bound)
}
