package citronrock_test

import (
	"fmt"

	"citronrock.example/citronrock"
)

func ExampleError() {
	err := &citronrock.Error{
		Kind:   citronrock.NotRun,
		Reason: citronrock.ReasonLimit,
		Remedy: "tenant agentschap has 200 open requests, its limit; wait for some to end",
	}
	fmt.Println(err)
	// Output: notrun (limit): tenant agentschap has 200 open requests, its limit; wait for some to end
}
