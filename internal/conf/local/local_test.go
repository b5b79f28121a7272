package local_test

import (
	"fmt"
	"strings"
	"testing"

	"citronrock.example/citronrock/internal/conf/local"
)

const good = `name = "d1"
domain = "gent"
caller = "127.0.0.1:7001"
peer = "127.0.0.1:7101"
admin = "127.0.0.1:7201"
platform = "127.0.0.1:7000"
`

// Guards against a daemon starting with invalid settings.
func TestParseRejects(t *testing.T) {
	cases := map[string]struct{ old, text, want string }{
		"unknown key":  {`domain = "gent"`, "domain = \"gent\"\nworkers = 4", `s.toml:3: unknown key "workers"`},
		"host name":    {"127.0.0.1:7001", "localhost:7001", "s.toml:3"},
		"no name":      {`name = "d1"`, "", "name is missing"},
		"no domain":    {`domain = "gent"`, "", "domain is missing"},
		"no port":      {"127.0.0.1:7101", "127.0.0.1:0", "peer is missing"},
		"same address": {"127.0.0.1:7201", "127.0.0.1:7101", "admin and peer are the same"},
		"no platform":  {`platform = "127.0.0.1:7000"`, "", "platform is missing"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := local.Parse("s.toml", []byte(strings.Replace(good, c.old, c.text, 1)))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("error %v does not contain %q", err, c.want)
			}
		})
	}
}

func ExampleParse() {
	s, err := local.Parse("s.toml", []byte(good))
	fmt.Println(s.Name, s.Caller, err)
	// Output: d1 127.0.0.1:7001 <nil>
}
