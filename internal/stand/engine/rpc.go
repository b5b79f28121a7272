package engine

import (
	"context"

	"connectrpc.com/connect"

	wire "citronrock.example/citronrock/internal/wire/engine"
)

// service implements the generated handler interface for an Engine.
type service struct{ e *Engine }

func unary[Q, R any](ctx context.Context, q *connect.Request[Q],
	f func(context.Context, *Q) (*R, error)) (*connect.Response[R], error) {
	r, err := f(ctx, q.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(r), nil
}

func (s service) Prefill(ctx context.Context, r *connect.Request[wire.PrefillRequest]) (*connect.Response[wire.PrefillReply], error) {
	return unary(ctx, r, s.e.prefill)
}

func (s service) Reserve(ctx context.Context, r *connect.Request[wire.ReserveRequest]) (*connect.Response[wire.ReserveReply], error) {
	return unary(ctx, r, s.e.reserve)
}

func (s service) Import(ctx context.Context, r *connect.Request[wire.ImportRequest]) (*connect.Response[wire.ImportReply], error) {
	return unary(ctx, r, s.e.importKV)
}

func (s service) Export(ctx context.Context, r *connect.Request[wire.ExportRequest], out *connect.ServerStream[wire.ExportChunk]) error {
	return s.e.export(ctx, r.Msg, out.Send)
}

func (s service) Decode(ctx context.Context, r *connect.Request[wire.DecodeRequest], out *connect.ServerStream[wire.DecodeChunk]) error {
	return s.e.decode(ctx, r.Msg, out.Send)
}

func (s service) Cancel(ctx context.Context, r *connect.Request[wire.CancelRequest]) (*connect.Response[wire.CancelReply], error) {
	return unary(ctx, r, s.e.cancel)
}

func (s service) Watch(ctx context.Context, r *connect.Request[wire.WatchRequest], out *connect.ServerStream[wire.Report]) error {
	return s.e.watch(ctx, r.Msg, out.Send)
}

func (s service) Events(ctx context.Context, _ *connect.Request[wire.EventsRequest], out *connect.ServerStream[wire.CacheEvent]) error {
	return s.e.events(ctx, out.Send)
}

func (s service) Order(ctx context.Context, r *connect.Request[wire.OrderRequest]) (*connect.Response[wire.OrderReply], error) {
	return unary(ctx, r, s.e.order)
}
