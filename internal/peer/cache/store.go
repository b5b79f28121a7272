// Package cache holds the document and the instance list in force with a few
// earlier ones, answers the fetches of peers from them, and reads the answers
// of peers.
package cache

import (
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"citronrock.example/citronrock/internal/peer/patch"
	"citronrock.example/citronrock/internal/wire/peer"
	"citronrock.example/citronrock/internal/wire/platfm"
)

// keep is the number of earlier documents and lists to which changes are sent.
// At 10,000 changes a day a daemon that lags by some seconds lags by one or
// two versions. More would cost a megabyte each.
const keep = 3

// MaxDocument bounds a document in bytes.
const MaxDocument = 1 << 20

type document struct {
	version uint64
	body    []byte
	sum     uint64
}

type list struct {
	revision  uint64
	instances []*platfm.Instance
}

// Cache is safe for concurrent use.
type Cache struct {
	mu        sync.Mutex
	documents []document
	lists     []list
	// patches are the changes to the newest document by older version.
	patches map[uint64][]*peer.Patch
	// got is the last change received, which is passed on as it came.
	got received
}

// received is a change that made a document.
type received struct {
	above, version uint64
	pieces         []*peer.Patch
}

// New returns an empty store.
func New() *Cache { return &Cache{patches: map[uint64][]*peer.Patch{}} }

// PutDocument makes a document the newest one. The body must not change.
func (s *Cache) PutDocument(version uint64, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.documents = append(s.documents, document{version: version, body: body, sum: xxhash.Sum64(body)})
	if n := len(s.documents) - keep - 1; n > 0 {
		s.documents = append([]document(nil), s.documents[n:]...)
	}
	clear(s.patches)
	if s.got.version == version {
		s.patches[s.got.above] = s.got.pieces
	}
}

// PutList makes a list the newest one. The instances must not change.
func (s *Cache) PutList(revision uint64, instances []*platfm.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists = append(s.lists, list{revision: revision, instances: instances})
	if n := len(s.lists) - keep - 1; n > 0 {
		s.lists = append([]list(nil), s.lists[n:]...)
	}
}

// AnswerFetch answers a fetch, without members.
func (s *Cache) AnswerFetch(r *peer.FetchRequest) *peer.FetchReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := new(peer.FetchReply)
	s.replyDocument(r.Above, out)
	s.replyList(r.Revision, out)
	return out
}

func (s *Cache) replyDocument(above uint64, out *peer.FetchReply) {
	if len(s.documents) == 0 {
		return
	}
	newest := s.documents[len(s.documents)-1]
	out.Version = newest.version
	if newest.version <= above {
		return
	}
	out.Sum = newest.sum
	for _, d := range s.documents {
		if d.version == above {
			out.Patch = s.patch(d, newest)
			return
		}
	}
	out.Body = newest.body
}

func (s *Cache) patch(older, newer document) []*peer.Patch {
	p, ok := s.patches[older.version]
	if !ok {
		p = patch.Diff(older.body, newer.body)
		s.patches[older.version] = p
	}
	return p
}

func (s *Cache) replyList(above uint64, out *peer.FetchReply) {
	if len(s.lists) == 0 {
		return
	}
	newest := s.lists[len(s.lists)-1]
	out.Revision = newest.revision
	if newest.revision <= above {
		return
	}
	for _, l := range s.lists {
		if l.revision == above {
			out.Base = above
			out.Instances, out.Gone = change(l.instances, newest.instances)
			return
		}
	}
	out.Instances = newest.instances
}

// change returns the new and changed instances and the names of those gone.
func change(older, newer []*platfm.Instance) (set []*platfm.Instance, gone []string) {
	before := make(map[string]*platfm.Instance, len(older))
	for _, i := range older {
		before[i.Name] = i
	}
	for _, i := range newer {
		if b := before[i.Name]; b == nil || !proto.Equal(b, i) {
			set = append(set, i)
		}
		delete(before, i.Name)
	}
	for _, i := range older {
		if before[i.Name] != nil {
			gone = append(gone, i.Name)
		}
	}
	return set, gone
}

// DecodeDocument returns the body in a reply of a peer, nil when it has none. above
// is the version that was asked for.
func (s *Cache) DecodeDocument(above uint64, r *peer.FetchReply) ([]byte, error) {
	if r.Version <= above {
		return nil, nil
	}
	body := r.Body
	if len(r.Patch) > 0 {
		var err error
		if body, err = s.apply(above, r.Patch); err != nil {
			return nil, err
		}
	}
	if len(body) > MaxDocument {
		return nil, eris.Errorf("document %d of a peer has %d bytes, more than %d", r.Version, len(body), MaxDocument)
	}
	if xxhash.Sum64(body) != r.Sum {
		return nil, eris.Errorf("document %d of a peer does not have the checksum that it states", r.Version)
	}
	if len(r.Patch) > 0 {
		s.mu.Lock()
		s.got = received{above: above, version: r.Version, pieces: r.Patch}
		s.mu.Unlock()
	}
	return body, nil
}

func (s *Cache) apply(above uint64, pieces []*peer.Patch) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.documents {
		if d.version == above {
			return patch.Apply(d.body, pieces, MaxDocument)
		}
	}
	return nil, eris.Errorf("document %d, which a peer's patch changes, is no longer there", above)
}

// DecodeList returns the list in a reply of a peer, nil when it has none.
func (s *Cache) DecodeList(above uint64, r *peer.FetchReply) ([]*platfm.Instance, error) {
	if r.Revision <= above {
		return nil, nil
	}
	if r.Base == 0 {
		return r.Instances, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.lists {
		if l.revision == r.Base {
			return merge(l.instances, r.Instances, r.Gone), nil
		}
	}
	return nil, eris.Errorf("list %d, which a peer's change refers to, is no longer there", r.Base)
}

func merge(older, set []*platfm.Instance, gone []string) []*platfm.Instance {
	without := make(map[string]bool, len(set)+len(gone))
	for _, i := range set {
		without[i.Name] = true
	}
	for _, n := range gone {
		without[n] = true
	}
	out := make([]*platfm.Instance, 0, len(older)+len(set))
	for _, i := range older {
		if !without[i.Name] {
			out = append(out, i)
		}
	}
	return append(out, set...)
}
