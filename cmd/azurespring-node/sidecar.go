package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/azurespring/azurespring/pkg/config/static"
	"github.com/azurespring/azurespring/pkg/exchange"
	store "github.com/azurespring/azurespring/pkg/platform"
	"github.com/azurespring/azurespring/pkg/sidecar"
	"github.com/azurespring/azurespring/platform"
)

// Times of calls to the platform's store, which usually answers in 4 ms.
const (
	storeDialTimeout = 500 * time.Millisecond
	storeCallTimeout = time.Second
	// stateWatchWait is how long a watch of instances' entries waits in one call: one
	// on a connection that went silent, or that the store forgot, hears nothing until
	// then. Nodes correct each other's outdated entries with every call.
	stateWatchWait = 10 * time.Second
	// longestWatchWait is the longest wait that the store allows.
	longestWatchWait = 30 * time.Second
	// storeWatchPause lets changes gather that come in quick succession.
	storeWatchPause = 150 * time.Millisecond
)

// configurationPauseShare is the part of the time within which a configuration
// must be in force that its watch pauses after a change: operators send storms of
// configurations some 200 ms apart.
const configurationPauseShare = 0.25

// configurationAskShare and rolloutAskShare are the parts of the time within which a
// configuration must be in force in which, on average, one node of the fleet asks the
// store anew for configurations and for rollouts. With 0.06, none asks within two
// fifths of that time in 1 of 800 cases; the rest is needed for the news to spread. A
// node that has not read of a rollout is corrected by the gates.
const (
	configurationAskShare = 0.06
	rolloutAskShare       = 0.25
)

// settingsPoll is the time between two looks at the settings file, which may
// change without a signal.
const settingsPoll = 2 * time.Second

// watchWait returns how long a watch of a kind waits. lag is the time within which
// a configuration must be in force, instances the number of nodes. Watches of
// configurations and rollouts wait longer the more nodes there are, so that the
// fleet's calls do not grow with its size. A change wakes all of them at once; the
// exponential distribution makes some node ask again soon all the same. The others
// learn from that node by their calls.
func watchWait(kind store.Kind, lag time.Duration, instances int) time.Duration {
	share := configurationAskShare
	switch kind {
	case store.KindMeshState:
		return stateWatchWait
	case store.KindRollout:
		share = rolloutAskShare
	}
	mean := max(share*float64(lag)*float64(instances), float64(lag))
	return min(time.Duration(mean*rand.ExpFloat64()), longestWatchWait)
}

// watchPause returns the pause of a watch of a kind after changes.
func watchPause(kind store.Kind, lag time.Duration) time.Duration {
	if kind == store.KindConfiguration {
		return time.Duration(configurationPauseShare * float64(lag))
	}
	return storeWatchPause
}

// nodeBudget bounds the store calls of one node, so that a faulty one does not
// use up the rates that all nodes share.
func nodeBudget() store.CallLimits {
	return store.CallLimits{
		Default: store.RateLimits{WritesPerSecond: 5, ReadsPerSecond: 10, WriteBurst: 10, ReadBurst: 20}, MaxWatches: 3,
	}
}

// runSidecar runs the node beside an endpoint on the users' platform.
func runSidecar(args []string) int {
	// Signals are taken from the start and until the end of the process: without
	// a handler, a SIGHUP during a start or stop ends it at once.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	flags := flag.NewFlagSet("azurespring-node "+sidecarCommand, flag.ContinueOnError)
	path := flags.String("settings", os.Getenv(platform.SettingsEnvVar),
		"path of the platform's settings file (environment: "+platform.SettingsEnvVar+")")
	check := flags.Bool("check", false, "check the settings file and exit")
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return 0
		}
		return exitUsage
	}
	settings, err := platform.LoadSettings(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	settings = settings.WithDefaults()
	if *check {
		fmt.Println("settings are valid")
		return 0
	}
	var node *sidecar.Node
	client := platform.NewStore(platform.StoreOptions{
		Address: settings.StoreAddress, Dial: exchange.Dialer{Timeout: storeDialTimeout}.DialContext,
		CallTimeout: storeCallTimeout,
		WatchTimeout: func(kind store.Kind) time.Duration {
			return watchWait(kind, settings.ConfigurationApplyTimeout, node.InstanceCount())
		},
		WatchDebounce: func(kind store.Kind) time.Duration { return watchPause(kind, settings.ConfigurationApplyTimeout) },
		StaleWatches:  map[store.Kind]bool{store.KindMeshState: true},
	})
	defer client.Close()
	node, err = sidecar.New(sidecar.Deps{
		Settings: settings, HeaderNames: platform.HeaderNames(),
		Store: client, StoreCallLimits: nodeBudget(), Codec: platform.DocumentCodec{},
		ReadinessPath:          platform.ReadinessPath,
		NewAnnouncementHandler: func(r sidecar.Registry) http.Handler { return platform.AnnouncementHandler(r) },
		LogOutput:              os.Stdout, Version: static.BuildVersion(),
	})
	if err == nil {
		go watchSettings(ctx, hangups, *path, node)
		err = node.Run(ctx)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	return 0
}

// watchSettings reloads the settings file on SIGHUP and when it has changed.
func watchSettings(ctx context.Context, hangups <-chan os.Signal, path string, node *sidecar.Node) {
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	seen := modified(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
			if at := modified(path); at.Equal(seen) {
				continue
			}
		}
		seen = modified(path)
		settings, err := platform.LoadSettings(path)
		if err != nil {
			node.LogReloadFailure(err)
			continue
		}
		node.Reload(settings)
	}
}

// modified returns the time of the file's last change; zero if it has none, so
// that a missing file counts as a change once.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
