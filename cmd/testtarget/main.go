// Command testtarget runs a fake target for tests.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/sirupsen/logrus"

	"github.com/azurespring/azurespring/internal/testtarget"
)

func main() {
	logrus.SetFormatter(&logrus.JSONFormatter{})
	if err := run(os.Args[1:]); err != nil {
		logrus.WithError(err).Fatal("testtarget failed")
	}
}

func run(args []string) error {
	var options testtarget.Options
	var behavior testtarget.Behavior
	flags := flag.NewFlagSet("testtarget", flag.ExitOnError)
	flags.StringVar(&options.ID, "id", "target", "id under which the target announces itself")
	flags.StringVar(&options.Service, "service", "", "service")
	flags.StringVar(&options.Version, "version", "", "target version")
	flags.IntVar(&options.Slots, "slots", 18, "slots")
	flags.StringVar(&options.ListenAddress, "listen", "127.0.0.1:0", "IP and port to listen on")
	flags.StringVar(&options.AnnounceURL, "announce", "", "base URL of the node's local address")
	flags.StringVar(&options.CallsURL, "calls", "", "base URL at which the node takes calls")
	flags.DurationVar(&options.Warmup, "warmup", 0, "time over which the share ramps up")
	flags.DurationVar(&behavior.ServiceTime, "delay", 0, "service time")
	flags.IntVar(&behavior.RealSlots, "real-slots", 0, "calls worked on together; 0 means no bound")
	flags.DurationVar(&behavior.WarmupExtraDelay, "cold", 0, "extra service time during the warm-up")
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix("TESTTARGET")); err != nil {
		return err
	}
	options.OnCrash = func() { os.Exit(2) }
	target, err := testtarget.Start(options, behavior)
	if err != nil {
		return err
	}
	defer target.Close()
	logrus.WithField("address", target.Address()).Info("target listening")
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
	return nil
}
