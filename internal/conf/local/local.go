// Package local reads the settings file of a daemon: its name, failure domain,
// listen addresses and the platform's address. Everything else is in the published
// document.
package local

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Settings are the settings of one daemon. Each address needs a port, and no two
// may be equal.
type Settings struct {
	Name   string `toml:"name"`
	Domain string `toml:"domain"`
	// Caller, Peer and Admin are the addresses to listen on.
	Caller netip.AddrPort `toml:"caller"`
	Peer   netip.AddrPort `toml:"peer"`
	Admin  netip.AddrPort `toml:"admin"`
	// Platform is the address of the configuration service.
	Platform netip.AddrPort `toml:"platform"`
}

// Error is a problem with a settings file and its remedy.
type Error struct {
	File, What, Remedy string
}

// Error returns the file, the problem and the remedy in one line.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s; %s", e.File, e.What, e.Remedy)
}

// Read reads and validates a settings file. The error is of type *Error.
func Read(file string) (*Settings, error) {
	body, err := os.ReadFile(file)
	if err != nil {
		return nil, &Error{file, "cannot read the settings file: " + err.Error(), "pass a readable file with --settings"}
	}
	return Parse(file, body)
}

// Parse decodes settings from TOML and validates them. The file name is used in
// error messages only. The error is of type *Error.
func Parse(file string, body []byte) (*Settings, error) {
	var s Settings
	dec := toml.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return nil, decodeError(file, err)
	}
	return &s, s.check(file)
}

func decodeError(file string, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		line, _ := strict.Errors[0].Position()
		return &Error{
			fmt.Sprintf("%s:%d", file, line),
			fmt.Sprintf("unknown key %q", strings.Join(strict.Errors[0].Key(), ".")),
			"use name, domain, caller, peer, admin and platform only; everything else is in the published document",
		}
	}
	var syntax *toml.DecodeError
	if errors.As(err, &syntax) {
		line, _ := syntax.Position()
		file = fmt.Sprintf("%s:%d", file, line)
	}
	return &Error{file, strings.TrimPrefix(err.Error(), "toml: "), `write addresses as in caller = "10.0.0.7:7001"`}
}

func (s *Settings) check(file string) error {
	switch {
	case s.Name == "":
		return &Error{file, "name is missing", `write the name of this instance in the platform's instance list, as in name = "d1"`}
	case s.Domain == "":
		return &Error{file, "domain is missing", `write its failure domain, as in domain = "gent"`}
	}
	addresses := []struct {
		key  string
		addr netip.AddrPort
	}{{"caller", s.Caller}, {"peer", s.Peer}, {"admin", s.Admin}, {"platform", s.Platform}}
	seen := map[netip.AddrPort]string{}
	for _, a := range addresses {
		if !a.addr.IsValid() || a.addr.Port() == 0 {
			return &Error{file, a.key + " is missing or has no port", `write an IP address and a port, as in ` + a.key + ` = "10.0.0.7:7001"`}
		}
		if other, ok := seen[a.addr]; ok {
			return &Error{file, a.key + " and " + other + " are the same address", "use a different port for each"}
		}
		seen[a.addr] = a.key
	}
	return nil
}
