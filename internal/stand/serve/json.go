package serve

import (
	"encoding/json"
	"net/http"
)

// Decode reads a JSON body of at most 1 MiB into v and rejects unknown fields. On
// an error it responds with status 400 and returns false.
func Decode(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<20))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		http.Error(w, "the body is not valid JSON for this path: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// Reply responds with v as JSON. Errors of the connection are ignored.
func Reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
