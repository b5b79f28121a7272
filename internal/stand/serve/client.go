package serve

import "net/http"

// Client returns a client for unencrypted HTTP/2 and a function that closes its
// idle connections.
func Client() (*http.Client, func()) {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	t := &http.Transport{Protocols: protocols}
	return &http.Client{Transport: t}, t.CloseIdleConnections
}
