package node

import (
	"context"
	"errors"
	"fmt"

	"github.com/samber/do/v2"

	"github.com/azurespring/azurespring/pkg/admin"
	"github.com/azurespring/azurespring/pkg/config/dynamic"
	"github.com/azurespring/azurespring/pkg/distribution"
	"github.com/azurespring/azurespring/pkg/membership"
	"github.com/azurespring/azurespring/pkg/move"
	"github.com/azurespring/azurespring/pkg/report"
	"github.com/azurespring/azurespring/pkg/timeline"
)

func (n *Node) newAdminServer(i do.Injector) (*admin.Server, error) {
	return admin.New(admin.Options{
		Configurations: configurationService{do.MustInvoke[*distribution.Service](i)},
		Members:        do.MustInvoke[*membership.Service](i),
		Moves:          do.MustInvoke[*move.Service](i),
		Reports:        do.MustInvoke[*report.Service](i),
		Events:         do.MustInvoke[*timeline.EventLog](i),
		Node:           n,
		Metrics:        do.MustInvoke[*metrics](i).handler,
		TokenFile:      n.settings.AdminTokenFile,
		Version:        n.version,
	}), nil
}

// Status implements admin.NodeProvider.
func (n *Node) Status() admin.NodeStatus {
	status := admin.NodeStatus{
		Instance: n.settings.Instance, Region: n.settings.Region, FailureDomain: n.settings.FailureDomain,
		Started: n.started, PlatformCalls: make(map[string]uint64), Traffic: admin.TrafficFromStats(n.transport.Stats()),
	}
	for call, count := range n.store.CallCounts() {
		status.PlatformCalls[fmt.Sprintf("%s %s", call.Verb, call.Kind)] = uint64(count)
	}
	return status
}

// configurationService adapts distribution.Service to admin.ConfigurationService
// by converting its errors.
type configurationService struct{ *distribution.Service }

// Apply implements admin.ConfigurationService.
func (c configurationService) Apply(
	ctx context.Context, config dynamic.Config, changeID string, baseVersion uint64,
) (version uint64, already bool, err error) {
	result, err := c.Service.Apply(ctx, distribution.ApplyRequest{Config: config, ChangeID: changeID, BaseVersion: baseVersion})
	var conflict *distribution.ConflictError
	var unknown *distribution.UnknownOutcomeError
	switch {
	case errors.As(err, &conflict):
		return 0, false, &admin.ConflictError{
			BaseVersion: conflict.BaseVersion, CurrentVersion: conflict.CurrentVersion, ChangedParts: conflict.PartNames,
		}
	case errors.As(err, &unknown):
		return 0, false, &admin.OutcomeUnknownError{ChangeID: unknown.ChangeID, Cause: unknown.Cause}
	}
	return result.Version, result.AlreadyApplied, err
}
