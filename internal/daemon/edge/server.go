package edge

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"citronrock.example/citronrock/internal/wire/caller"
)

// Limits of clients' connections.
const (
	maxBodyBytes   = 2 << 20
	maxHeaderBytes = 16 << 10
	// compressMinBytes is the minimum size of a compressed message. Compressing
	// single tokens took 38% of the CPU time of a stream.
	compressMinBytes = 4 << 10
	headerTimeout    = 5 * time.Second
	readTimeout      = 30 * time.Second
	idleTimeout      = 2 * time.Minute
	// writeTimeout ends answers whose client no longer reads, so that a stalled
	// connection does not hold engine memory.
	writeTimeout = 10 * time.Second
	pingIdle     = 10 * time.Second
)

// Server returns the HTTP server for clients. It serves HTTP/1.1 and HTTP/2 without
// TLS.
func (e *Edge) Server() *http.Server {
	mux := http.NewServeMux()
	mux.Handle(caller.NewRouterHandler(e, connect.WithReadMaxBytes(maxBodyBytes), connect.WithCompressMinBytes(compressMinBytes)))
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           withLimits(mux, writeTimeout),
		Protocols:         &protocols,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:      pingIdle,
			PingTimeout:          writeTimeout,
			MaxConcurrentStreams: 1000,
		},
	}
}

// withLimits reads the whole body of a request, under a deadline and a size limit,
// before the request is handled, and bounds the time of each write of the answer.
// The body can be read in advance because every request of the protocol is one
// message.
func withLimits(next http.Handler, limit time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		_ = control.SetReadDeadline(time.Now().Add(readTimeout))
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			http.Error(w, "the body is too large or came too slowly; send at most 2 MiB within 30 s", http.StatusRequestEntityTooLarge)
			return
		}
		_ = control.SetReadDeadline(time.Time{})
		r.Body = io.NopCloser(bytes.NewReader(body))
		bounded := &boundedWriter{ResponseWriter: w, control: control, limit: limit}
		defer bounded.stop()
		next.ServeHTTP(bounded, r)
	})
}

// boundedWriter ends the answer when one write takes longer than limit. It uses its
// own timer, since each SetWriteDeadline of an HTTP/2 answer sends a message to the
// goroutine that serves the connection, which would be four for each token.
type boundedWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	limit   time.Duration
	timer   *time.Timer

	mu      sync.Mutex
	writing bool
}

func (w *boundedWriter) Write(p []byte) (int, error) {
	w.begin()
	defer w.end()
	return w.ResponseWriter.Write(p)
}

// Flush sends the buffered data to the client, within the limit of a write.
func (w *boundedWriter) Flush() {
	w.begin()
	defer w.end()
	_ = w.control.Flush()
}

// Unwrap returns the underlying writer, for http.ResponseController.
func (w *boundedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *boundedWriter) begin() {
	w.mu.Lock()
	w.writing = true
	w.mu.Unlock()
	if w.timer == nil {
		w.timer = time.AfterFunc(w.limit, w.expire)
		return
	}
	w.timer.Reset(w.limit)
}

func (w *boundedWriter) end() {
	w.timer.Stop()
	w.mu.Lock()
	w.writing = false
	w.mu.Unlock()
}

// expire fails the write in progress by setting a deadline in the past. The lock
// keeps the handler from returning meanwhile, since the writer must not be used
// after that.
func (w *boundedWriter) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.writing {
		_ = w.control.SetWriteDeadline(time.Unix(1, 0))
	}
}

func (w *boundedWriter) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}
