package edge

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"citronrock.example/citronrock/internal/wire/caller"
)

// Limits of callers' connections.
const (
	maxBody   = 2 << 20
	maxHeader = 16 << 10
	// compressFrom is the least size of a compressed message, in bytes. Compression
	// of single tokens took 38% of the processor time of a stream.
	compressFrom  = 4 << 10
	headerTimeout = 5 * time.Second
	readTimeout   = 30 * time.Second
	idleTimeout   = 2 * time.Minute
	// writeTimeout ends answers whose caller reads nothing any more, so that a
	// silent connection does not hold engine memory.
	writeTimeout = 10 * time.Second
	pingAfter    = 10 * time.Second
)

// Server returns the HTTP server for callers, which speaks HTTP/1.1 and HTTP/2
// without TLS.
func (e *Edge) Server() *http.Server {
	mux := http.NewServeMux()
	mux.Handle(caller.NewRouterHandler(e, connect.WithReadMaxBytes(maxBody), connect.WithCompressMinBytes(compressFrom)))
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           limited(mux),
		Protocols:         &protocols,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:      pingAfter,
			PingTimeout:          writeTimeout,
			MaxConcurrentStreams: 1000,
		},
	}
}

// limited reads each request's body under a deadline and a size limit before it
// is handled, and sets a deadline for each write of the answer. Every request of
// the protocol is one message, so that its body can be read beforehand.
func limited(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		_ = control.SetReadDeadline(time.Now().Add(readTimeout))
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
		if err != nil {
			http.Error(w, "the body is too large or came too slowly; send at most 2 MiB within 30 s", http.StatusRequestEntityTooLarge)
			return
		}
		_ = control.SetReadDeadline(time.Time{})
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(&deadlineWriter{w, control}, r)
	})
}

// deadlineWriter gives each write its own deadline and lifts it afterwards, since
// HTTP/2 resets a stream when its write deadline passes between two writes.
type deadlineWriter struct {
	http.ResponseWriter
	control *http.ResponseController
}

func (w *deadlineWriter) Write(p []byte) (int, error) {
	defer w.limit()()
	return w.ResponseWriter.Write(p)
}

func (w *deadlineWriter) limit() (lift func()) {
	_ = w.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	return func() { _ = w.control.SetWriteDeadline(time.Time{}) }
}

// Flush sends what was written.
func (w *deadlineWriter) Flush() {
	defer w.limit()()
	_ = w.control.Flush()
}

// Unwrap returns the writer below, for http.ResponseController.
func (w *deadlineWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
