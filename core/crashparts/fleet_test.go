package crashparts_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"tarragonhollow.example/tarragonhollow/core/crashparts"
)

// simulated is a fleet in which reports of crashes and of answers take a while to reach the other
// daemons. Time passes in steps of stepMs.
type simulated struct {
	random  *rand.Rand
	now     int64
	hosts   []*crashparts.Evidence
	limited []map[string]bool
	// downUntil and runs are by target, reports are under way.
	downUntil []int64
	runs      [][]*simulatedRun
	starts    int
	reports   []simulatedReport
	bad       map[string]bool
	// crashesOf counts the crashes under each bad part, lateOf the requests with it that reached a
	// target later than contactMs after the fifth.
	crashesOf, lateOf map[string]int
	fifthAt           map[string]int64
	sound, began      int
}

type simulatedRun struct {
	host     int
	parts    []string
	beginsAt int64
	endsAt   int64
	began    bool
}

type simulatedReport struct {
	at    int64
	to    int
	crash crashparts.Crash
}

const (
	stepMs, contactMs, downMs       = 10, 3000, 3000
	calmMs, settledMs, endMs        = 10_000, 20_000, 60_000
	simulatedHosts, simulatedTarget = 13, 9
	slotsPerTarget                  = 8
	simulatedSeeds                  = 10
)

func newSimulated(seed uint64, bad ...string) *simulated {
	s := &simulated{random: rand.New(rand.NewPCG(seed, 0)), downUntil: make([]int64, simulatedTarget), runs: make([][]*simulatedRun, simulatedTarget),
		bad: map[string]bool{}, crashesOf: map[string]int{}, lateOf: map[string]int{}, fifthAt: map[string]int64{}}
	for range simulatedHosts {
		s.hosts, s.limited = append(s.hosts, crashparts.New()), append(s.limited, map[string]bool{})
	}
	for _, part := range bad {
		s.bad[part] = true
	}
	return s
}

// badPart returns the part that crashes targets by now, "" for none.
func (s *simulated) badPart(parts []string) string {
	for _, part := range parts {
		if s.bad[part] && s.now > calmMs {
			return part
		}
	}
	return ""
}

// arrive handles a request at a random host.
func (s *simulated) arrive(parts []string) {
	host, bad := s.random.IntN(len(s.hosts)), s.badPart(parts)
	if bad == "" {
		s.sound++
	}
	d := s.hosts[host].Decide(s.now, parts)
	switch {
	case d.Verdict >= crashparts.Pending && !s.hosts[host].Probe(s.now, d.Part, time.Duration(host)*500*time.Millisecond):
		return
	case d.Verdict == crashparts.Limited && s.limited[host][d.Part]:
		return
	}
	target := s.random.IntN(simulatedTarget)
	if s.now < s.downUntil[target] || len(s.runs[target]) >= slotsPerTarget {
		return
	}
	if d.Verdict >= crashparts.Limited {
		s.limited[host][d.Part] = true
	}
	if bad != "" && s.fifthAt[bad] > 0 && s.now > s.fifthAt[bad]+contactMs {
		s.lateOf[bad]++
	}
	begins := s.now + 60 + s.random.Int64N(60)
	s.runs[target] = append(s.runs[target], &simulatedRun{host: host, parts: parts, beginsAt: begins, endsAt: begins + 800})
}

func (s *simulated) step() {
	s.now += stepMs
	var later []simulatedReport
	for _, r := range s.reports {
		if r.at > s.now {
			later = append(later, r)
			continue
		}
		s.hosts[r.to].Apply(s.now, r.crash)
	}
	s.reports = later
	for target := range s.runs {
		s.stepTarget(target)
	}
}

func (s *simulated) stepTarget(target int) {
	var running []*simulatedRun
	for _, r := range s.runs[target] {
		switch {
		case !r.began && s.now >= r.beginsAt:
			if bad := s.badPart(r.parts); bad != "" {
				s.crash(target, bad)
				return
			}
			r.began = true
			s.began++
			s.free(r)
		case r.began && s.now >= r.beginsAt+250:
			s.report(r.host, s.hosts[r.host].Began(r.parts, r.beginsAt)...)
		}
		if s.now < r.endsAt {
			running = append(running, r)
		}
	}
	s.runs[target] = running
}

// crash ends a target, with all that runs there. bad is the cause, "" for another one.
func (s *simulated) crash(target int, bad string) {
	s.starts++
	byHost := map[int]*crashparts.Crash{}
	for _, r := range s.runs[target] {
		if r.began && s.now >= r.beginsAt+250 {
			continue
		}
		if byHost[r.host] == nil {
			byHost[r.host] = &crashparts.Crash{Target: fmt.Sprint("start", s.starts), AtMs: s.now}
		}
		byHost[r.host].Parts = append(byHost[r.host].Parts, r.parts...)
		s.free(r)
	}
	for host, c := range byHost {
		s.hosts[host].Apply(s.now, *c)
		s.report(host, *c)
	}
	s.runs[target], s.downUntil[target] = nil, s.now+downMs+s.random.Int64N(2000)
	if bad == "" {
		return
	}
	if s.crashesOf[bad]++; s.crashesOf[bad] == 5 {
		s.fifthAt[bad] = s.now
	}
}

func (s *simulated) free(r *simulatedRun) {
	for _, part := range r.parts {
		delete(s.limited[r.host], part)
	}
}

// report sends crashes to the other hosts.
func (s *simulated) report(from int, crashes ...crashparts.Crash) {
	for _, c := range crashes {
		for to := range s.hosts {
			if to != from {
				s.reports = append(s.reports, simulatedReport{s.now + 5 + s.random.Int64N(60), to, c})
			}
		}
	}
}

// run plays a load of sound requests and of requests with bad parts, each a second, and unrelated
// crashes at the given times. It returns the share of sound requests that began in the calm
// seconds, and from settledMs on.
func (s *simulated) run(bad []string, firstParts int, unrelated ...int64) (calm, later float64) {
	soundRequest := func() []string {
		return []string{fmt.Sprint("first", s.random.IntN(firstParts)), fmt.Sprint("second", s.random.IntN(250))}
	}
	for s.now < endMs {
		s.step()
		switch s.now {
		case calmMs:
			calm = float64(s.began) / float64(s.sound)
		case settledMs:
			s.sound, s.began = 0, 0
		}
		if s.random.Float64() < 0.35 {
			s.arrive(soundRequest())
		}
		if s.now > calmMs && s.random.Float64() < 0.05 {
			request := soundRequest()
			s.arrive([]string{request[0], bad[s.random.IntN(len(bad))]})
		}
		for _, at := range unrelated {
			if s.now == at {
				for target := range simulatedTarget / 2 {
					s.crash(target, "")
				}
			}
		}
	}
	return calm, float64(s.began) / float64(s.sound)
}

// Guards against a part that goes on to crash targets, and against a verdict that keeps sound
// requests from running: one such part and two, a part with which answers began before, and one
// that stands first, beside crashes with other causes.
func TestFleetLosesFewTargetsAndServesTheRest(t *testing.T) {
	for _, firstParts := range []int{1, 40} {
		for _, bad := range [][]string{{"bad"}, {"bad1", "bad2"}, {"second7"}, {"first1"}} {
			crashes := 0
			for seed := range uint64(simulatedSeeds) {
				name := fmt.Sprintf("seed %d, %d first parts, %v", seed, firstParts, bad)
				s := newSimulated(seed, bad...)
				calm, later := s.run(bad, firstParts, 10_200, 30_000, 45_000)
				for _, part := range bad {
					crashes += s.crashesOf[part]
					if s.lateOf[part] > 3 {
						t.Errorf("%s: %d requests with %s were sent after the fifth of %d crashes", name, s.lateOf[part], part, s.crashesOf[part])
					}
				}
				if later < calm/2 {
					t.Errorf("%s: %.2f of the sound requests began, %.2f before", name, later, calm)
				}
			}
			t.Logf("%d first parts, %v: %.1f crashes", firstParts, bad, float64(crashes)/float64(simulatedSeeds*len(bad)))
		}
	}
}
