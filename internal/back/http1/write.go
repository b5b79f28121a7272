package http1

import (
	"bufio"
	"net/http"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// written lists the header fields that writeRequest writes itself, or that describe a
// body other than the one it writes.
var written = map[string]bool{"Host": true, "Connection": true, "Content-Length": true, "Transfer-Encoding": true, "Trailer": true}

// requestTarget returns the target of the request line: req.RequestURI unchanged, or the
// path and query of req.URL if it is empty.
func requestTarget(req *http.Request) string {
	if req.RequestURI != "" {
		return req.RequestURI
	}
	return req.URL.RequestURI()
}

// checkRequestLine returns an error if a part of the request line, or the host, would
// end its line or add a word to it.
func checkRequestLine(req *http.Request) error {
	for _, part := range [...]string{req.Method, requestTarget(req), req.Host} {
		if part == "" || strings.ContainsFunc(part, func(r rune) bool { return r <= ' ' || r == 0x7f }) {
			return eris.Errorf("method, target or host %q is empty or contains a space or control character", part)
		}
	}
	return nil
}

// writeRequest writes a request. http.Request.Write can't be used, as it writes a target
// that begins with two slashes as an absolute URL.
func writeRequest(w *bufio.Writer, req *http.Request, body []byte) error {
	// The first error stays in w and is returned by Flush.
	_, _ = w.WriteString(req.Method + " " + requestTarget(req) + " HTTP/1.1\r\nHost: " + req.Host + "\r\nConnection: close\r\n")
	// The length of an empty body is stated where the method expects a body (RFC 9110, 8.6).
	if len(body) > 0 || req.Method == http.MethodPost || req.Method == http.MethodPut || req.Method == http.MethodPatch {
		_, _ = w.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n")
	}
	_ = req.Header.WriteSubset(w, written)
	_, _ = w.WriteString("\r\n")
	_, _ = w.Write(body)
	return w.Flush()
}
