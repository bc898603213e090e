package accounts_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/core/accounts"
	"tarragonhollow.example/tarragonhollow/core/outcome"
)

func TestAccounts(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "accounts")
}

func entry(name string, keys ...string) accounts.Entry {
	return accounts.Entry{Account: accounts.Account{Name: name}, Keys: keys}
}

var _ = Describe("Accounts", func() {
	set, _ := accounts.NewSet([]accounts.Entry{entry("hotel", "k1", "k2"), entry("guesthouse", "k3"), entry("closed")})

	DescribeTable("are found by a key",
		func(name string, credentials ...string) {
			account, refusal := set.Identify(credentials, false, 0)
			if name == "" {
				Expect(account).To(BeNil())
				Expect(refusal.Code).To(Equal(outcome.Unauthorized))
				Expect(refusal.Run).To(Equal(outcome.NotRun))
				Expect(refusal.RetryAfterMs).To(BeZero())
				return
			}
			Expect(refusal).To(BeNil())
			Expect(account.Name).To(Equal(name))
		},
		Entry("one of several", "hotel", "Bearer k2"),
		Entry("another account's", "guesthouse", "Bearer k3"),
		Entry("the scheme in mixed case", "hotel", "bEARER k1"),
		Entry("spaces around it", "hotel", "Bearer  k1 "),
		Entry("unknown", "", "Bearer k9"),
		Entry("none", ""),
		Entry("empty", "", "Bearer "),
		Entry("nothing but the scheme", "", "Bearer"),
		Entry("another scheme", "", "Basic k1"),
		Entry("the key alone", "", "k1"),
		Entry("two at once", "", "Bearer k1", "Bearer k1"),
		Entry("only the beginning of one", "", "Bearer k"),
	)

	It("are optional for a public route, but identified", func() {
		account, refusal := set.Identify(nil, true, time.Hour)
		Expect(account).To(BeNil())
		Expect(refusal).To(BeNil())
		account, refusal = set.Identify([]string{"Bearer k3"}, true, 0)
		Expect(refusal).To(BeNil())
		Expect(account.Name).To(Equal("guesthouse"))
	})

	It("are not required where none are configured", func() {
		var none *accounts.Set
		account, refusal := none.Identify([]string{"Bearer k1"}, false, time.Hour)
		Expect(account).To(BeNil())
		Expect(refusal).To(BeNil())
	})

	// A daemon has lost its configuration source. A guesthouse gets a new key and uses it
	// there; every other daemon knows the key. The guesthouse must not be told to give
	// up, while known keys continue to work and requests without a key are refused at
	// once.
	It("do not refuse an unknown key permanently while the configuration may be outdated", func() {
		_, refusal := set.Identify([]string{"Bearer k9"}, false, 10*time.Second)
		Expect(refusal.Code).To(Equal(outcome.NotReady))
		Expect(refusal.Run).To(Equal(outcome.NotRun))
		Expect(refusal.RetryAfterMs).To(BeNumerically(">", 0))
		account, refusal := set.Identify([]string{"Bearer k1"}, false, 10*time.Second)
		Expect(refusal).To(BeNil())
		Expect(account.Name).To(Equal("hotel"))
		_, refusal = set.Identify(nil, false, 10*time.Second)
		Expect(refusal.Code).To(Equal(outcome.Unauthorized))
	})

	It("never reveal a key", func() {
		for _, credentials := range []string{"Bearer secret", "Basic secret", "secret"} {
			for _, age := range []time.Duration{0, time.Hour} {
				_, refusal := set.Identify([]string{credentials}, false, age)
				Expect(refusal.Error()).NotTo(ContainSubstring("secret"))
			}
		}
	})

	It("keep a key with the account that is listed first, and report faulty entries", func() {
		set, faulty := accounts.NewSet([]accounts.Entry{
			entry("a", "k"), entry("b", "k", "own"), entry("", "nobody"), entry("a", "again"), entry("c", ""), entry("d", "x", "x"),
		})
		Expect(faulty).To(Equal([]string{"b", "", "a", "c"}))
		account, _ := set.Identify([]string{"Bearer k"}, false, 0)
		Expect(account.Name).To(Equal("a"))
		account, _ = set.Identify([]string{"Bearer own"}, false, 0)
		Expect(account.Name).To(Equal("b"))
		for _, key := range []string{"nobody", "again"} {
			_, refusal := set.Identify([]string{"Bearer " + key}, false, 0)
			Expect(refusal.Code).To(Equal(outcome.Unauthorized))
		}
		Expect(set.ByName("d")).NotTo(BeNil())
		Expect(set.ByName("e")).To(BeNil())
	})
})

// FuzzIdentify passes arbitrary credentials. None may panic, or find an account whose
// full key they do not hold.
func FuzzIdentify(f *testing.F) {
	set, _ := accounts.NewSet([]accounts.Entry{entry("hotel", "key-1")})
	f.Add("Bearer key-1")
	f.Add("bearer\tkey-1")
	f.Add("Bearer key-1\x00")
	f.Fuzz(func(t *testing.T, text string) {
		account, refusal := set.Identify([]string{text}, false, 0)
		if (account == nil) == (refusal == nil) {
			t.Fatalf("account %v, refusal %v", account, refusal)
		}
		if account != nil && !strings.HasSuffix(strings.TrimSpace(text), " key-1") {
			t.Fatalf("%q found an account", text)
		}
	})
}

// BenchmarkNewSet builds the accounts of a configuration: 18,000 with two keys each.
func BenchmarkNewSet(b *testing.B) {
	var list []accounts.Entry
	for i := range 18_000 {
		list = append(list, entry(fmt.Sprint("account-", i), fmt.Sprint("key-a-", i), fmt.Sprint("key-b-", i)))
	}
	for b.Loop() {
		accounts.NewSet(list)
	}
}

// BenchmarkIdentify finds the account of one request.
func BenchmarkIdentify(b *testing.B) {
	set, _ := accounts.NewSet([]accounts.Entry{entry("hotel", "key-1")})
	credentials := []string{"Bearer key-1"}
	for b.Loop() {
		if _, refusal := set.Identify(credentials, false, 0); refusal != nil {
			b.Fatal(refusal)
		}
	}
}
