// Command azurespring-node is the node that is co-located with each target: it accepts
// calls, forwards them to targets and distributes configuration.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"

	"github.com/azurespring/azurespring/pkg/config/static"
	"github.com/azurespring/azurespring/pkg/node"
	"github.com/azurespring/azurespring/pkg/timeline"
)

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2
)

// sidecarCommand is the subcommand that runs the sidecar for the users' platform. It
// reads the platform's settings file.
const sidecarCommand = "sidecar"

func main() {
	if len(os.Args) > 1 && os.Args[1] == sidecarCommand {
		os.Exit(runSidecar(os.Args[2:]))
	}
	os.Exit(run())
}

func run() int {
	settings, err := static.Load(os.Args[1:], os.Environ(), os.Stdout)
	switch {
	case errors.Is(err, static.ErrInfoPrinted), errors.Is(err, flag.ErrHelp):
		return 0
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	var running atomic.Pointer[node.Node]
	logger := timeline.NewLogger(timeline.LoggerOptions{
		Output: os.Stderr, Level: settings.LogLevel,
		Origin: timeline.Origin{
			Instance: settings.Instance, FailureDomain: settings.FailureDomain, Region: settings.Region,
		},
		ConfigVersion: func() uint64 {
			if n := running.Load(); n != nil {
				return n.ConfigVersion()
			}
			return 0
		},
	})
	if len(settings.UnknownVariables) > 0 {
		logger.WithField("variables", settings.UnknownVariables).Warn("environment variables match no setting")
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	n, err := node.New(settings, static.BuildVersion(), logger)
	if err == nil {
		running.Store(n)
		err = n.Run(ctx)
	}
	if err != nil {
		logger.WithError(err).Error("node failed")
		return exitFailure
	}
	return 0
}
