package citronrock_test

import (
	"errors"
	"fmt"
	"testing"

	"citronrock.example/citronrock"
)

// Guards against a failure without a kind being reported as not run.
func TestKindOf(t *testing.T) {
	cases := map[string]struct {
		err  error
		want citronrock.Kind
	}{
		"typed":   {&citronrock.Error{Kind: citronrock.NotRun}, citronrock.NotRun},
		"wrapped": {fmt.Errorf("call: %w", &citronrock.Error{Kind: citronrock.Failed}), citronrock.Failed},
		"untyped": {errors.New("broken pipe"), citronrock.Unknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := citronrock.KindOf(c.err); got != c.want {
				t.Errorf("KindOf = %v, want %v", got, c.want)
			}
		})
	}
}

func ExampleError() {
	err := &citronrock.Error{
		Kind:   citronrock.NotRun,
		Reason: citronrock.ReasonLimit,
		Remedy: "tenant agentschap has 200 open requests, its limit; wait for some to end",
	}
	fmt.Println(err)
	// Output: notrun (limit): tenant agentschap has 200 open requests, its limit; wait for some to end
}
