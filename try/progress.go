package try

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/mattn/go-isatty"
)

// progress prints the progress of the run. On a terminal the counters are overwritten on
// one line; otherwise every message is a line.
type progress struct {
	out      io.Writer
	terminal bool
	started  time.Time
	lastTick time.Time
	lineOpen bool
}

// minTickInterval is the minimum time between lines of counters if the output is not a
// terminal.
const minTickInterval = 2 * time.Second

func newProgress(out io.Writer) *progress {
	file, ok := out.(*os.File)
	return &progress{
		out:      out,
		terminal: ok && isatty.IsTerminal(file.Fd()),
		started:  time.Now(),
	}
}

// step prints one event as a line with the time since the start.
func (p *progress) step(format string, args ...any) {
	p.end()
	fmt.Fprintf(p.out, "%6.1fs  %s\n", time.Since(p.started).Seconds(), fmt.Sprintf(format, args...))
}

// tick prints the counters.
func (p *progress) tick(text string) {
	if p.terminal {
		fmt.Fprintf(p.out, "\r\033[K%6.1fs  %s", time.Since(p.started).Seconds(), text)
		p.lineOpen = true
		return
	}
	if time.Since(p.lastTick) >= minTickInterval {
		p.lastTick = time.Now()
		p.step("%s", text)
	}
}

// end ends the line of counters that is overwritten on a terminal.
func (p *progress) end() {
	if p.lineOpen {
		fmt.Fprintln(p.out)
		p.lineOpen = false
	}
}
