// Package cfgsvc is the client of the platform's configuration service, from which
// daemons get the document and the instance list. It uses connect-go.
package cfgsvc

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/types/known/durationpb"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/back/reset"
	"citronrock.example/citronrock/internal/wire/platfm"
)

var _ citronrock.Platform = (*Client)(nil)

// MaxDocument is the largest document in bytes that the platform allows.
const MaxDocument = 1 << 20

// maxReplyBytes bounds a reply. The list of the largest planned fleet, about 2,500
// instances, takes some 200 KB.
const maxReplyBytes = 4 << 20

// maxHeaderBytes bounds the header of a reply.
const maxHeaderBytes = 16 << 10

// Client implements citronrock.Platform. A call fails when the platform hasn't
// replied within the sum of its wait and the timeout. It then closes its
// connection, so that a stalled connection is not used again.
type Client struct {
	timeout   time.Duration
	transport *http.Transport
	rpc       platfm.PlatformClient
}

// Option changes a setting of a Client.
type Option func(*Client)

// WithTimeout sets the time that a call may take beyond its wait; 2 s by
// default.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// New returns a client of the platform at addr. It connects when first used.
func New(addr netip.AddrPort, opts ...Option) *Client {
	c := &Client{timeout: 2 * time.Second}
	for _, o := range opts {
		o(c)
	}
	// A reply without a length ends with the connection.
	dial := reset.Dial(&net.Dialer{Timeout: c.timeout})
	// With HTTP/1.1, each pending call has its own connection, so that a timeout of
	// the call also closes the stalled connection.
	c.transport = &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     30 * time.Second,

		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	c.rpc = platfm.NewPlatformClient(&http.Client{Transport: c.transport},
		"http://"+addr.String(), connect.WithReadMaxBytes(maxReplyBytes))
	return c
}

// Close closes the idle connections. Calls in flight end by their contexts.
func (c *Client) Close() error {
	c.transport.CloseIdleConnections()
	return nil
}

// Document implements citronrock.Platform.
func (c *Client) Document(ctx context.Context, after uint64, wait time.Duration) (*platfm.DocumentReply, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+c.timeout)
	defer cancel()
	r, err := c.rpc.Document(ctx, connect.NewRequest(&platfm.DocumentRequest{After: after, Wait: durationOrNil(wait)}))
	if err != nil {
		return nil, c.wrapError(err, "read the document")
	}
	if n := len(r.Msg.Body); n > MaxDocument {
		return nil, eris.Errorf("document %d has %d bytes, more than %d; publish a smaller one", r.Msg.Version, n, MaxDocument)
	}
	return r.Msg, nil
}

// Instances implements citronrock.Platform.
func (c *Client) Instances(ctx context.Context, after uint64, wait time.Duration) (*platfm.InstancesReply, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+c.timeout)
	defer cancel()
	r, err := c.rpc.Instances(ctx, connect.NewRequest(&platfm.InstancesRequest{After: after, Wait: durationOrNil(wait)}))
	if err != nil {
		return nil, c.wrapError(err, "read the instance list")
	}
	return r.Msg, nil
}

// wrapError adds to err what was being done and what to check. It also closes the
// idle connections, which have probably stalled together with that of the failed
// call.
func (c *Client) wrapError(err error, what string) error {
	c.transport.CloseIdleConnections()
	return eris.Wrapf(err, "cannot %s from the platform; check the setting platform and that it answers", what)
}

func durationOrNil(d time.Duration) *durationpb.Duration {
	if d <= 0 {
		return nil
	}
	return durationpb.New(d)
}
