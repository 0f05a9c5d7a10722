// Command teststore serves an in-memory fake of the platform's object API for tests.
package main

import (
	"context"
	"errors"
	"flag"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/azurespring/azurespring/internal/teststore"
	"github.com/peterbourgon/ff/v3"
	"github.com/sirupsen/logrus"
)

const headerTimeout = 10 * time.Second

func main() {
	flags := flag.NewFlagSet("teststore", flag.ExitOnError)
	listen := flags.String("listen", "127.0.0.1:0", "address to serve on")
	logger := logrus.New()
	logger.SetFormatter(&logrus.JSONFormatter{})
	if err := ff.Parse(flags, os.Args[1:], ff.WithEnvVarPrefix("TESTSTORE")); err != nil {
		logger.Fatal(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := serve(ctx, *listen, logger); err != nil {
		logger.Fatal(err)
	}
}

func serve(ctx context.Context, address string, logger *logrus.Logger) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	logger.WithField("address", listener.Addr().String()).Info("teststore listening")
	server := &http.Server{Handler: teststore.New(), ReadHeaderTimeout: headerTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
