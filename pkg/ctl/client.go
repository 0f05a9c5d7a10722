package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"

	"github.com/azurespring/azurespring/pkg/admin"
	"github.com/azurespring/azurespring/pkg/config/static"
	"github.com/azurespring/azurespring/pkg/exchange"
)

// Values of the flag -o.
const (
	outputText = "text"
	outputJSON = "json"
	outputHTML = "html"
)

// commonOptions are the flags that environment variables can set.
var commonOptions = []string{"nodes", "token-file", "timeout", "o"}

// options holds the flags that several commands share.
type options struct {
	nodes     string
	tokenFile string
	timeout   time.Duration
	output    string
}

// defaultTimeout limits one request to one node.
const defaultTimeout = 10 * time.Second

func (o *options) defineFlags(flags *flag.FlagSet, c command) {
	formats := outputText + " or " + outputJSON
	if c.name == reportCommand.name {
		formats = outputText + ", " + outputJSON + " or " + outputHTML
	}
	flags.StringVar(&o.output, "o", outputText, "output `format`: "+formats)
	if !c.needsNodes {
		return
	}
	flags.StringVar(&o.nodes, "nodes", "", "administration `address,...` of nodes, tried in order")
	flags.StringVar(&o.tokenFile, "token-file", "", "`file` with the bearer token of the administration API")
	flags.DurationVar(&o.timeout, "timeout", defaultTimeout, "longest `duration` of a request to one node")
}

func (o *options) validate(c command) error {
	allowed := o.output == outputText || o.output == outputJSON || o.output == outputHTML && c.name == reportCommand.name
	if !allowed {
		return usageError("output format %q is unknown to command %s", o.output, c.name)
	}
	if c.needsNodes && o.timeout <= 0 {
		return usageError("-timeout must be above 0")
	}
	return nil
}

// client sends requests to the administration APIs of several nodes.
type client struct {
	nodes   []string
	token   string
	timeout time.Duration
	http    *http.Client
}

// client returns a client for the nodes in -nodes.
func (s *session) client() (*client, error) {
	c := &client{timeout: s.options.timeout, http: &http.Client{Transport: &http.Transport{}}}
	for node := range strings.SplitSeq(s.options.nodes, ",") {
		if node = strings.TrimSpace(node); node != "" {
			c.nodes = append(c.nodes, node)
		}
	}
	if len(c.nodes) == 0 {
		return nil, usageError("no node is given; set -nodes or %s to administration addresses such as 10.0.0.7:7403",
			static.EnvVarName("nodes"))
	}
	if s.options.tokenFile != "" {
		token, err := static.ReadToken(s.options.tokenFile)
		if err != nil {
			return nil, usageError("-token-file: %v", err)
		}
		c.token = token
	}
	return c, nil
}

// noResponseError means that a node sent no usable response.
type noResponseError struct {
	node string
	// maybeReceived is true if the node may have received the request.
	maybeReceived bool
	cause         error
}

// Error implements error.
func (e *noResponseError) Error() string { return fmt.Sprintf("%s: %v", e.node, e.cause) }

// Unwrap returns the cause.
func (e *noResponseError) Unwrap() error { return e.cause }

// maxResponseBytes limits the body of a response.
const maxResponseBytes = 256 << 20

// call sends one request to one node. It returns *admin.Problem if the node
// rejected the request, and *noResponseError if no usable response arrived.
func (c *client) call(ctx context.Context, node, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	maybeReceived := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { maybeReceived = true }})
	request, err := c.request(ctx, node, method, path, in)
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return &noResponseError{node: node, maybeReceived: maybeReceived, cause: err}
	}
	defer response.Body.Close()
	if err := exchange.CheckFieldNames(response.Header); err != nil {
		return &noResponseError{node: node, maybeReceived: true, cause: err}
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return &noResponseError{node: node, maybeReceived: true, cause: err}
	}
	if response.StatusCode != http.StatusOK {
		return responseError(node, response, data)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return &noResponseError{node: node, maybeReceived: true, cause: fmt.Errorf("cannot decode the response: %w", err)}
	}
	return nil
}

func (c *client) request(ctx context.Context, node, method, path string, in any) (*http.Request, error) {
	var requestBody io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return nil, err
		}
		requestBody = bytes.NewReader(data)
	}
	if !strings.Contains(node, "://") {
		node = "http://" + node
	}
	request, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(node, "/")+path, requestBody)
	if err != nil {
		return nil, usageError("node address %q is invalid: %v", node, err)
	}
	request.Header.Set("Content-Type", "application/json")
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	return request, nil
}

func responseError(node string, response *http.Response, data []byte) error {
	p := &admin.Problem{}
	if json.Unmarshal(data, p) == nil && p.Code != "" {
		return p
	}
	return &noResponseError{node: node, maybeReceived: true, cause: fmt.Errorf(
		"unexpected response status %s; is this the administration address of a node?", response.Status)}
}

// get reads path from the first node that responds.
func (c *client) get(ctx context.Context, path string, out any) error {
	return c.sendToFirstAvailable(ctx, http.MethodGet, path, nil, out)
}

// sendToFirstAvailable sends a read-only request to the nodes in order until one
// responds with success or with a client error (status below 500).
func (c *client) sendToFirstAvailable(ctx context.Context, method, path string, in, out any) error {
	var errs []error
	for _, node := range c.nodes {
		err := c.call(ctx, node, method, path, in, out)
		var p *admin.Problem
		var noResponse *noResponseError
		switch {
		case err == nil:
			return nil
		case errors.As(err, &p) && p.Status < http.StatusInternalServerError:
			return err
		case errors.As(err, &p):
			errs = append(errs, fmt.Errorf("%s: %s", node, p.Detail))
		case errors.As(err, &noResponse):
			errs = append(errs, err)
		default:
			return err
		}
	}
	return unavailableError(errs)
}

func unavailableError(errs []error) error {
	cause := errors.Join(errs...)
	return &failure{
		Code: ExitUnavailable, Message: "no node could answer:\n  " + strings.ReplaceAll(cause.Error(), "\n", "\n  "),
		Advice: "Check the addresses in -nodes and that the nodes run, or name other nodes.", cause: cause,
	}
}
