package fakelog_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/extern"
	"tarragonhollow.example/tarragonhollow/extern/fakelog"
)

func TestFakelog(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fakelog")
}

var _ = Describe("The fake log", func() {
	ctx := context.Background()

	It("reports each fault with the error type of the real client", func() {
		log := fakelog.New(fakelog.Options{MaxRecordBytes: 4})
		other := log.NewClient()
		_, err := log.Append(ctx, "s", []byte("12345"))
		Expect(extern.IsTooLarge(err)).To(BeTrue())

		log.LoseAnswers(1)
		_, err = log.Append(ctx, "s", []byte("lost"))
		Expect(extern.IsUnknown(err)).To(BeTrue())
		Expect(log.Records("s")).To(HaveLen(1))

		log.LoseAppends(1)
		_, err = log.Append(ctx, "s", []byte("none"))
		Expect(extern.IsUnknown(err)).To(BeTrue())
		Expect(log.Records("s")).To(HaveLen(1))

		log.Limit(1, time.Second)
		_, err = log.Append(ctx, "s", []byte("x"))
		retryAfter, limited := extern.IsLimited(err)
		Expect(limited).To(BeTrue())
		Expect(retryAfter).To(Equal(time.Second))

		other.SetCut(true)
		_, err = other.Append(ctx, "s", []byte("x"))
		Expect(extern.IsUnavailable(err)).To(BeTrue())
		offset, err := log.Append(ctx, "s", []byte("x"))
		Expect(err).NotTo(HaveOccurred())
		Expect(offset).To(Equal(int64(1)))
	})

	// A writer abandons an append after its timeout, and the slow log executes it
	// afterwards. The record appears after records that others appended meanwhile, so
	// a record that is not there yet may still be appended.
	It("executes an abandoned append at release", func() {
		log := fakelog.New(fakelog.Options{})
		release := log.HoldAppends()
		short, cancel := context.WithCancel(ctx)
		result := make(chan error)
		go func() {
			_, err := log.Append(short, "s", []byte("late"))
			result <- err
		}()
		Eventually(log.Held).Should(Equal(1))
		cancel()
		Expect(extern.IsUnknown(<-result)).To(BeTrue())
		Expect(log.Records("s")).To(BeEmpty())
		release()
		Eventually(func() []extern.Record { return log.Records("s") }).Should(HaveLen(1))
	})

	It("wakes a long poll by an append", func() {
		log := fakelog.New(fakelog.Options{})
		pages := make(chan extern.Page)
		go func() {
			page, _ := log.Read(ctx, "s", 0, 100, time.Minute)
			pages <- page
		}()
		Eventually(log.Waiting).Should(Equal(1))
		_, err := log.Append(ctx, "s", []byte("x"))
		Expect(err).NotTo(HaveOccurred())
		Eventually(pages).Should(Receive(HaveField("Records", HaveLen(1))))
	})
})
