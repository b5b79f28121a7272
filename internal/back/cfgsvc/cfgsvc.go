// Package cfgsvc reads the platform's configuration service by connect-go.
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
	"citronrock.example/citronrock/internal/wire/platfm"
)

var _ citronrock.Platform = (*Client)(nil)

// MaxDocument is the largest document in bytes, as the platform defines it.
const MaxDocument = 1 << 20

// maxReply bounds a reply in bytes. The list of the largest planned fleet,
// about 2,500 instances, takes some 200 KB.
const maxReply = 4 << 20

// Client implements citronrock.Platform. Each call gives up when the platform
// is silent for longer than the wait and the timeout together, and closes the
// connection it used, so that a stalled connection is never used twice.
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
	dialer := &net.Dialer{Timeout: c.timeout}
	// HTTP/1.1 gives each pending call its own connection, so that giving up
	// on a call also closes the connection that went silent.
	c.transport = &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     30 * time.Second,
	}
	c.rpc = platfm.NewPlatformClient(&http.Client{Transport: c.transport},
		"http://"+addr.String(), connect.WithReadMaxBytes(maxReply))
	return c
}

// Close closes the idle connections. Calls that run end by their contexts.
func (c *Client) Close() error {
	c.transport.CloseIdleConnections()
	return nil
}

// Document implements citronrock.Platform.
func (c *Client) Document(ctx context.Context, after uint64, wait time.Duration) (*platfm.DocumentReply, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+c.timeout)
	defer cancel()
	r, err := c.rpc.Document(ctx, connect.NewRequest(&platfm.DocumentRequest{After: after, Wait: pending(wait)}))
	if err != nil {
		return nil, c.failed(err, "read the document")
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
	r, err := c.rpc.Instances(ctx, connect.NewRequest(&platfm.InstancesRequest{After: after, Wait: pending(wait)}))
	if err != nil {
		return nil, c.failed(err, "read the instance list")
	}
	return r.Msg, nil
}

// failed drops the idle connections too, since connections to a platform that
// failed one call have probably stalled together.
func (c *Client) failed(err error, what string) error {
	c.transport.CloseIdleConnections()
	return eris.Wrapf(err, "cannot %s from the platform; check the setting platform and that it answers", what)
}

func pending(d time.Duration) *durationpb.Duration {
	if d <= 0 {
		return nil
	}
	return durationpb.New(d)
}
