package webui

import (
	"bytes"
	"errors"
	"html/template"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"reflect"
	"sync"

	"citronrock.example/citronrock/internal/conf/policy"
)

// maxFormBytes bounds the body of a submitted form.
const maxFormBytes = 64 << 10

// handler serves the pages. The draft is in memory only and lost when the process ends.
type handler struct {
	base *policy.Document
	addr netip.AddrPort

	mu    sync.Mutex
	draft *policy.Document
}

func newHandler(base *policy.Document, addr netip.AddrPort) http.Handler {
	h := &handler{base: base, addr: addr, draft: clone(base)}
	h.draft.Version = base.Version + 1
	mux := http.NewServeMux()
	mux.HandleFunc("GET /{$}", h.overview)
	mux.HandleFunc("GET /edit/{kind}", h.edit)
	mux.HandleFunc("POST /edit/{kind}", h.save)
	mux.HandleFunc("POST /delete/{kind}", h.remove)
	mux.HandleFunc("POST /reset", h.reset)
	mux.HandleFunc("GET /document.toml", h.download)
	// Rejects forms that a page of another site submits (CSRF).
	return h.secure(http.NewCrossOriginProtection().Handler(mux))
}

func clone(d *policy.Document) *policy.Document {
	c := *d
	c.Tenants = append([]policy.Tenant(nil), d.Tenants...)
	c.Services = append([]policy.Service(nil), d.Services...)
	c.Engines = append([]policy.Engine(nil), d.Engines...)
	c.Servers = append([]policy.Server(nil), d.Servers...)
	return &c
}

// secure sets headers that forbid scripts and rejects requests for other host names.
// Otherwise a page of another site could read the draft by DNS rebinding, that is with
// a name of its own that resolves to a loopback address.
func (h *handler) secure(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		host, _, err := net.SplitHostPort(r.Host)
		if err != nil {
			host = r.Host
		}
		ip, err := netip.ParseAddr(host)
		if host != "localhost" && (err != nil || ip.IsLoopback() != h.addr.Addr().IsLoopback()) {
			http.Error(w, "unknown host name; open the console at the address that it printed", http.StatusForbidden)
			return
		}
		header := w.Header()
		header.Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'; frame-ancestors 'none'; base-uri 'none'")
		header.Set("X-Content-Type-Options", "nosniff")
		header.Set("Cache-Control", "no-store")
		next.ServeHTTP(w, r)
	})
}

type row struct {
	Name   string
	Values []string
}

type list struct {
	Kind    string
	Columns []string
	Rows    []row
}

type overviewData struct {
	Version, Published uint64
	Lists              []list
	Problems           policy.Problems
	Changes            []policy.Change
}

func (h *handler) overview(w http.ResponseWriter, _ *http.Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	data := overviewData{Version: h.draft.Version, Published: h.base.Version}
	for _, kind := range kinds {
		data.Lists = append(data.Lists, h.list(kind))
	}
	_, data.Problems = h.encode()
	changes, err := policy.Diff(h.base, h.draft)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	data.Changes = changes
	render(w, http.StatusOK, "overview", data)
}

func (h *handler) list(kind string) list {
	all := entries(h.draft, kind)
	out := list{Kind: kind}
	t := all.Type().Elem()
	for i := range t.NumField() {
		out.Columns = append(out.Columns, tomlKey(t.Field(i)))
	}
	for i := range all.Len() {
		r := row{Name: all.Index(i).FieldByName("Name").String()}
		for j := range t.NumField() {
			r.Values = append(r.Values, formatValue(all.Index(i).Field(j)))
		}
		out.Rows = append(out.Rows, r)
	}
	return out
}

// encode returns the draft in TOML if daemons would accept it, else its problems.
func (h *handler) encode() ([]byte, policy.Problems) {
	body, err := policy.Encode(h.draft)
	if err == nil {
		_, err = policy.ParseNext("draft", body, h.base.Version)
	}
	var problems policy.Problems
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &problems):
		return nil, problems
	}
	return nil, policy.Problems{{File: "draft", What: err.Error(), Remedy: "start again from the published document"}}
}

type editData struct {
	Kind, Name string
	New        bool
	Fields     []field
}

func (h *handler) edit(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	kind, name := r.PathValue("kind"), r.URL.Query().Get("name")
	all := entries(h.draft, kind)
	if !all.IsValid() {
		http.NotFound(w, r)
		return
	}
	entry := reflect.New(all.Type().Elem()).Elem()
	i := indexByName(all, name)
	if i >= 0 {
		entry = all.Index(i)
	}
	render(w, http.StatusOK, "edit", editData{kind, name, i < 0, formFields(h.draft, entry)})
}

func (h *handler) save(w http.ResponseWriter, r *http.Request) {
	form, ok := parseForm(w, r)
	if !ok {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	kind, name := r.PathValue("kind"), r.URL.Query().Get("name")
	all := entries(h.draft, kind)
	if !all.IsValid() {
		http.NotFound(w, r)
		return
	}
	i := indexByName(all, name)
	entry := reflect.New(all.Type().Elem()).Elem()
	inputs, ok := fillEntry(h.draft, entry, form)
	if other := indexByName(all, form.Get("name")); other >= 0 && other != i {
		inputs[0].Problem, ok = "is already in use; choose another name", false
	}
	if !ok {
		render(w, http.StatusUnprocessableEntity, "edit", editData{kind, name, i < 0, inputs})
		return
	}
	if i >= 0 {
		all.Index(i).Set(entry)
	} else {
		all.Set(reflect.Append(all, entry))
	}
	http.Redirect(w, r, "/", http.StatusSeeOther)
}

func (h *handler) remove(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := entries(h.draft, r.PathValue("kind"))
	if !all.IsValid() {
		http.NotFound(w, r)
		return
	}
	if i := indexByName(all, r.URL.Query().Get("name")); i >= 0 {
		all.Set(reflect.AppendSlice(all.Slice(0, i), all.Slice(i+1, all.Len())))
	}
	http.Redirect(w, r, "/", http.StatusSeeOther)
}

func (h *handler) reset(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.draft = clone(h.base)
	h.draft.Version = h.base.Version + 1
	http.Redirect(w, r, "/", http.StatusSeeOther)
}

func (h *handler) download(w http.ResponseWriter, _ *http.Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	body, problems := h.encode()
	if len(problems) > 0 {
		http.Error(w, "the draft is not valid:\n"+problems.Error(), http.StatusUnprocessableEntity)
		return
	}
	w.Header().Set("Content-Type", "application/toml")
	w.Header().Set("Content-Disposition", `attachment; filename="document.toml"`)
	_, _ = w.Write(body)
}

func parseForm(w http.ResponseWriter, r *http.Request) (url.Values, bool) {
	r.Body = http.MaxBytesReader(w, r.Body, maxFormBytes)
	if err := r.ParseForm(); err != nil {
		http.Error(w, "the form can't be read or is too large; go back and submit it again", http.StatusBadRequest)
		return nil, false
	}
	return r.PostForm, true
}

func render(w http.ResponseWriter, status int, name string, data any) {
	var b bytes.Buffer
	if err := pages.ExecuteTemplate(&b, name, data); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write(b.Bytes())
}

var pages = template.Must(template.New("").Parse(templates))
