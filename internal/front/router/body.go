package router

import (
	"errors"
	"net/http"
	"os"
	"time"

	"citronrock.example/citronrock/internal/front/memory"
	"citronrock.example/citronrock/internal/route/config"
)

// readBody reads the body of a request within the published limits, nil for none. It
// returns the status of a failure, 0 for none.
func (r *Router) readBody(w http.ResponseWriter, httpReq *http.Request, l config.Limits) (*memory.Body, int) {
	if httpReq.ContentLength == 0 {
		return nil, 0
	}
	control := http.NewResponseController(w)
	wait := defaultTimeout
	if l.HeaderWait > 0 {
		wait = l.HeaderWait
	}
	_ = control.SetReadDeadline(time.Now().Add(wait)) // connections of net/http have one
	limit := int64(defaultBodyLimit)
	if l.Body > 0 {
		limit = int64(l.Body)
	}
	body, err := r.memory.Read(httpReq.Body, limit)
	_ = control.SetReadDeadline(time.Time{})
	if err == nil {
		return body, 0
	}
	w.Header().Set("Connection", "close") // the rest of the body is not read
	switch {
	case errors.Is(err, memory.ErrTooLarge):
		return nil, http.StatusRequestEntityTooLarge
	case errors.Is(err, memory.ErrExhausted):
		return nil, http.StatusServiceUnavailable
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, http.StatusRequestTimeout
	}
	return nil, http.StatusBadRequest
}
