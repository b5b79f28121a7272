package grace

import (
	"slices"
	"sync"
	"time"
)

// recentAnswers is the number of answers of a service that count as recent.
const recentAnswers = 64

// Recent keeps how long the recent answers of each service took. The zero value is
// ready to use, and it is safe for concurrent use.
type Recent struct {
	mu       sync.Mutex
	services map[string]*took
}

// took holds the most recent durations, in any order.
type took struct {
	durations []time.Duration
	next      int
}

// Add adds the duration of an answer.
func (r *Recent) Add(service string, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.services == nil {
		r.services = map[string]*took{}
	}
	s := r.services[service]
	if s == nil {
		s = &took{}
		r.services[service] = s
	}
	if len(s.durations) < recentAnswers {
		s.durations = append(s.durations, d)
		return
	}
	s.durations[s.next] = d
	s.next = (s.next + 1) % recentAnswers
}

// Longest returns the longest recent duration, zero if there is none.
func (r *Recent) Longest(service string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.services[service]; s != nil {
		return slices.Max(s.durations)
	}
	return 0
}
