package cell

// maxSafeFingerprints bounds the set of safe fingerprints.
const maxSafeFingerprints = 1024

// safeFingerprints holds the fingerprints of requests that ran to their end while
// other requests with the same fingerprint were in flight. Such a request does not
// crash every engine that runs it, so the engines of the others are not limited.
type safeFingerprints struct {
	fingerprints map[uint64]struct{}
	ring         []uint64
	next         int
}

// add adds a fingerprint and evicts the oldest one when the set is full.
func (s *safeFingerprints) add(fingerprint uint64) {
	if _, ok := s.fingerprints[fingerprint]; ok {
		return
	}
	if s.fingerprints == nil {
		s.fingerprints = map[uint64]struct{}{}
	}
	s.fingerprints[fingerprint] = struct{}{}
	if len(s.ring) < maxSafeFingerprints {
		s.ring = append(s.ring, fingerprint)
		return
	}
	delete(s.fingerprints, s.ring[s.next])
	s.ring[s.next] = fingerprint
	s.next = (s.next + 1) % maxSafeFingerprints
}

func (s *safeFingerprints) has(fingerprint uint64) bool {
	_, ok := s.fingerprints[fingerprint]
	return ok
}

// remove deletes a fingerprint whose request has crashed an engine after all.
func (s *safeFingerprints) remove(fingerprint uint64) { delete(s.fingerprints, fingerprint) }
