package policy_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"citronrock.example/citronrock/internal/conf/policy"
)

func sample(t *testing.T) string {
	t.Helper()
	body, err := os.ReadFile("testdata/agentschap.toml")
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}

// Guards against accepting a document that a daemon could not use.
func TestParseRejects(t *testing.T) {
	base := sample(t)
	replace := func(old, text string) string {
		if !strings.Contains(base, old) {
			t.Fatalf("the sample document does not contain %q", old)
		}
		return strings.Replace(base, old, text, 1)
	}
	cases := map[string]struct{ body, want string }{
		"unknown key":       {replace("burst = 400", "brust = 400"), `doc.toml:6: unknown key "tenant.brust"`},
		"wrong type":        {replace("open = 600", `open = "many"`), "doc.toml:7"},
		"bad duration":      {replace(`"450ms"`, `"soon"`), "doc.toml:13"},
		"bad address":       {replace("127.0.0.1:9001", "localhost:9001"), "doc.toml:34"},
		"not TOML":          {"version = ", "doc.toml:1"},
		"no version":        {replace("version = 1\n", ""), "version is missing"},
		"duplicate name":    {replace(`name = "tp-2"`, `name = "tp-1"`), `backend name "tp-1" is used twice`},
		"missing target":    {replace("gap = \"32ms\"\n", ""), "target gap is missing"},
		"dangling service":  {replace(`service = "taalpost"`, `service = "talpost"`), `service "talpost" is not defined`},
		"wrong kind":        {replace(`service = "bestelbalie"`, `service = "taalpost"`), `of kind "model"`},
		"no decode":         {replace(`role = "decode"`, `role = "prefill"`), "no engine for decode"},
		"no repeat window":  {replace("window = \"10m\"\n", ""), "window is missing"},
		"no limit":          {replace("rate = 400.0\n", ""), "rate is missing"},
		"name with a slash": {replace(`name = "agentschap"`, `name = "a/b"`), "is not valid"},
		"oversized":         {base + strings.Repeat("#", policy.MaxDocumentBytes), "the platform's limit of 1048576 bytes"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := policy.Parse("doc.toml", []byte(c.body))
			if err == nil {
				t.Fatal("document was accepted")
			}
			if !strings.Contains(err.Error(), c.want) {
				t.Errorf("error %q does not contain %q", err, c.want)
			}
			if !strings.Contains(err.Error(), "; ") {
				t.Errorf("error %q has no remedy", err)
			}
		})
	}
}

// Guards against publishing a document whose version is not greater than the
// current one.
func TestParseNextVersion(t *testing.T) {
	if _, err := policy.ParseNext("doc.toml", []byte(sample(t)), 1); err == nil {
		t.Error("version 1 was accepted after version 1")
	}
	if _, err := policy.ParseNext("doc.toml", []byte(sample(t)), 0); err != nil {
		t.Error(err)
	}
}

// Guards against the console encoding a document that daemons decode differently.
func TestEncodeParsesBack(t *testing.T) {
	d, err := policy.Parse("doc.toml", []byte(sample(t)))
	if err != nil {
		t.Fatal(err)
	}
	body, err := policy.Encode(d)
	if err != nil {
		t.Fatal(err)
	}
	again, err := policy.Parse("again.toml", body)
	if err != nil {
		t.Fatal(err)
	}
	changes, err := policy.Diff(d, again)
	if err != nil || len(changes) > 0 {
		t.Errorf("Diff = %v, %v", changes, err)
	}
}

func ExampleDiff() {
	body, _ := os.ReadFile("testdata/agentschap.toml")
	a, _ := policy.Parse("a.toml", body)
	b, _ := policy.Parse("b.toml", []byte(strings.Replace(string(body), `"32ms"`, `"40ms"`, 1)))
	changes, _ := policy.Diff(a, b)
	for _, c := range changes {
		fmt.Printf("%s: %s -> %s\n", c.Path, c.Old, c.New)
	}
	// Output: service taalpost gap: 32ms -> 40ms
}
