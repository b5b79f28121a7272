package router

import (
	"context"

	"citronrock.example/citronrock/internal/route/origin"
)

// versions returns the software versions of a service that can have begun a stream, at
// once if ctx is done.
func (r *Router) versions(ctx context.Context, service string) origin.List {
	f := r.builds.Load()
	switch {
	case f == nil:
		return origin.List{}
	case ctx.Err() != nil:
		return f.Recent(service)
	}
	return f.Versions(ctx, service)
}

// handOver hands the origins of streams over to other routers.
func (r *Router) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTime)
	defer cancel()
	r.origins.Leave(ctx)
}
