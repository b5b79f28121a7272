package fanout

import (
	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/route/config"
	"citronrock.example/citronrock/internal/route/delta"
	"citronrock.example/citronrock/internal/route/pool"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// encodedSnapshot is the encoded form of citronrock.Snapshot. The configuration is in
// one of Document, Patch or Same, or in the fields of encodedDocument for daemons of an
// earlier version.
type encodedSnapshot struct {
	Revision uint64 `cbor:"1,keyasint"`
	encodedDocument
	Servers []entry `cbor:"6,keyasint"`
	// Era is the store's era at Revision.
	Era uint64 `cbor:"7,keyasint,omitempty"`
	// Document is an encodedDocument, Patch a patch to the version that the asking daemon
	// has; both are compressed. Same means that it has the newest version.
	Document []byte `cbor:"8,keyasint,omitempty"`
	Patch    []byte `cbor:"9,keyasint,omitempty"`
	Same     bool   `cbor:"10,keyasint,omitempty"`
}

// encodedDocument is the encoded form of config.Document.
type encodedDocument struct {
	Version  uint64           `cbor:"2,keyasint"`
	Routes   []config.Route   `cbor:"3,keyasint"`
	Services []config.Service `cbor:"4,keyasint"`
	Limits   config.Limits    `cbor:"5,keyasint"`
	// Daemons of an earlier version ignore the tenants.
	Tenants      []config.Tenant `cbor:"11,keyasint,omitempty"`
	KeysRequired bool            `cbor:"12,keyasint,omitempty"`
}

// document returns the configuration that was encoded.
func (e *encodedDocument) document() *config.Document {
	var opts []config.Option
	if e.KeysRequired {
		opts = append(opts, config.WithTenants(e.Tenants))
	}
	return config.New(e.Version, e.Routes, e.Services, e.Limits, opts...)
}

// entry is a backend server's entry with the era in which it was read: entries from
// before a restore of the store may still be in use for a while.
type entry struct {
	Event
	Era uint64 `cbor:"13,keyasint,omitempty"`
}

// encodedVersion is the compressed form of one version of the configuration. It is kept
// as a daemon sends the same version to several others.
type encodedVersion struct {
	document *config.Document
	body     []byte
}

func plainDocument(d *config.Document) encodedDocument {
	out := encodedDocument{Version: d.Version, Routes: d.Routes, Limits: d.Limits, Tenants: d.Tenants, KeysRequired: d.KeysRequired}
	for _, service := range d.Services {
		out.Services = append(out.Services, service)
	}
	return out
}

func encodeHead(s *citronrock.Snapshot) ([]byte, error) {
	return cbor.Marshal(encodedSnapshot{Revision: s.Revision.Number, Era: s.Revision.Era, Same: true,
		encodedDocument: encodedDocument{Version: s.Document.Version}})
}

// encode returns a part of the snapshot for a daemon that has a version of the
// configuration in force. compact is false for daemons of an earlier version.
func (n *Node) encode(s *citronrock.Snapshot, have uint64, part string, compact bool, since func(uint64) *delta.Patch) ([]byte, error) {
	out := encodedSnapshot{Revision: s.Revision.Number, Era: s.Revision.Era, encodedDocument: encodedDocument{Version: s.Document.Version}}
	if part != partDocument {
		for _, server := range s.Servers {
			out.Servers = append(out.Servers, entry{PutEvent(server), server.Revision.Era})
		}
	}
	if !compact {
		out.encodedDocument = plainDocument(s.Document)
		return cbor.Marshal(out)
	}
	var err error
	p := since(have)
	switch {
	case have >= s.Document.Version && part == partDocument:
		return nil, errBusy
	case have >= s.Document.Version:
		out.Same = true
	case p != nil && p.Version == s.Document.Version && p.Size() < (len(s.Document.Routes)+len(s.Document.Tenants))/2:
		out.Patch, err = p.Encode()
	default:
		out.Document, err = n.compressed(s.Document)
	}
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(out)
}

// compressed returns the compressed form of a configuration. The lock is held meanwhile,
// so that each version is compressed once.
func (n *Node) compressed(d *config.Document) ([]byte, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.encoded.document != d {
		body, err := cbor.Marshal(plainDocument(d))
		if err != nil {
			return nil, eris.Wrap(err, "cannot encode the configuration")
		}
		n.encoded = encodedVersion{d, delta.Compress(body)}
	}
	return n.encoded.body, nil
}

// decode decodes the snapshot that another daemon sent to this one, which has a
// configuration in force.
func decode(body []byte, have *config.Document) (*citronrock.Snapshot, error) {
	var in encodedSnapshot
	if err := cbor.Unmarshal(body, &in); err != nil {
		return nil, eris.Wrap(err, "cannot decode the snapshot of another daemon")
	}
	out := &citronrock.Snapshot{Revision: pool.Revision{Era: in.Era, Number: in.Revision}}
	out.Servers = make([]pool.Server, 0, len(in.Servers))
	for _, e := range in.Servers {
		out.Servers = append(out.Servers, e.Server(e.Era))
	}
	var err error
	out.Document, err = decodeDocument(&in, have)
	return out, err
}

func decodeDocument(in *encodedSnapshot, have *config.Document) (*config.Document, error) {
	switch {
	case in.Same && have != nil:
		return have, nil
	case len(in.Patch) > 0:
		p, err := delta.Decode(in.Patch)
		if err != nil {
			return nil, err
		}
		return p.Apply(have)
	case len(in.Document) > 0:
		plain, err := delta.Expand(in.Document, maxSnapshotBytes)
		if err != nil {
			return nil, eris.Wrap(err, "cannot expand the configuration of another daemon")
		}
		in.encodedDocument = encodedDocument{}
		if err := cbor.Unmarshal(plain, &in.encodedDocument); err != nil {
			return nil, eris.Wrap(err, "cannot decode the configuration of another daemon")
		}
	}
	return in.document(), nil
}
