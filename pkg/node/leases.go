package node

import (
	"github.com/sirupsen/logrus"

	"github.com/azurespring/azurespring/pkg/lease"
	"github.com/azurespring/azurespring/pkg/move"
	"github.com/azurespring/azurespring/pkg/platform"
)

// newLeaseFactory returns the function that creates the leases by which deciders of
// moves are elected.
func newLeaseFactory(store platform.Store, holder string, logger *logrus.Logger) move.LeaseFactory {
	return func(name string, isCandidate func() bool, minFencingToken func() uint64) move.Lease {
		l, err := lease.New(lease.Options{
			Store: store, Name: name, Holder: holder, IsCandidate: isCandidate, MinFencingToken: minFencingToken, Logger: logger,
		})
		if err != nil {
			logger.WithError(err).WithField("lease", name).Error("cannot create lease")
			return nil
		}
		return l
	}
}
