package sidecar

import (
	"time"

	"github.com/azurespring/azurespring/pkg/timeline"
)

// deadline bounds what the tests wait for.
const deadline = 20 * time.Second

var testOrigin = timeline.Origin{Instance: "n", FailureDomain: "d", Region: "r"}

type writerFunc func(p []byte) (int, error)

func (f writerFunc) Write(p []byte) (int, error) { return f(p) }
