package cell

// safeLimit bounds the contents that are known to have survived a run.
const safeLimit = 1024

// safe holds contents whose run has ended well while others of the same content
// were under way. Such a request is none that crashes each engine that runs it.
type safe struct {
	prints map[uint64]struct{}
	ring   []uint64
	next   int
}

// add notes a content, in place of the oldest one when there are too many.
func (s *safe) add(print uint64) {
	if _, ok := s.prints[print]; ok {
		return
	}
	if s.prints == nil {
		s.prints = map[uint64]struct{}{}
	}
	s.prints[print] = struct{}{}
	if len(s.ring) < safeLimit {
		s.ring = append(s.ring, print)
		return
	}
	delete(s.prints, s.ring[s.next])
	s.ring[s.next] = print
	s.next = (s.next + 1) % safeLimit
}

func (s *safe) has(print uint64) bool {
	_, ok := s.prints[print]
	return ok
}

// drop forgets a content that has crashed an engine after all.
func (s *safe) drop(print uint64) { delete(s.prints, print) }
