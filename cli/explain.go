package cli

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"tarragonhollow.example/tarragonhollow/logging"
)

const (
	// maxMatches limits the matching lines that are kept, the first ones read. A
	// request has a few, a job some hundreds.
	maxMatches = 10_000
	// maxLine is the longest line read, in bytes; daemons write shorter ones.
	maxLine = 1 << 20
)

// explainCommand returns `explain`.
func (a *app) explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain ID [FILE]...",
		Short: "Print the log lines of a request, job, item or target from all daemons, in time order",
		Long: "Print every line of the log files (or of standard input) in which a field has the\n" +
			"value ID, in order of time over all daemons.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			s := &logMatches{id: args[0], logged: logging.FormatValue(args[0])}
			if err := readInputs(args[1:], a.In, s.read); err != nil {
				return exitWith(ExitUsage, err)
			}
			if len(s.lines) == 0 {
				return exitWith(ExitFailed, s.notFound())
			}
			return s.print(a.Out)
		},
	}
}

// logMatches collects the log lines that have a field with the value id.
type logMatches struct {
	id string
	// logged is the ID as values of fields are written.
	logged string
	lines  []matchedLine
	// omitted counts the matching lines beyond maxMatches.
	omitted int
	// drops counts the lines that report dropped lines.
	drops int
}

type matchedLine struct {
	at, text string
}

// endRank is 1 for the end of a request, 0 for other lines.
func (l matchedLine) endRank() int {
	if strings.Contains(l.text, " event=request ") {
		return 1
	}
	return 0
}

func (s *logMatches) read(name string, from io.Reader) error {
	lines := bufio.NewScanner(from)
	lines.Buffer(make([]byte, 64<<10), maxLine)
	for lines.Scan() {
		s.add(lines.Text())
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("explain: %s: %w", name, err)
	}
	return nil
}

func (s *logMatches) add(line string) {
	if strings.Contains(line, " event="+logging.EventLinesDropped+" ") {
		s.drops++
	}
	if !hasValue(line, s.logged) {
		return
	}
	if len(s.lines) == maxMatches {
		s.omitted++
		return
	}
	s.lines = append(s.lines, matchedLine{at: timestampOf(line), text: line})
}

func (s *logMatches) notFound() error {
	if s.drops > 0 {
		return fmt.Errorf("explain: no line has a field with the value %q; %d lines report that others were dropped (event=%s)",
			s.id, s.drops, logging.EventLinesDropped)
	}
	return fmt.Errorf("explain: no line has a field with the value %q", s.id)
}

// print writes the lines sorted by time. Lines without a time come first, in the order
// of the input. Of lines of the same millisecond the end of a request is the last one: daemons
// write warnings ahead of other lines.
func (s *logMatches) print(to io.Writer) error {
	slices.SortStableFunc(s.lines, func(x, y matchedLine) int {
		return cmp.Or(strings.Compare(x.at, y.at), cmp.Compare(x.endRank(), y.endRank()))
	})
	for _, l := range s.lines {
		if _, err := fmt.Fprintln(to, printable(l.text)); err != nil {
			return err
		}
	}
	if s.omitted > 0 {
		_, err := fmt.Fprintf(to, "... and %d lines more\n", s.omitted)
		return err
	}
	return nil
}

// hasValue reports whether a field of a logfmt line has the value.
func hasValue(line, value string) bool {
	for rest := line; ; {
		at := strings.Index(rest, "="+value)
		if at < 0 {
			return false
		}
		rest = rest[at+1+len(value):]
		if rest == "" || rest[0] == ' ' {
			return true
		}
	}
}

// timestampOf returns the line's ts field, or "" if there is none. Daemons write it in
// UTC with a fixed width, so that timestamps sort as text.
func timestampOf(line string) string {
	_, after, found := strings.Cut(line, "ts=")
	if !found {
		return ""
	}
	at, _, _ := strings.Cut(after, " ")
	return at
}
