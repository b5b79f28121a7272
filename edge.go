package citronrock

import (
	"context"
	"net/http"
	"time"

	"citronrock.example/citronrock/internal/front/proxy"
	"citronrock.example/citronrock/internal/room/lease"
	"citronrock.example/citronrock/internal/room/ledger"
	"citronrock.example/citronrock/internal/route/config"
	"citronrock.example/citronrock/internal/route/pool"
)

// Backends sends clients' requests to backend servers. Errors are of type
// *entry.Fault and tell whether the request may have run.
type Backends interface {
	// Send forwards a call and returns when the header of the answer is there.
	Send(ctx context.Context, to pool.Server, c *proxy.Request, o proxy.Options) (*proxy.Response, error)
	// Prefill makes a prefill engine read the prompt of a call. The call does not
	// run.
	Prefill(ctx context.Context, to pool.Server, c *proxy.Request, o proxy.Options) (*proxy.Cache, error)
	// Usage asks an engine what it has in use.
	Usage(ctx context.Context, s pool.Server) (ledger.Usage, error)
	// CheckIdentity asks at the path of the health check whether a server is still the one
	// of its entry.
	CheckIdentity(ctx context.Context, s pool.Server, health string) (bool, error)
	// Order tells an engine to change its stage. The error tells that it did not
	// accept the order, or that this is not known.
	Order(ctx context.Context, s pool.Server, o lease.Order) error
	// Free releases a KV cache that will not be used.
	Free(ctx context.Context, cache *proxy.Cache) error
	// OnSignal sets the function that takes what answers say of their servers,
	// before the answers are passed on. It must be called before all else.
	OnSignal(func(pool.Server, pool.Signal))
}

// Ingress translates between clients and the router.
type Ingress interface {
	// Read decodes the header of a request. The error is an *Error of the kind
	// NotRun.
	Read(r *http.Request) (*proxy.Request, error)
	// Refuse answers a request with a failure of the router's own. Call may be
	// nil.
	Refuse(w http.ResponseWriter, c *proxy.Request, status int, after time.Duration, text string)
}

// Changes are the published changes after a revision.
type Changes struct {
	// Document is the newest configuration, nil when it did not change.
	Document *config.Document
	Servers  []pool.Server
	Removed  []Removal
	// Revision is what to ask for next.
	Revision pool.Revision
}

// Removal is the removal of a backend server's entry.
type Removal struct {
	ID       string
	Revision pool.Revision
}

// Snapshot is everything that is published.
type Snapshot struct {
	// Document is nil when nothing is published yet.
	Document *config.Document
	Servers  []pool.Server
	Revision pool.Revision
}

// Store reads what the platform and the operators publish.
type Store interface {
	// Load reads everything. A stale state may be seconds old; it is cheap, and
	// Watch brings it up to date.
	Load(ctx context.Context, stale bool) (*Snapshot, error)
	// Watch returns the changes after a revision. It waits up to wait for the
	// first one. ErrHistory means that Load is needed: the changes are not known
	// any more, or the store has come back from an older copy.
	Watch(ctx context.Context, after pool.Revision, wait time.Duration) (*Changes, error)
}
