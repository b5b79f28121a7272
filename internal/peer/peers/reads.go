package peers

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"citronrock.example/citronrock/internal/conf/policy"
	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/peer/dissem"
	"citronrock.example/citronrock/internal/peer/member"
	"citronrock.example/citronrock/internal/peer/view"
	"citronrock.example/citronrock/internal/wire/peer"
	"citronrock.example/citronrock/internal/wire/platfm"
)

// Timeouts of calls, on top of the wait of a long poll.
const (
	readTimeout  = 3 * time.Second
	fetchTimeout = 2 * time.Second
)

// sender sends packets until the Group is closed and the queue is empty.
func (g *Group) sender() {
	for {
		select {
		case s := <-g.packetQueue:
			g.sendPacket(s)
			continue
		default:
		}
		select {
		case <-g.ctx.Done():
			return
		case s := <-g.packetQueue:
			g.sendPacket(s)
		}
	}
}

func (g *Group) sendPacket(s member.Send) {
	if err := g.link.SendPacket(s.To, s.Packet); err != nil {
		g.log.Debug("packet is not sent", "to", s.To, "error", err)
	}
}

// receivePacket handles a received packet. It waits for the control goroutine;
// meanwhile the socket's buffer bounds the backlog.
func (g *Group) receivePacket(p *peer.Packet) {
	<-g.linkReady
	g.do(func(now time.Time, out []view.Output) []view.Output { return g.view.Receive(now, p, out) })
}

func (g *Group) receiveFrame(from string, _ uint64, f *peer.Frame) {
	<-g.linkReady
	g.control.Do(func(now time.Time) {
		if f.Version > 0 || f.Revision > 0 {
			g.step(func(out []view.Output) []view.Output {
				return g.view.Advertised(now, from, f.Version, f.Revision, out)
			})
		}
		g.callbacks.frame(from, f)
	})
}

func (g *Group) answerExecute(ctx context.Context, from string, r *peer.ExecuteRequest) (*peer.ExecuteReply, error) {
	<-g.linkReady
	return g.callbacks.execute(ctx, from, r), nil
}

// answerFetch answers a fetch of a peer.
func (g *Group) answerFetch(_ context.Context, _ string, r *peer.FetchRequest) (*peer.FetchReply, error) {
	out := g.cache.AnswerFetch(r)
	if r.Members {
		g.control.Do(func(time.Time) { out.Members = g.view.Members().Digest() })
	}
	return out, nil
}

// execRead executes a read at the platform.
func (g *Group) execRead(r dissem.Read) {
	ctx, cancel := context.WithTimeout(g.ctx, r.Wait+readTimeout)
	defer cancel()
	var i dissem.Item
	var err error
	if r.Kind == dissem.Document {
		i, err = g.readDocument(ctx, r)
	} else {
		i, err = g.readList(ctx, r)
	}
	if err != nil && g.ctx.Err() == nil {
		g.log.Warn("platform does not answer", "error", err)
	}
	g.do(func(now time.Time, out []view.Output) []view.Output {
		return g.view.ReadDone(now, r.Kind, i, err, out)
	})
}

func (g *Group) readDocument(ctx context.Context, r dissem.Read) (dissem.Item, error) {
	d, err := g.platform.Document(ctx, r.After, r.Wait)
	if err != nil || d.Version <= r.After {
		return dissem.Item{}, err
	}
	return g.parseDocument(d.Version, d.Body), nil
}

func (g *Group) readList(ctx context.Context, r dissem.Read) (dissem.Item, error) {
	l, err := g.platform.Instances(ctx, r.After, r.Wait)
	if err != nil || l.Revision <= r.After {
		return dissem.Item{}, err
	}
	return listItem(l.Revision, l.Instances), nil
}

func listItem(revision uint64, instances []*platfm.Instance) dissem.Item {
	return dissem.Item{Number: revision, Value: daemonList(event.Listed{Revision: revision, Instances: instances})}
}

// parseDocument validates a body on the calling goroutine, not on the control
// goroutine, since a document of a megabyte takes many milliseconds.
func (g *Group) parseDocument(version uint64, body []byte) dissem.Item {
	d, err := g.validateDocument(version, body)
	if err != nil {
		g.log.Error("document is rejected; the one in force stays", "version", version, "error", err)
		return dissem.Item{Number: version, Err: err}
	}
	return dissem.Item{Number: version, Value: &parsedDocument{parsed: d, body: body}}
}

func (g *Group) validateDocument(version uint64, body []byte) (*policy.Document, error) {
	if len(body) > maxDocument {
		return nil, eris.Errorf("document %d has %d bytes, more than %d; publish a smaller one", version, len(body), maxDocument)
	}
	d, err := g.validate(body)
	if err != nil {
		return nil, err
	}
	if d.Version != version {
		return nil, eris.Errorf("the document states version %d but is published as %d; publish it again", d.Version, version)
	}
	return d, nil
}

// maxDocument is the size in bytes of the largest document on the platform.
const maxDocument = 1 << 20

// execFetch executes a fetch from a peer.
func (g *Group) execFetch(a dissem.Fetch) {
	ctx, cancel := context.WithTimeout(g.ctx, fetchTimeout)
	defer cancel()
	items, known, err := g.fetchFrom(ctx, a)
	if err != nil && g.ctx.Err() == nil {
		g.log.Info("peer gave no document or list", "peer", a.To, "error", err)
	}
	g.do(func(now time.Time, out []view.Output) []view.Output {
		return g.view.FetchDone(now, a.To, items, known, err, out)
	})
}

// fetchFrom fetches the changes from a peer, and everything when the changes can't
// be applied.
func (g *Group) fetchFrom(ctx context.Context, a dissem.Fetch) (items [2]dissem.Item, known []*peer.Member, err error) {
	r := &peer.FetchRequest{Above: a.Current[dissem.Document], Revision: a.Current[dissem.List], Members: a.Members}
	for {
		reply, err := g.link.FetchWith(ctx, a.To, r)
		if err != nil {
			return items, nil, err
		}
		items, err = g.decodeReply(r, reply)
		if err == nil || r.Above == 0 && r.Revision == 0 {
			return items, reply.Members, err
		}
		r.Above, r.Revision = 0, 0
	}
}

// decodeReply decodes the document and the instance list of a reply.
func (g *Group) decodeReply(r *peer.FetchRequest, reply *peer.FetchReply) (items [2]dissem.Item, err error) {
	body, err := g.cache.DecodeDocument(r.Above, reply)
	if err != nil {
		return items, err
	}
	instances, err := g.cache.DecodeList(r.Revision, reply)
	if err != nil {
		return items, err
	}
	if body != nil {
		items[dissem.Document] = g.parseDocument(reply.Version, body)
	}
	if instances != nil {
		items[dissem.List] = listItem(reply.Revision, instances)
	}
	return items, nil
}
