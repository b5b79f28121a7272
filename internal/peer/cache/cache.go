// Package cache holds the document and the instance list in force and a few
// earlier ones, answers fetches of peers from them, and decodes the replies of
// peers, which may be changes to an earlier version.
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

// maxHistory is the number of earlier documents and lists to which changes are
// sent. At 10,000 changes a day a daemon that lags by some seconds lags by one or
// two versions. Each more would cost a megabyte.
const maxHistory = 3

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
	// patches are the patches to the newest document by the older version.
	patches map[uint64][]*peer.Patch
	// lastReceived is the last patch received. Peers get it as it is, so that it is
	// not computed again.
	lastReceived received
}

// received is a patch from a peer that made a document.
type received struct {
	above, version uint64
	pieces         []*peer.Patch
}

// New returns an empty cache.
func New() *Cache { return &Cache{patches: map[uint64][]*peer.Patch{}} }

// PutDocument makes a document the newest one. The caller must not change the body
// afterwards.
func (c *Cache) PutDocument(version uint64, body []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.documents = append(c.documents, document{version: version, body: body, sum: xxhash.Sum64(body)})
	if n := len(c.documents) - maxHistory - 1; n > 0 {
		c.documents = append([]document(nil), c.documents[n:]...)
	}
	clear(c.patches)
	if c.lastReceived.version == version {
		c.patches[c.lastReceived.above] = c.lastReceived.pieces
	}
}

// PutList makes an instance list the newest one. The caller must not change it
// afterwards.
func (c *Cache) PutList(revision uint64, instances []*platfm.Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lists = append(c.lists, list{revision: revision, instances: instances})
	if n := len(c.lists) - maxHistory - 1; n > 0 {
		c.lists = append([]list(nil), c.lists[n:]...)
	}
}

// AnswerFetch returns the reply to a fetch, without member records.
func (c *Cache) AnswerFetch(r *peer.FetchRequest) *peer.FetchReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := new(peer.FetchReply)
	c.replyDocument(r.Above, out)
	c.replyList(r.Revision, out)
	return out
}

func (c *Cache) replyDocument(above uint64, out *peer.FetchReply) {
	if len(c.documents) == 0 {
		return
	}
	newest := c.documents[len(c.documents)-1]
	out.Version = newest.version
	if newest.version <= above {
		return
	}
	out.Sum = newest.sum
	for _, d := range c.documents {
		if d.version == above {
			out.Patch = c.patch(d, newest)
			return
		}
	}
	out.Body = newest.body
}

func (c *Cache) patch(older, newer document) []*peer.Patch {
	p, ok := c.patches[older.version]
	if !ok {
		p = patch.Diff(older.body, newer.body)
		c.patches[older.version] = p
	}
	return p
}

func (c *Cache) replyList(above uint64, out *peer.FetchReply) {
	if len(c.lists) == 0 {
		return
	}
	newest := c.lists[len(c.lists)-1]
	out.Revision = newest.revision
	if newest.revision <= above {
		return
	}
	for _, l := range c.lists {
		if l.revision == above {
			out.Base = above
			out.Instances, out.Gone = diffLists(l.instances, newest.instances)
			return
		}
	}
	out.Instances = newest.instances
}

// diffLists returns the new and changed instances and the names of the removed
// ones.
func diffLists(older, newer []*platfm.Instance) (set []*platfm.Instance, gone []string) {
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

// DecodeDocument returns the body in a reply of a peer, nil when the reply has
// none. above is the version that was asked for. It fails when a patch can't be
// applied, and when the body is too large or does not match its checksum.
func (c *Cache) DecodeDocument(above uint64, r *peer.FetchReply) ([]byte, error) {
	if r.Version <= above {
		return nil, nil
	}
	body := r.Body
	if len(r.Patch) > 0 {
		var err error
		if body, err = c.apply(above, r.Patch); err != nil {
			return nil, err
		}
	}
	if len(body) > MaxDocument {
		return nil, eris.Errorf("document %d of a peer has %d bytes, more than %d", r.Version, len(body), MaxDocument)
	}
	if xxhash.Sum64(body) != r.Sum {
		return nil, eris.Errorf("document %d of a peer does not match its checksum", r.Version)
	}
	if len(r.Patch) > 0 {
		c.mu.Lock()
		c.lastReceived = received{above: above, version: r.Version, pieces: r.Patch}
		c.mu.Unlock()
	}
	return body, nil
}

func (c *Cache) apply(above uint64, pieces []*peer.Patch) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range c.documents {
		if d.version == above {
			return patch.Apply(d.body, pieces, MaxDocument)
		}
	}
	return nil, eris.Errorf("document %d, to which a peer's patch applies, is no longer held", above)
}

// DecodeList returns the instance list in a reply of a peer, nil when the reply
// has none. above is the revision that was asked for. It fails when the reply is a
// change of a list that is no longer held.
func (c *Cache) DecodeList(above uint64, r *peer.FetchReply) ([]*platfm.Instance, error) {
	if r.Revision <= above {
		return nil, nil
	}
	if r.Base == 0 {
		return r.Instances, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.lists {
		if l.revision == r.Base {
			return applyListDiff(l.instances, r.Instances, r.Gone), nil
		}
	}
	return nil, eris.Errorf("list %d, to which a peer's change applies, is no longer held", r.Base)
}

func applyListDiff(older, set []*platfm.Instance, gone []string) []*platfm.Instance {
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
