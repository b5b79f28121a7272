package link

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"citronrock.example/citronrock/internal/wire/peer"
)

// service answers the calls of peers.
type service struct {
	peer.UnimplementedPeerServer
	l *Link
}

// caller returns who calls. A call meant for another instance is refused,
// since an address may be given to a new instance while a list lags.
func (l *Link) caller(ctx context.Context) (string, error) {
	md, _ := metadata.FromIncomingContext(ctx)
	if to := md.Get(toKey); len(to) != 1 || to[0] != l.self {
		return "", status.Errorf(codes.FailedPrecondition, "this is %s, but the call is for %v; read the newest list", l.self, to)
	}
	if from := md.Get(fromKey); len(from) == 1 {
		return from[0], nil
	}
	return "", status.Error(codes.InvalidArgument, "the call does not name its sender")
}

// Execute implements peer.PeerServer.
func (v service) Execute(ctx context.Context, r *peer.ExecuteRequest) (*peer.ExecuteReply, error) {
	if v.l.calls.Execute == nil {
		return nil, status.Error(codes.Unimplemented, "this daemon runs no calls for peers")
	}
	from, err := v.l.caller(ctx)
	if err != nil {
		return nil, err
	}
	ctx, cancel := v.l.bound(ctx)
	defer cancel()
	return v.l.calls.Execute(ctx, from, r)
}

// Fetch implements peer.PeerServer.
func (v service) Fetch(ctx context.Context, r *peer.FetchRequest) (*peer.FetchReply, error) {
	if v.l.calls.Fetch == nil {
		return nil, status.Error(codes.Unimplemented, "this daemon has no document for peers")
	}
	from, err := v.l.caller(ctx)
	if err != nil {
		return nil, err
	}
	ctx, cancel := v.l.bound(ctx)
	defer cancel()
	return v.l.calls.Fetch(ctx, from, r)
}

// Link implements peer.PeerServer. It returns when the sender closes the
// stream or this side aborts it, which also ends a blocked Send or Recv.
func (v service) Link(s grpc.BidiStreamingServer[peer.Frame, peer.Frame]) error {
	from, err := v.l.caller(s.Context())
	if err != nil {
		return err
	}
	ctx, cancel := v.l.bound(s.Context())
	st := &stream{both: s, abort: cancel}
	p := v.l.pair(from)
	p.offer(st)
	done := make(chan struct{})
	v.l.work.Go(func() {
		defer close(done)
		p.read(st)
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
	cancel()
	p.forget(st)
	return nil
}
