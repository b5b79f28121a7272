package link

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"citronrock.example/citronrock/internal/wire/peer"
)

// service implements the RPC service that peers call.
type service struct {
	peer.UnimplementedPeerServer
	l *Link
}

// caller returns the name of the calling daemon. A call to another instance is
// refused, since an address may belong to a new instance while a list lags.
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
func (svc service) Execute(ctx context.Context, r *peer.ExecuteRequest) (*peer.ExecuteReply, error) {
	if svc.l.handlers.Execute == nil {
		return nil, status.Error(codes.Unimplemented, "this daemon runs no calls for peers")
	}
	from, err := svc.l.caller(ctx)
	if err != nil {
		return nil, err
	}
	ctx, cancel := svc.l.bound(ctx)
	defer cancel()
	return svc.l.handlers.Execute(ctx, from, r)
}

// Fetch implements peer.PeerServer.
func (svc service) Fetch(ctx context.Context, r *peer.FetchRequest) (*peer.FetchReply, error) {
	if svc.l.handlers.Fetch == nil {
		return nil, status.Error(codes.Unimplemented, "this daemon has no document for peers")
	}
	from, err := svc.l.caller(ctx)
	if err != nil {
		return nil, err
	}
	ctx, cancel := svc.l.bound(ctx)
	defer cancel()
	return svc.l.handlers.Fetch(ctx, from, r)
}

// Link implements peer.PeerServer. It returns when the peer closes the stream or
// this side aborts it, which also ends a blocked Send or Recv.
func (svc service) Link(s grpc.BidiStreamingServer[peer.Frame, peer.Frame]) error {
	from, err := svc.l.caller(s.Context())
	if err != nil {
		return err
	}
	ctx, cancel := svc.l.bound(s.Context())
	st := &stream{frames: s, abort: cancel}
	p := svc.l.session(from)
	p.adopt(st)
	done := make(chan struct{})
	svc.l.work.Go(func() {
		defer close(done)
		p.read(st)
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
	cancel()
	p.discard(st)
	return nil
}
