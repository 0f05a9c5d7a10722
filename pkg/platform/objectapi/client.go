package objectapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/azurespring/azurespring/pkg/exchange"
	"github.com/azurespring/azurespring/pkg/platform"
	"github.com/rotisserie/eris"
)

// Defaults of Options.
const (
	DefaultNamespace        = "azurespring"
	DefaultCallTimeout      = 5 * time.Second
	DefaultWatchIdleTimeout = 30 * time.Second
	DefaultMaxResponseBytes = 16 << 20
)

// pageSize is the number of objects requested per page of a list. List halves it
// while a page exceeds the response limit.
const pageSize = 64

// Options configures a Client. Zero values select the defaults.
type Options struct {
	// BaseURL is the address of the API, such as http://10.0.0.1:8001.
	BaseURL   string
	Namespace string
	// Token is sent as a bearer token if it is not empty.
	Token string
	// HTTPClient sends the requests. It must not set http.Client.Timeout, because a watch
	// has no time limit.
	HTTPClient *http.Client
	// CallTimeout bounds each call except watches.
	CallTimeout time.Duration
	// WatchIdleTimeout is the time without any event or bookmark after which a watch
	// counts as broken. The server must send bookmarks more often than that.
	WatchIdleTimeout time.Duration
	// MaxResponseBytes bounds each response body and each event of a watch.
	MaxResponseBytes int64
}

// Client implements platform.Store.
type Client struct {
	options Options
	baseURL *url.URL
	http    *http.Client
}

// New returns a client, or an error if BaseURL is not an HTTP URL.
func New(o Options) (*Client, error) {
	base, err := url.Parse(o.BaseURL)
	if err != nil {
		return nil, eris.Wrap(err, "platform URL")
	}
	if (base.Scheme != "http" && base.Scheme != "https") || base.Host == "" {
		return nil, eris.Errorf("platform URL %q is not an HTTP URL with a host", o.BaseURL)
	}
	if o.Namespace == "" {
		o.Namespace = DefaultNamespace
	}
	if o.CallTimeout <= 0 {
		o.CallTimeout = DefaultCallTimeout
	}
	if o.WatchIdleTimeout <= 0 {
		o.WatchIdleTimeout = DefaultWatchIdleTimeout
	}
	if o.MaxResponseBytes <= 0 {
		o.MaxResponseBytes = DefaultMaxResponseBytes
	}
	client := o.HTTPClient
	if client == nil {
		client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}}
	}
	return &Client{options: o, baseURL: base.JoinPath("apis", apiVersion, "namespaces", o.Namespace), http: client}, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

var _ platform.Store = (*Client)(nil)

// Get implements platform.Store.
func (c *Client) Get(ctx context.Context, kind platform.Kind, name string) (platform.Object, error) {
	r, err := resourceFor(kind)
	if err != nil {
		return platform.Object{}, err
	}
	var o object
	if err := c.call(ctx, http.MethodGet, c.baseURL.JoinPath(r.plural, name), nil, &o); err != nil {
		return platform.Object{}, err
	}
	decoded, ok, err := r.decode(kind, o)
	switch {
	case err != nil:
		return platform.Object{}, err
	case decoded.Name != name:
		return platform.Object{}, eris.Errorf("asked for %s %s, the reply names %q", kind, name, decoded.Name)
	case !ok:
		return platform.Object{}, platform.ErrNotFound
	}
	return decoded, nil
}

// List implements platform.Store. It reads page by page.
func (c *Client) List(ctx context.Context, kind platform.Kind) (objects []platform.Object, version string, err error) {
	r, err := resourceFor(kind)
	if err != nil {
		return nil, "", err
	}
	limit, continueToken := pageSize, ""
	for {
		page, err := c.page(ctx, r, limit, continueToken)
		if errors.Is(err, errResponseTooLarge) && limit > 1 {
			limit /= 2
			continue
		}
		if err != nil {
			return nil, "", err
		}
		for _, item := range page.Items {
			decoded, ok, err := r.decode(kind, item)
			if err != nil {
				return nil, "", err
			}
			if ok {
				objects = append(objects, decoded)
			}
		}
		if page.Metadata.Continue == "" {
			return objects, page.Metadata.ResourceVersion, nil
		}
		continueToken = page.Metadata.Continue
	}
}

func (c *Client) page(ctx context.Context, r resource, limit int, continueToken string) (objectList, error) {
	requestURL := c.baseURL.JoinPath(r.plural)
	query := url.Values{"limit": {strconv.Itoa(limit)}}
	if continueToken != "" {
		query.Set("continue", continueToken)
	}
	requestURL.RawQuery = query.Encode()
	var page objectList
	err := c.call(ctx, http.MethodGet, requestURL, nil, &page)
	if err == nil && (page.Metadata.ResourceVersion == "" || page.Items == nil) {
		err = eris.New("list without resourceVersion or items")
	}
	return page, err
}

// Create implements platform.Store. For kinds with a status subresource it makes two
// writes. If the second one fails, Get does not find the object and the next Create
// completes it.
func (c *Client) Create(ctx context.Context, kind platform.Kind, name string, value []byte) (platform.Object, error) {
	r, err := resourceFor(kind)
	if err != nil {
		return platform.Object{}, err
	}
	requestURL := c.baseURL.JoinPath(r.plural)
	if !r.hasStatus {
		return c.write(ctx, http.MethodPost, requestURL, kind, r, r.encode(name, "", value))
	}
	withoutStatus := r.encode(name, "", nil)
	withoutStatus.Status = nil
	var created object
	err = c.call(ctx, http.MethodPost, requestURL, withoutStatus, &created)
	if errors.Is(err, platform.ErrAlreadyExists) {
		err = c.call(ctx, http.MethodGet, requestURL.JoinPath(name), nil, &created)
		if err == nil && created.Status != nil {
			err = platform.ErrAlreadyExists
		}
	}
	if err != nil {
		return platform.Object{}, err
	}
	return c.Update(ctx, platform.Object{Kind: kind, Name: name, ResourceVersion: created.Metadata.ResourceVersion, Value: value})
}

// Update implements platform.Store.
func (c *Client) Update(ctx context.Context, o platform.Object) (platform.Object, error) {
	r, err := resourceFor(o.Kind)
	if err != nil {
		return platform.Object{}, err
	}
	if o.ResourceVersion == "" {
		return platform.Object{}, eris.Errorf("update of %s %s without a version", o.Kind, o.Name)
	}
	requestURL := c.baseURL.JoinPath(r.plural, o.Name)
	if r.hasStatus {
		requestURL = requestURL.JoinPath("status")
	}
	return c.write(ctx, http.MethodPut, requestURL, o.Kind, r, r.encode(o.Name, o.ResourceVersion, o.Value))
}

// Delete implements platform.Store.
func (c *Client) Delete(ctx context.Context, kind platform.Kind, name, version string) error {
	r, err := resourceFor(kind)
	if err != nil {
		return err
	}
	body := preconditions{Preconditions: metadata{ResourceVersion: version}}
	return c.call(ctx, http.MethodDelete, c.baseURL.JoinPath(r.plural, name), body, nil)
}

func (c *Client) write(
	ctx context.Context, method string, requestURL *url.URL, kind platform.Kind, r resource, body object,
) (platform.Object, error) {
	var stored object
	if err := c.call(ctx, method, requestURL, body, &stored); err != nil {
		return platform.Object{}, err
	}
	decoded, _, err := r.decode(kind, stored)
	if err != nil {
		return platform.Object{}, err
	}
	if decoded.Name != body.Metadata.Name {
		return platform.Object{}, eris.Errorf("wrote %s %s, the reply names %q", kind, body.Metadata.Name, decoded.Name)
	}
	return decoded, nil
}

func resourceFor(kind platform.Kind) (resource, error) {
	r, ok := resources[kind]
	if !ok {
		return resource{}, eris.Errorf("unknown kind %q", kind)
	}
	return r, nil
}

var errResponseTooLarge = errors.New("reply exceeds the response limit")

func (c *Client) call(ctx context.Context, method string, requestURL *url.URL, body, result any) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	response, err := c.send(ctx, method, requestURL, body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, c.options.MaxResponseBytes+1))
	if err != nil {
		return eris.Wrapf(err, "read reply to %s %s", method, requestURL.Path)
	}
	if int64(len(data)) > c.options.MaxResponseBytes {
		return eris.Wrapf(errResponseTooLarge, "%s %s", method, requestURL.Path)
	}
	if response.StatusCode < http.StatusOK || response.StatusCode >= http.StatusMultipleChoices {
		return statusError(response.StatusCode, response.Header, data)
	}
	if result == nil {
		return nil
	}
	return eris.Wrapf(json.Unmarshal(data, result), "decode reply to %s %s", method, requestURL.Path)
}

func (c *Client) send(ctx context.Context, method string, requestURL *url.URL, body any) (*http.Response, error) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, eris.Wrap(err, "encode request")
		}
		reader = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, requestURL.String(), reader)
	if err != nil {
		return nil, eris.Wrap(err, "build request")
	}
	request.Header.Set("Accept", "application/json")
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	if c.options.Token != "" {
		request.Header.Set("Authorization", "Bearer "+c.options.Token)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, sendError(err, method, requestURL)
	}
	if err := exchange.CheckFieldNames(response.Header); err != nil {
		_ = response.Body.Close()
		return nil, eris.Wrapf(err, "reply to %s %s", method, requestURL.Path)
	}
	return response, nil
}

// sendError wraps failures to connect in ErrConnectFailed, because after them a write
// cannot have taken effect.
func sendError(err error, method string, requestURL *url.URL) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return eris.Wrapf(platform.ErrConnectFailed, "%s %s: %v", method, requestURL.Path, err)
	}
	return eris.Wrapf(err, "%s %s", method, requestURL.Path)
}
