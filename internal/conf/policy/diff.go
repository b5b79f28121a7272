package policy

import (
	"fmt"
	"maps"
	"slices"

	"github.com/pelletier/go-toml/v2"
)

// Change is one difference between two documents.
type Change struct {
	// Path is the entry and the key, as in "service taalpost gap".
	Path string `json:"path"`
	// Old is empty for an entry that was added, New for one that was removed.
	Old string `json:"old"`
	New string `json:"new"`
}

// Diff returns the changes from a to b, sorted by path.
func Diff(a, b *Document) ([]Change, error) {
	from, err := flatten(a)
	if err != nil {
		return nil, err
	}
	to, err := flatten(b)
	if err != nil {
		return nil, err
	}
	var out []Change
	keys := slices.Collect(maps.Keys(from))
	for k := range to {
		if _, ok := from[k]; !ok {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	for _, k := range keys {
		if from[k] != to[k] {
			out = append(out, Change{Path: k, Old: from[k], New: to[k]})
		}
	}
	return out, nil
}

// flatten returns the values of a document by table, entry name and key, so that
// reordered entries are no change.
func flatten(d *Document) (map[string]string, error) {
	body, err := Encode(d)
	if err != nil {
		return nil, err
	}
	var tree map[string]any
	if err := toml.Unmarshal(body, &tree); err != nil {
		return nil, err
	}
	out := map[string]string{}
	for table, v := range tree {
		entries, ok := v.([]any)
		if !ok {
			out[table] = fmt.Sprint(v)
			continue
		}
		for _, e := range entries {
			entry, ok := e.(map[string]any)
			if !ok {
				continue
			}
			for key, value := range entry {
				if key != "name" {
					out[fmt.Sprintf("%s %v %s", table, entry["name"], key)] = fmt.Sprint(value)
				}
			}
		}
	}
	return out, nil
}
