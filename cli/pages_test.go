package cli_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/api"
	"tarragonhollow.example/tarragonhollow/core/outcome"
)

// Callers' programs branch on the codes of docs/API.md. A code that is missing there, or
// listed under a wrong status, would first be noticed in an outage.
var _ = It("lists every refusal code under its status in docs/API.md", func() {
	page, err := os.ReadFile(filepath.Join("..", "docs", "API.md"))
	Expect(err).NotTo(HaveOccurred())
	source, err := os.ReadFile(filepath.Join("..", "core", "outcome", "outcome.go"))
	Expect(err).NotTo(HaveOccurred())

	statuses := map[string][]int{}
	for _, row := range regexp.MustCompile(`(?m)^\| ([\d, ]+) \| (.+) \|$`).FindAllStringSubmatch(string(page), -1) {
		for _, code := range regexp.MustCompile("`([a-z_]+)`").FindAllStringSubmatch(row[2], -1) {
			for _, status := range strings.Split(row[1], ", ") {
				number, err := strconv.Atoi(status)
				Expect(err).NotTo(HaveOccurred())
				statuses[code[1]] = append(statuses[code[1]], number)
			}
		}
	}
	codes := regexp.MustCompile(`Code = "([a-z_]+)"`).FindAllStringSubmatch(string(source), -1)
	Expect(len(codes)).To(BeNumerically(">", 20))
	for _, code := range append(codes, []string{"", "method_not_allowed"}, []string{"", "admin_disabled"}) {
		Expect(statuses[code[1]]).To(ContainElement(api.Status(outcome.Code(code[1]))), code[1])
	}
})
