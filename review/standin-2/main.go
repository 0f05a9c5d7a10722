//go:build review

package main

import (
	"errors"
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the cases by name. Each returns the breaches that it saw.
var cases = map[string]func(recordPath string, hasTrouble bool) (breaches []string, err error){
	"upload":    playUpload,
	"pipeline":  playPipeline,
	"poison":    playPoison,
	"quota":     playQuota,
	"forgotten": playForgotten,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	breaches, err := cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0")
	for _, breach := range breaches {
		fmt.Println(breach)
	}
	switch {
	case len(breaches) > 0:
		os.Exit(exitBroken)
	case err != nil:
		if !errors.Is(err, errSetUp) {
			err = fmt.Errorf("%w: %w", errSetUp, err)
		}
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	fmt.Println("the rule held")
	os.Exit(exitHeld)
}
