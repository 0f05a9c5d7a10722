package sidecar_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/azurespring/azurespring/pkg/sidecar"
	"github.com/azurespring/azurespring/platform"
)

// The fourth figure of an endpoint's load must reach the entry nodes and put their overflow
// controllers in charge, unless the mode is off. Sixteen clients at one node have two
// endpoints: one slot close by that takes 60 ms, and eight in another region.
func TestStatedSpeedsPutOverflowControllersInCharge(t *testing.T) {
	for _, mode := range []sidecar.ZoneOverflow{sidecar.OverflowAuto, sidecar.OverflowOff} {
		t.Run(string(mode), func(t *testing.T) {
			f := newFleet(t)
			for i, slots := range []int{1, 8} {
				e := endpoint(fmt.Sprint("e", i))
				e.Slots = slots
				e.Handler = func(w http.ResponseWriter, r *http.Request) {
					time.Sleep(60 * time.Millisecond)
					w.Header().Set(platform.HeaderNames().ServerLoad, fmt.Sprintf("1,0,%d,100", slots))
					e.Sign(w, r)
				}
				n := f.prepareNode(fmt.Sprint("d", i), e)
				n.settings.ZoneOverflow = mode
				f.startNode(n)
				f.nodes = append(f.nodes, n)
			}
			f.waitUntilReady()
			stop := make(chan struct{})
			var running sync.WaitGroup
			for worker := range 16 {
				running.Go(func() {
					for i := 0; ; i++ {
						select {
						case <-stop:
							return
						default:
							f.nodes[0].get("/safe/x", fmt.Sprint("w", worker, "-", i))
						}
					}
				})
			}
			f.waitUntil("requests reach both endpoints", func() bool {
				return f.nodes[0].endpoint.RunCount() > 20 && f.nodes[1].endpoint.RunCount() > 20
			})
			if mode == sidecar.OverflowAuto {
				f.waitUntil("the controller reports its share", func() bool { return len(f.nodes[0].log.events("overflow_changed")) > 0 })
			}
			close(stop)
			running.Wait()
			if mode == sidecar.OverflowOff {
				assert.Equal(t, len(f.nodes[0].log.events("overflow_changed")), 0)
			}
		})
	}
}
