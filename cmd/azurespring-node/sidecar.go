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

// Timeouts of calls to the platform's store, which usually responds within 4 ms.
const (
	storeDialTimeout = 500 * time.Millisecond
	storeCallTimeout = time.Second
	// meshStateWatchTimeout bounds one watch call for instance entries. A watch on a
	// blackholed connection, or one that the store has lost, receives no changes until
	// then. Nodes correct each other's outdated entries with every call.
	meshStateWatchTimeout = 10 * time.Second
	// maxWatchTimeout is the longest watch timeout that the store accepts.
	maxWatchTimeout = 30 * time.Second
	// defaultWatchDebounce combines changes that follow each other quickly.
	defaultWatchDebounce = 150 * time.Millisecond
	// meshStateWatchDebounce is longer, because the entries of all nodes change when they
	// start. Until an entry is read, the gates correct its readers.
	meshStateWatchDebounce = 400 * time.Millisecond
)

// firstReadHeartbeats is the number of heartbeat intervals over which the nodes of a new
// fleet begin to read the store: endpoints announce themselves within the first, after
// which the entries of their nodes are stored.
const firstReadHeartbeats = 2

// configurationDebounceRatio is the debounce time of the configuration watch as a
// fraction of the time within which a configuration must be applied: operators send
// bursts of configurations about 200 ms apart.
const configurationDebounceRatio = 0.25

// configurationPollRatio and rolloutPollRatio are the mean times between two polls of
// the store by any of the nodes that read it, as fractions of the time within which a
// configuration must be applied. With 0.06, no node polls within two fifths of that
// time in 1 of 800 cases; the remaining time is needed for the update to spread. A node
// that has not yet read a rollout is corrected by the rejections of the endpoints' local
// admission.
const (
	configurationPollRatio = 0.06
	rolloutPollRatio       = 0.25
)

// settingsPollInterval is the interval at which the settings file is checked for
// changes, which may come without a signal.
const settingsPollInterval = 2 * time.Second

// minMeanWatchTimeout bounds the rate at which the only reader of a small fleet polls.
const minMeanWatchTimeout = 250 * time.Millisecond

// watchTimeout returns the timeout of a watch call for a kind. applyTimeout is the time
// within which a configuration must be applied, readers the number of nodes that read
// the store. For configurations and rollouts the timeout grows with that number, so that
// the fleet's call rate does not grow with its size. A change ends all watches at the
// same moment; with exponentially distributed timeouts, some node nevertheless polls
// again soon. The others learn of the change from that node with their calls.
func watchTimeout(kind store.Kind, applyTimeout time.Duration, readers int) time.Duration {
	ratio := configurationPollRatio
	switch kind {
	case store.KindMeshState:
		return meshStateWatchTimeout
	case store.KindRollout:
		ratio = rolloutPollRatio
	}
	mean := max(ratio*float64(applyTimeout)*float64(readers), float64(minMeanWatchTimeout))
	return min(time.Duration(mean*rand.ExpFloat64()), maxWatchTimeout)
}

// revokePollFraction is the longest time between two polls of the configuration, as a
// fraction of the time within which a node that must be sure of its keys has to hear from
// the store: two polls, the pause after a change and the frames over three followers fit.
const revokePollFraction = 0.25

// limitWatchTimeout shortens the watch timeout of the configuration where nodes must be sure
// of their keys.
func limitWatchTimeout(kind store.Kind, timeout time.Duration, s sidecar.Settings) time.Duration {
	if kind != store.KindConfiguration || !s.FailClosed {
		return timeout
	}
	return min(timeout, time.Duration(revokePollFraction*float64(s.RevokeTimeout)))
}

// watchDebounce returns the time that a watch of a kind waits for further changes.
func watchDebounce(kind store.Kind, applyTimeout time.Duration) time.Duration {
	switch kind {
	case store.KindConfiguration:
		return time.Duration(configurationDebounceRatio * float64(applyTimeout))
	case store.KindMeshState:
		return meshStateWatchDebounce
	}
	return defaultWatchDebounce
}

// evacuationPollRatio is the mean time between two polls of the evacuations by any of the
// nodes that read the store, as a fraction of the time within which an evacuation must be
// in force. With 0.1, no node polls within three fifths of that time in 1 of 400 cases; the
// others learn of the change with their calls.
const evacuationPollRatio = 0.1

// evacuationWatchTimeout returns the timeout of a watch call for evacuations, which must be
// in force within timeout. It is drawn like that of watchTimeout.
func evacuationWatchTimeout(timeout time.Duration, readers int) time.Duration {
	mean := max(evacuationPollRatio*float64(timeout)*float64(readers), float64(minMeanWatchTimeout))
	return min(time.Duration(mean*rand.ExpFloat64()), maxWatchTimeout)
}

// nodeCallLimits bounds the store calls of one node, so that a faulty node does not use
// up the rate limit that all nodes share.
func nodeCallLimits() store.CallLimits {
	return store.CallLimits{
		Default: store.RateLimits{WritesPerSecond: 5, ReadsPerSecond: 10, WriteBurst: 10, ReadBurst: 20}, MaxWatches: 4,
	}
}

// zoneOverflowEnvVar is the environment variable of -zone-overflow.
const zoneOverflowEnvVar = "AZURESPRING_ZONE_OVERFLOW"

// runSidecar runs the sidecar for the users' platform and returns the exit code.
func runSidecar(args []string) int {
	// Signals are handled during the whole life of the process: without a handler, a
	// SIGHUP during startup or shutdown would end it at once.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	flags := flag.NewFlagSet("azurespring-node "+sidecarCommand, flag.ContinueOnError)
	settingsPath := flags.String("settings", os.Getenv(platform.SettingsEnvVar),
		"path of the platform's settings file (environment: "+platform.SettingsEnvVar+")")
	zoneOverflow := flags.String("zone-overflow", os.Getenv(zoneOverflowEnvVar),
		"whether the load decides what leaves the zone: auto, on or off (environment: "+zoneOverflowEnvVar+")")
	check := flags.Bool("check", false, "check the settings file and exit")
	clientLimits := clientFlags(flags)
	if err := parseFlags(flags, args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return 0
		}
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	settings, err := platform.LoadSettings(*settingsPath)
	if err := errors.Join(err, clientLimits.Validate()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	settings.Clients = *clientLimits
	if settings.ZoneOverflow, err = sidecar.ParseZoneOverflow(*zoneOverflow); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	settings = settings.WithDefaults()
	settings.FirstReadSpread = firstReadHeartbeats * settings.HeartbeatInterval
	if *check {
		fmt.Println("settings are valid")
		return 0
	}
	var node *sidecar.Node
	client := platform.NewStore(platform.StoreOptions{
		Address: settings.StoreAddress, Dial: exchange.Dialer{Timeout: storeDialTimeout}.DialContext,
		CallTimeout: storeCallTimeout,
		WatchTimeout: func(kind store.Kind) time.Duration {
			if kind == store.KindEvacuation {
				return evacuationWatchTimeout(settings.EvacuationTimeout, node.ReaderCount())
			}
			return limitWatchTimeout(kind, watchTimeout(kind, settings.ConfigurationApplyTimeout, node.ReaderCount()), settings)
		},
		WatchDebounce: func(kind store.Kind) time.Duration { return watchDebounce(kind, settings.ConfigurationApplyTimeout) },
		StaleReads:    map[store.Kind]bool{store.KindMeshState: true},
	})
	defer client.Close()
	node, err = sidecar.New(sidecar.Deps{
		Settings: settings, HeaderNames: platform.HeaderNames(),
		Store: client, StoreCallLimits: nodeCallLimits(), Codec: platform.DocumentCodec{},
		ReadinessPath:          platform.ReadinessPath,
		NewAnnouncementHandler: func(r sidecar.Registry) http.Handler { return platform.AnnouncementHandler(r) },
		LogOutput:              os.Stdout, Version: static.BuildVersion(),
	})
	if err == nil {
		go watchSettings(ctx, hangups, *settingsPath, node)
		err = node.Run(ctx)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	return 0
}

// watchSettings reloads the settings file on SIGHUP and when its modification time
// changes.
func watchSettings(ctx context.Context, hangups <-chan os.Signal, path string, node *sidecar.Node) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastModTime := settingsModTime(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
			if modTime := settingsModTime(path); modTime.Equal(lastModTime) {
				continue
			}
		}
		lastModTime = settingsModTime(path)
		settings, err := platform.LoadSettings(path)
		if err != nil {
			node.LogReloadFailure(err)
			continue
		}
		node.Reload(settings)
	}
}

// settingsModTime returns the modification time of the file, or the zero time if the
// file cannot be read, so that a missing file counts as one change.
func settingsModTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
