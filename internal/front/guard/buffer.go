package guard

import (
	"bytes"
	"net/http"
)

// Buffered returns a handler that calls h for at most n requests at once, and writes a
// response only once it is complete. Clients that don't read then hold a response, which is
// charged, but none of the n places.
func Buffered(h http.Handler, n int) http.Handler {
	places := make(chan struct{}, n)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		client := ClientOf(r.Context())
		client.Queue()
		select {
		case places <- struct{}{}:
		case <-r.Context().Done():
			panic(http.ErrAbortHandler) // the client has left or was evicted
		}
		if client.Run() != nil {
			<-places
			panic(http.ErrAbortHandler) // it was evicted
		}
		out := &buffer{header: http.Header{}, status: http.StatusOK}
		func() {
			defer func() { <-places }()
			h.ServeHTTP(out, r)
		}()
		for name, values := range out.header {
			w.Header()[name] = values
		}
		w.WriteHeader(out.status)
		_, _ = w.Write(out.body.Bytes()) // an error means that the client has left
	})
}

// buffer is a response that is not sent yet.
type buffer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header returns the header of the response.
func (b *buffer) Header() http.Header { return b.header }

// WriteHeader sets the status.
func (b *buffer) WriteHeader(status int) { b.status = status }

// Write adds to the body.
func (b *buffer) Write(p []byte) (int, error) { return b.body.Write(p) }
