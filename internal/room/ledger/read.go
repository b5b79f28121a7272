package ledger

import (
	"cmp"
	"slices"
	"time"

	"citronrock.example/citronrock/internal/route/pool"
)

// Parameters of the reading of prompts.
const (
	// readLimit is the time for the prompts before an ask in the queue of its
	// prefill engine. Longer queues would hold decode memory for nothing.
	readLimit = 500 * time.Millisecond
	// decodeSpeed is the speed at which a decode engine reads a prompt, between the steps
	// of its runs, as a share of a prefill engine's. decodeReads is what a decode engine
	// adds to the rate of the prefill engines, as it reads for half of the time at most.
	decodeSpeed = 0.5
	decodeReads = decodeSpeed / 2
	// usualGap stands for the longest pause between events where a route names none.
	usualGap = 300 * time.Millisecond
	// readSpare is the part of a prefill that does not depend on the prompt, with a
	// margin.
	readSpare = 50 * time.Millisecond
)

// readPace is the rate of one prefill engine in tokens a second, the median of
// what daemons measure.
func (l *Ledger) readPace() float64 {
	var paces []float64
	for _, s := range l.sources {
		if s.pace > 0 {
			paces = append(paces, s.pace)
		}
	}
	if len(paces) > 0 {
		slices.Sort(paces)
		l.reads = paces[len(paces)/2]
	}
	return l.reads
}

// isUnread tells whether a run probably waits for its prompt to be read. Reports tell
// it late: they come once a second in a large fleet, and a prompt takes a tenth.
func (e *entry) isUnread(now time.Time) bool {
	return e.Phase == Prefilling && (e.readBy.IsZero() || now.Before(e.readBy))
}

// freeToRead returns the decode engines that may read a prompt themselves. The runs
// beside it pause meanwhile: no longer than may be between two events, and once in
// that time.
func (l *Ledger) freeToRead(now time.Time, a *Request) []string {
	gap := cmp.Or(a.Gap, usualGap)
	if pace := l.readPace(); pace <= 0 || float64(a.Prompt)/(decodeSpeed*pace) > gap.Seconds() {
		return nil
	}
	ids := slices.Clone(l.candidates(now, a, pool.Decode, false))
	return slices.DeleteFunc(ids, func(id string) bool {
		if now.Sub(l.ownReads[id]) < gap {
			return true
		}
		for _, e := range l.runs.decode[id] {
			if e.Prefill == "" && e.Generated == 0 {
				return true
			}
		}
		return false
	})
}

// unread is the number of tokens in the queue of a prefill engine.
func (l *Ledger) unread(now time.Time, engine string) int {
	n := 0
	for _, e := range l.runs.prefill[engine] {
		if e.isUnread(now) {
			n += e.Prompt
		}
	}
	return n
}

// reading is the number of tokens of the prompts that a prefill engine has not read
// by the last reports.
func (l *Ledger) reading(engine string) int {
	n := 0
	for _, e := range l.runs.prefill[engine] {
		if e.Phase == Prefilling {
			n += e.Prompt
		}
	}
	return n
}

// readTime is when a prefill engine that has a number of tokens to read has read
// them, zero when its rate is not known.
func (l *Ledger) readTime(now time.Time, tokens int) time.Time {
	pace := l.readPace()
	if pace <= 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(float64(tokens)/pace*float64(time.Second)) + readSpare)
}
