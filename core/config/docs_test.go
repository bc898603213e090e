package config_test

import (
	"os"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/core/config"
)

// knownKeys returns the keys of a section, as listed in the error for an unknown key.
func knownKeys(header string) []string {
	_, err := config.Parse(header + "\nunknown_key = 1\n")
	_, list, found := strings.Cut(err.Error(), "unknown key; allowed: ")
	Expect(found).To(BeTrue(), "%v", err)
	list, _, _ = strings.Cut(list, "\n")
	return strings.Split(list, ", ")
}

var _ = DescribeTable("The documentation states every key of", func(section string) {
	text, err := os.ReadFile("../../docs/SETTINGS.md")
	Expect(err).NotTo(HaveOccurred())
	_, part, found := strings.Cut(string(text), "\n## Configuration\n")
	Expect(found).To(BeTrue())
	_, part, found = strings.Cut(part, "\n### "+section+"\n")
	Expect(found).To(BeTrue())
	part, _, _ = strings.Cut(part, "\n## ")
	part, _, _ = strings.Cut(part, "\n### ")
	for _, key := range knownKeys(section) {
		Expect(part).To(ContainSubstring("\n| `" + key + "` | "))
	}
},
	Entry(nil, "[profile NAME]"),
	Entry(nil, "[target-group NAME]"),
	Entry(nil, "[model NAME]"),
	Entry(nil, "[limits]"),
)
