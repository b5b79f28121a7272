package fleet_test

import (
	"fmt"

	"citronrock.example/citronrock/internal/route/fleet"
)

func ExampleRevision() {
	before, after := fleet.Revision{Era: 1, Number: 900}, fleet.Revision{Era: 2, Number: 7}
	fmt.Println(before, after, before.Before(after))
	// Output: 1/900 2/7 true
}
