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

// hints explain keys in the forms.
var hints = map[string]string{
	"name":       "a-z, 0-9, '.', '_' and '-'",
	"rate":       "requests a second",
	"burst":      "requests at once",
	"open":       "open requests",
	"weight":     "share among tenants that wait",
	"first":      `first token or whole answer, as in 450ms`,
	"gap":        `time between tokens, as in 32ms; models only`,
	"priority":   "smaller is more urgent",
	"idempotent": "calls may be repeated",
	"deferrable": "requests may wait in the queue",
	"queue":      "requests that may wait",
	"waste":      "weight of wasted prefill against goodput, 0 to 1",
	"window":     "how long callers repeat a call, as in 10m",
	"retry":      "retries as a share of first attempts",
	"cell":       "engines that one daemon accounts for",
	"address":    "IP address and port",
	"cache":      "bytes of KV cache for each prompt token",
	"orders":     "the router may load models and change roles",
	"checks":     "refuses orders with an old fencing number",
}

// kinds are the tables of a document in the order of the page.
var kinds = []string{"tenant", "service", "engine", "server"}

// entries returns the addressable slice of a kind, or an invalid value.
func entries(d *policy.Document, kind string) reflect.Value {
	switch kind {
	case "tenant":
		return reflect.ValueOf(&d.Tenants).Elem()
	case "service":
		return reflect.ValueOf(&d.Service).Elem()
	case "engine":
		return reflect.ValueOf(&d.Engines).Elem()
	case "server":
		return reflect.ValueOf(&d.Servers).Elem()
	}
	return reflect.Value{}
}

// find returns the index of a name in a slice of entries, or -1.
func find(list reflect.Value, name string) int {
	for i := range list.Len() {
		if list.Index(i).FieldByName("Name").String() == name {
			return i
		}
	}
	return -1
}

func key(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("toml"), ",")
	return name
}

// text writes a value as the document does.
func text(v reflect.Value) string {
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

// fields returns the inputs for an entry.
func fields(d *policy.Document, entry reflect.Value) []field {
	var out []field
	for i := range entry.NumField() {
		name := key(entry.Type().Field(i))
		v := entry.Field(i)
		f := field{Name: name, Value: text(v), Hint: hints[name], Choices: choices(d, entry.Type(), name)}
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
		for _, s := range d.Service {
			if s.Kind == kind {
				names = append(names, s.Name)
			}
		}
		return names
	}
	return nil
}

// fill sets an entry from a submitted form. The returned fields carry the values
// as they were sent and a problem for each that can't be read.
func fill(d *policy.Document, entry reflect.Value, form url.Values) ([]field, bool) {
	ok := true
	out := fields(d, entry)
	for i := range out {
		f := &out[i]
		sent := strings.TrimSpace(form.Get(f.Name))
		f.Value, f.Checked = sent, sent == "on"
		if err := set(entry.Field(i), sent); err != nil {
			f.Problem, ok = "can't be read; write "+f.Hint, false
		}
	}
	return out, ok
}

func set(v reflect.Value, s string) error {
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
		return fmt.Errorf("no input for %s", v.Type())
	}
	return nil
}
