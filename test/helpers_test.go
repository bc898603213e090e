package test

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/caller"
	"tarragonhollow.example/tarragonhollow/test/fleet"
)

// cancelJob cancels a job at a daemon.
func cancelJob(f *fleet.Fleet, d *fleet.Daemon, name string) error {
	ctx, stop := callContext()
	defer stop()
	_, err := d.Client.CancelJob(ctx, caller.Options{}, name)
	return err
}

// publish publishes a configuration with the given base version.
func publish(d *fleet.Daemon, text string, base uint64) (caller.Config, error) {
	ctx, stop := callContext()
	defer stop()
	return d.Client.PublishConfig(ctx, text, base)
}

// mustPublish publishes a configuration and expects success; nothing else may publish
// at the same time.
func mustPublish(d *fleet.Daemon, text string, base uint64) {
	GinkgoHelper()
	published, err := publish(d, text, base)
	Expect(err).NotTo(HaveOccurred())
	Expect(published.Version).To(Equal(base + 1))
}

// callContext returns the context of one call, with a timeout.
func callContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), fleet.WaitTimeout)
}
