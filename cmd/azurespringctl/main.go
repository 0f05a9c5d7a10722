// Command azurespringctl is the command line client for operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/azurespring/azurespring/pkg/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ctl.Run(ctx, ctl.Invocation{Args: os.Args[1:], Env: os.Environ(), Stdout: os.Stdout, Stderr: os.Stderr, Platform: platformConfigurations{}})
	stop()
	os.Exit(code)
}
