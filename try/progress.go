package try

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/mattn/go-isatty"
)

// progress tells how the run goes: on a terminal the counters stay on one line
// that is written over, in a pipe every message is a line.
type progress struct {
	out      io.Writer
	terminal bool
	started  time.Time
	lastTick time.Time
	open     bool
}

// tickEvery is the pause between counter lines in a pipe.
const tickEvery = 2 * time.Second

func newProgress(out io.Writer) *progress {
	file, ok := out.(*os.File)
	return &progress{
		out:      out,
		terminal: ok && isatty.IsTerminal(file.Fd()),
		started:  time.Now(),
	}
}

// step tells one event.
func (p *progress) step(format string, args ...any) {
	p.end()
	fmt.Fprintf(p.out, "%6.1fs  %s\n", time.Since(p.started).Seconds(), fmt.Sprintf(format, args...))
}

// tick shows the counters.
func (p *progress) tick(text string) {
	if p.terminal {
		fmt.Fprintf(p.out, "\r\033[K%6.1fs  %s", time.Since(p.started).Seconds(), text)
		p.open = true
		return
	}
	if time.Since(p.lastTick) >= tickEvery {
		p.lastTick = time.Now()
		p.step("%s", text)
	}
}

// end closes the line that is written over.
func (p *progress) end() {
	if p.open {
		fmt.Fprintln(p.out)
		p.open = false
	}
}
