package webui

import (
	"encoding"
	"fmt"
	"net/url"
	"reflect"
	"strconv"
	"strings"

	"citronrock.example/citronrock/internal/conf/policy"
)

// field is one input of a form.
type field struct {
	Name, Value string
	// Choices makes the input a selection.
	Choices []string
	Check   bool
	Checked bool
	Hint    string
	Problem string
}

// hints holds the text shown below an input, by the key of the document.
var hints = map[string]string{
	"name":       "a-z, 0-9, '.', '_' and '-'",
	"rate":       "requests per second",
	"burst":      "requests at once",
	"open":       "maximum number of requests in flight",
	"weight":     "share of capacity among tenants with queued requests",
	"first":      `target time to the first token or the whole answer, such as 450ms`,
	"gap":        `target time between tokens, such as 32ms; models only`,
	"priority":   "number; smaller is more urgent",
	"idempotent": "calls may be retried",
	"deferrable": "requests may wait in the queue",
	"queue":      "maximum number of queued requests",
	"waste":      "weight of wasted prefill against goodput, 0 to 1",
	"window":     "how long callers retry a call with the same key, such as 10m",
	"retry":      "retry budget, as a share of first attempts",
	"cell":       "group of engines with one owner daemon",
	"address":    "IP address and port",
	"cache":      "bytes of KV cache per prompt token",
	"orders":     "the router may load models and change roles",
	"checks":     "rejects orders with an outdated fencing token",
}

// kinds lists the tables of a document in the order in which the page shows them.
var kinds = []string{"tenant", "service", "engine", "server"}

// entries returns the settable slice of the entries of a kind, or the zero
// reflect.Value for an unknown kind.
func entries(d *policy.Document, kind string) reflect.Value {
	switch kind {
	case "tenant":
		return reflect.ValueOf(&d.Tenants).Elem()
	case "service":
		return reflect.ValueOf(&d.Services).Elem()
	case "engine":
		return reflect.ValueOf(&d.Engines).Elem()
	case "server":
		return reflect.ValueOf(&d.Servers).Elem()
	}
	return reflect.Value{}
}

// indexByName returns the index of the entry with a name, or -1.
func indexByName(list reflect.Value, name string) int {
	for i := range list.Len() {
		if list.Index(i).FieldByName("Name").String() == name {
			return i
		}
	}
	return -1
}

func tomlKey(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("toml"), ",")
	return name
}

// formatValue formats a value as in the document. Zero values other than booleans
// are empty.
func formatValue(v reflect.Value) string {
	if v.IsZero() && v.Kind() != reflect.Bool {
		return ""
	}
	if m, ok := v.Interface().(encoding.TextMarshaler); ok {
		b, err := m.MarshalText()
		if err == nil {
			return string(b)
		}
	}
	return fmt.Sprint(v.Interface())
}

// formFields returns one input for each key of an entry.
func formFields(d *policy.Document, entry reflect.Value) []field {
	var out []field
	for i := range entry.NumField() {
		name := tomlKey(entry.Type().Field(i))
		v := entry.Field(i)
		f := field{Name: name, Value: formatValue(v), Hint: hints[name], Choices: choices(d, entry.Type(), name)}
		if v.Kind() == reflect.Bool {
			f.Check, f.Checked = true, v.Bool()
		}
		out = append(out, f)
	}
	return out
}

func choices(d *policy.Document, t reflect.Type, name string) []string {
	switch name {
	case "kind":
		return []string{policy.KindModel, policy.KindPlain}
	case "role":
		return []string{policy.RolePrefill, policy.RoleDecode, policy.RoleBoth}
	case "service":
		kind := policy.KindPlain
		if t == reflect.TypeFor[policy.Engine]() {
			kind = policy.KindModel
		}
		var names []string
		for _, s := range d.Services {
			if s.Kind == kind {
				names = append(names, s.Name)
			}
		}
		return names
	}
	return nil
}

// fillEntry sets an entry from a submitted form. The returned fields hold the values
// as submitted, with a problem for each that can't be parsed; the result is false when
// there is one.
func fillEntry(d *policy.Document, entry reflect.Value, form url.Values) ([]field, bool) {
	ok := true
	out := formFields(d, entry)
	for i := range out {
		f := &out[i]
		sent := strings.TrimSpace(form.Get(f.Name))
		f.Value, f.Checked = sent, sent == "on"
		if err := setValue(entry.Field(i), sent); err != nil {
			f.Problem, ok = "can't be parsed; expected "+f.Hint, false
		}
	}
	return out, ok
}

func setValue(v reflect.Value, s string) error {
	if v.Kind() == reflect.Bool {
		v.SetBool(s == "on")
		return nil
	}
	if s == "" {
		v.SetZero()
		return nil
	}
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		return u.UnmarshalText([]byte(s))
	}
	switch v.Kind() {
	case reflect.String:
		v.SetString(s)
	case reflect.Float64:
		n, err := strconv.ParseFloat(s, 64)
		v.SetFloat(n)
		return err
	case reflect.Int:
		n, err := strconv.Atoi(s)
		v.SetInt(int64(n))
		return err
	case reflect.Uint32, reflect.Uint64:
		n, err := strconv.ParseUint(s, 10, v.Type().Bits())
		v.SetUint(n)
		return err
	default:
		return fmt.Errorf("unsupported type %s", v.Type())
	}
	return nil
}
