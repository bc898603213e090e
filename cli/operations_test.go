package cli_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// sources returns the source text of the packages that run in a daemon, without tests.
func sources() string {
	var all strings.Builder
	for _, dir := range []string{"api", "daemon", "peer", "logging", "platform", "callerconns"} {
		Expect(filepath.WalkDir(filepath.Join("..", dir), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			text, err := os.ReadFile(path)
			all.Write(text)
			return err
		})).To(Succeed())
	}
	return all.String()
}

// section returns the text of the page from the given title to the next title.
func section(page, title string) string {
	_, rest, found := strings.Cut(page, "\n## "+title+"\n")
	Expect(found).To(BeTrue(), title)
	text, _, _ := strings.Cut(rest, "\n## ")
	return text
}

// firstCells returns the names in backquotes in the first column of a section's table.
func firstCells(text string) (names []string) {
	for _, line := range strings.Split(text, "\n") {
		cells := strings.Split(line, " | ")
		if !strings.HasPrefix(line, "| `") || len(cells) < 2 {
			continue
		}
		for _, m := range regexp.MustCompile("`([a-z_*]+)[`{]").FindAllStringSubmatch(cells[0], -1) {
			names = append(names, m[1])
		}
	}
	return names
}

// Operators look up warnings in docs/OPERATIONS.md, and an alert on a metric that the
// code no longer has never fires. No other test notices either fault, so the page and
// the code are compared here in both directions.
var _ = Describe("The operations page", func() {
	page, err := os.ReadFile(filepath.Join("..", "docs", "OPERATIONS.md"))

	It("documents every logged warning and error, and no event that is not logged", func() {
		Expect(err).NotTo(HaveOccurred())
		source := sources()
		var logged []string
		for _, m := range regexp.MustCompile(`\.(Warn|Error|Info|Debug)\("([a-z_]+)"`).FindAllStringSubmatch(source, -1) {
			logged = append(logged, m[2])
			if m[1] == "Warn" || m[1] == "Error" {
				Expect(string(page)).To(ContainSubstring("`"+m[2]), "an undocumented event")
			}
		}
		events := firstCells(section(string(page), "Log events"))
		Expect(len(events)).To(BeNumerically(">", 40))
		for _, event := range events {
			if !strings.HasSuffix(event, "*") && !strings.HasPrefix(event, "member_") {
				Expect(logged).To(ContainElement(event))
			}
		}
	})

	It("names only metrics that exist in the daemon", func() {
		Expect(err).NotTo(HaveOccurred())
		source := sources()
		metrics := firstCells(section(string(page), "Metrics worth an alert"))
		Expect(len(metrics)).To(BeNumerically(">", 30))
		for _, m := range regexp.MustCompile("`tarragonhollow_([a-z_]+)`").FindAllStringSubmatch(string(page), -1) {
			metrics = append(metrics, m[1])
		}
		for _, metric := range metrics {
			Expect(source).To(MatchRegexp("tarragonhollow_" + metric + "\\b"))
		}
	})
})
