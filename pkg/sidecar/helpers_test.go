package sidecar

import (
	"time"

	"github.com/azurespring/azurespring/pkg/timeline"
)

// testTimeout bounds the waits of the tests.
const testTimeout = 20 * time.Second

var testOrigin = timeline.Origin{Instance: "n", FailureDomain: "d", Region: "r"}

type writerFunc func(p []byte) (int, error)

func (f writerFunc) Write(p []byte) (int, error) { return f(p) }
