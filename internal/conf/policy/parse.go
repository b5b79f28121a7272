package policy

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// MaxDocumentBytes is the size limit of the platform for a document.
const MaxDocumentBytes = 1 << 20

// Problem is one reason to reject a document.
type Problem struct {
	File string
	// Line is zero if the parser reports no position.
	Line int
	What string
	// Remedy says how to correct the document.
	Remedy string
}

// Error returns the file and line, the problem and the remedy in one line.
func (p Problem) Error() string {
	place := p.File
	if p.Line > 0 {
		place = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	return fmt.Sprintf("%s: %s; %s", place, p.What, p.Remedy)
}

// Problems are all reasons to reject a document.
type Problems []Problem

// Error returns one line for each problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Parse decodes a document from TOML, sets defaults and validates it. The file
// name is used in error messages only. The error is of type Problems.
func Parse(file string, body []byte) (*Document, error) {
	if len(body) > MaxDocumentBytes {
		return nil, Problems{{
			File:   file,
			What:   fmt.Sprintf("document size of %d bytes exceeds the platform's limit of %d bytes", len(body), MaxDocumentBytes),
			Remedy: "remove unused entries",
		}}
	}
	var d Document
	dec := toml.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&d); err != nil {
		return nil, syntaxProblems(file, err)
	}
	d.setDefaults()
	if ps := validate(file, &d); len(ps) > 0 {
		return nil, ps
	}
	return &d, nil
}

// ParseNext parses a document that is to replace the published version current.
// It also rejects a version that is not greater than current. The error is of type
// Problems.
func ParseNext(file string, body []byte, current uint64) (*Document, error) {
	d, err := Parse(file, body)
	if err != nil {
		return nil, err
	}
	if d.Version <= current {
		return nil, Problems{{
			File:   file,
			What:   fmt.Sprintf("version %d is not greater than the published version %d", d.Version, current),
			Remedy: fmt.Sprintf("write version = %d", current+1),
		}}
	}
	return d, nil
}

// Encode returns a document as TOML, which Parse reads.
func Encode(d *Document) ([]byte, error) {
	return toml.Marshal(d)
}

func syntaxProblems(file string, err error) Problems {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var ps Problems
		for _, e := range strict.Errors {
			line, _ := e.Position()
			ps = append(ps, Problem{
				File: file, Line: line,
				What:   fmt.Sprintf("unknown key %q", strings.Join(e.Key(), ".")),
				Remedy: "remove it or correct its spelling",
			})
		}
		return ps
	}
	p := Problem{File: file, What: err.Error(), Remedy: "correct the value"}
	var syntax *toml.DecodeError
	if errors.As(err, &syntax) {
		p.Line, _ = syntax.Position()
		if key := strings.Join(syntax.Key(), "."); key != "" {
			p.What = fmt.Sprintf("key %q: %s", key, strings.TrimPrefix(syntax.Error(), "toml: "))
			p.Remedy = "write a value of the type of the key"
		}
	}
	return Problems{p}
}

// Defaults of optional keys: the tenant's weight and the service's retry ratio.
const (
	defaultWeight = 1.0
	defaultRetry  = 0.1
)

func (d *Document) setDefaults() {
	for i := range d.Tenants {
		if d.Tenants[i].Weight == 0 {
			d.Tenants[i].Weight = defaultWeight
		}
	}
	for i := range d.Services {
		if d.Services[i].RetryRatio == 0 {
			d.Services[i].RetryRatio = defaultRetry
		}
	}
}
