package pool_test

import (
	"fmt"

	"citronrock.example/citronrock/internal/route/pool"
)

func ExampleRevision() {
	before, after := pool.Revision{Era: 1, Number: 900}, pool.Revision{Era: 2, Number: 7}
	fmt.Println(before, after, before.Before(after))
	// Output: 1/900 2/7 true
}
