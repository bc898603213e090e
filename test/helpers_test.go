package test

import (
	"context"

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
