package citronrock

import (
	"context"
	"net/http"
	"time"

	"citronrock.example/citronrock/internal/front/proxy"
	"citronrock.example/citronrock/internal/room/lease"
	"citronrock.example/citronrock/internal/room/ledger"
	"citronrock.example/citronrock/internal/route/config"
	"citronrock.example/citronrock/internal/route/origin"
	"citronrock.example/citronrock/internal/route/pool"
)

// Backends sends requests to backend servers. Errors are of type *proxy.SendError
// and tell whether the request may have run.
type Backends interface {
	// Send forwards a request and returns when the header of the response is there.
	Send(ctx context.Context, to pool.Server, c *proxy.Request, o proxy.Options) (*proxy.Response, error)
	// Prefill makes a prefill engine compute the KV cache of a prompt. The request
	// itself does not run there.
	Prefill(ctx context.Context, to pool.Server, c *proxy.Request, o proxy.Options) (*proxy.Cache, error)
	// Usage asks an engine for its resources in use.
	Usage(ctx context.Context, s pool.Server) (ledger.Usage, error)
	// CheckIdentity sends a request to the path of the health check and reports
	// whether the server is still the one of the entry.
	CheckIdentity(ctx context.Context, s pool.Server, health string) (bool, error)
	// Order tells an engine to change its stage. The error tells whether the engine
	// did not accept the order or this is not known.
	Order(ctx context.Context, s pool.Server, o lease.Order) error
	// Free releases a KV cache that will not be used.
	Free(ctx context.Context, cache *proxy.Cache) error
	// OnSignal sets the function for the signals that servers send in the headers of
	// responses. It is called before a response is returned. OnSignal must be called
	// before all other methods.
	OnSignal(func(pool.Server, pool.Signal))
	// OnLimit sets the function that receives what each response says about the limit
	// of its server, under the same rules as OnSignal.
	OnLimit(func(pool.Server, pool.Limit))
}

// Origins keeps at which software version of its service each stream began.
type Origins interface {
	// Record stores the origin of a stream here and at the daemons that a client may ask
	// next. It returns when these have confirmed it, or after a short time without their
	// confirmation.
	Record(ctx context.Context, o origin.Origin)
	// Find returns the version at which a client's attempt began its stream, also if only
	// one version can have begun it. attempt is empty if the client does not name it. ok
	// is false if the version can't be known; it is never a guess.
	Find(ctx context.Context, service, attempt string) (version string, ok bool)
}

// Ingress decodes the requests of clients and answers them.
type Ingress interface {
	// Read decodes the header of a request. The error is an *Error of the kind
	// NotRun.
	Read(r *http.Request) (*proxy.Request, error)
	// Refuse answers a request with a failure of the router itself. after is the
	// Retry-After delay, zero for none. c may be nil.
	Refuse(w http.ResponseWriter, c *proxy.Request, status int, after time.Duration, text string)
}

// Changes are the changes in the store after a revision.
type Changes struct {
	// Document is the newest configuration, nil when it did not change.
	Document *config.Document
	Servers  []pool.Server
	Removed  []Removal
	// Revision is the revision up to which the changes are complete, for the next
	// Watch.
	Revision pool.Revision
}

// Removal is the removal of a backend server's entry.
type Removal struct {
	ID       string
	Revision pool.Revision
}

// Snapshot is the whole content of the store at a revision.
type Snapshot struct {
	// Document is nil when nothing is published yet.
	Document *config.Document
	Servers  []pool.Server
	Revision pool.Revision
}

// Store reads the documents of the operators and the servers' entries from the
// platform's key-value store.
type Store interface {
	// Load reads the whole content. A stale read is cheap and may be seconds old;
	// Watch returns the changes since.
	Load(ctx context.Context, stale bool) (*Snapshot, error)
	// Watch returns the changes after a revision and waits up to wait for the first
	// one. ErrCompacted means that Load is needed: the store no longer keeps the
	// changes, or was restored from an older copy.
	Watch(ctx context.Context, after pool.Revision, wait time.Duration) (*Changes, error)
}
