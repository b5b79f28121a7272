package router

import (
	"context"
	"errors"
	"time"

	"citronrock.example/citronrock/internal/front/proxy"
	"citronrock.example/citronrock/internal/route/pool"
)

// sameServer returns whether the server at an address is still the one of its entry.
func (r *Router) sameServer(ctx context.Context, s pool.Server) (bool, error) {
	path := ""
	if d := r.follower.Document(); d != nil {
		path = d.Services[s.Service].Health
	}
	same, err := r.backends.CheckIdentity(ctx, s, path)
	if err != nil || !same || s.Stage == pool.Plain {
		return same, err
	}
	// An engine that started again has the same ID.
	asked := time.Now()
	_, err = r.backends.Usage(ctx, s)
	var sendErr *proxy.SendError
	switch {
	case err == nil:
		r.table.ConfirmProcess(asked, s)
	case errors.As(err, &sendErr) && sendErr.Misdirected:
		return false, nil
	}
	return err == nil, err
}
