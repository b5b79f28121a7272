package fleet

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// Outcome is what a client got.
type Outcome struct {
	Attempt string
	Status  int
	Header  http.Header
	Body    []byte
	Err     error
	// At is when the answer was complete.
	At   time.Time
	Took time.Duration
}

// Request is one client attempt.
type Request struct {
	// Attempt is its ID, a new one if it is empty.
	Attempt            string
	Host, Method, Path string
	Header             map[string]string
	Body               []byte
	Timeout            time.Duration
	// From is the client's own loopback address, empty for any.
	From string
}

// NewAttempt returns a new ID of a client attempt.
func NewAttempt() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Send sends one request on a new channel and reads the whole answer.
func Send(ctx context.Context, rec *Record, to *Daemon, q Request) Outcome {
	o := Outcome{Attempt: cmp.Or(q.Attempt, NewAttempt())}
	ctx, cancel := context.WithTimeout(ctx, q.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, q.Method, "http://"+to.Front()+q.Path, bytes.NewReader(q.Body))
	if err != nil {
		o.Err = err
		return o
	}
	req.Host = q.Host
	for k, v := range q.Header {
		req.Header.Set(k, v)
	}
	req.Header.Set("Attempt-Id", o.Attempt)
	req.Header.Set("Deadline-Milliseconds", fmt.Sprint(q.Timeout.Milliseconds()))
	rec.Line("client sends %s %s %s to %s", o.Attempt, q.Method, q.Path, to.Name)
	start := time.Now()
	dialer := net.Dialer{}
	if q.From != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(q.From)}
	}
	c := http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true}}
	resp, err := c.Do(req)
	if err == nil {
		o.Status, o.Header = resp.StatusCode, resp.Header
		o.Body, err = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	o.Err, o.Took, o.At = err, time.Since(start), time.Now()
	rec.Line("client got for %s: status %d, %d bytes, error %v, after %d ms", o.Attempt, o.Status, len(o.Body), err, o.Took.Milliseconds())
	return o
}
