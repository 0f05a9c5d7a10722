package ctl

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/samber/lo"
	"golang.org/x/sync/errgroup"

	"github.com/azurespring/azurespring/pkg/admin"
)

const (
	// maxParallel is the number of nodes asked at once.
	maxParallel = 32
	// awaitInterval is the time between two rounds over the nodes that do not
	// have the version yet.
	awaitInterval = 300 * time.Millisecond
	// maxShownNodes bounds the names of missing nodes in a message.
	maxShownNodes = 5
)

// await returns the number of nodes once version or a later one is in force on
// every member that is not dead.
func (a *apply) await(ctx context.Context, s *session, c *client, version uint64) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, a.waitFor)
	defer cancel()
	confirmed := make(map[string]bool)
	shown := ""
	for {
		var members []admin.Member
		missing := []string{"the list of members"}
		if err := c.get(ctx, "/v1/members", &members); err == nil {
			missing = c.confirm(ctx, members, version, confirmed)
			if len(missing) == 0 {
				return len(members), nil
			}
		}
		if text := nodeNames(missing); text != shown {
			shown = text
			s.progress("version %d is in force on %d of %d nodes; missing: %s",
				version, len(members)-len(missing), len(members), text)
		}
		if !pause(ctx, awaitInterval) {
			return 0, &failure{
				Code: ExitNotInForce,
				Message: fmt.Sprintf("version %d was accepted, but after %s it is not known to be in force on: %s",
					version, a.waitFor, nodeNames(missing)),
				Advice: "The version spreads without further action; nodes that were cut off get it when they return. " +
					"See azurespringctl get members.",
			}
		}
	}
}

// confirm asks the members that are not confirmed yet and returns the names of
// those that do not have the version.
func (c *client) confirm(ctx context.Context, members []admin.Member, version uint64, confirmed map[string]bool) []string {
	var mu sync.Mutex
	var missing []string
	var group errgroup.Group
	group.SetLimit(maxParallel)
	for _, member := range members {
		if confirmed[member.Instance] {
			continue
		}
		group.Go(func() error {
			var status admin.Status
			err := c.call(ctx, member.AdminAddress, "GET", "/v1/status", nil, &status)
			mu.Lock()
			defer mu.Unlock()
			if err == nil && status.ConfigVersion >= version {
				confirmed[member.Instance] = true
			} else {
				missing = append(missing, member.Instance)
			}
			return nil
		})
	}
	// The functions return no errors.
	_ = group.Wait()
	return missing
}

func nodeNames(names []string) string {
	if len(names) <= maxShownNodes {
		return strings.Join(names, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(lo.Slice(names, 0, maxShownNodes), ", "), len(names)-maxShownNodes)
}
