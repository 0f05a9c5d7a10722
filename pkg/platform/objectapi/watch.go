package objectapi

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/azurespring/azurespring/pkg/platform"
	"github.com/rotisserie/eris"
)

// ErrWatchIdleTimeout means that a watch received neither events nor bookmarks for
// Options.WatchIdleTimeout; the connection may be dead without being closed.
var ErrWatchIdleTimeout = eris.New("watch received nothing within the allowed time")

// watchBufferBytes is the initial size of the line buffer of a watch.
const watchBufferBytes = 16 << 10

// Watch implements platform.Store.
func (c *Client) Watch(
	ctx context.Context, kind platform.Kind, version string, handle func(platform.Event) error,
) error {
	r, err := resourceFor(kind)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idleTimer := time.AfterFunc(c.options.WatchIdleTimeout, func() { cancel(ErrWatchIdleTimeout) })
	defer idleTimer.Stop()
	err = c.stream(ctx, kind, r, version, func(event platform.Event, bookmark bool) error {
		idleTimer.Reset(c.options.WatchIdleTimeout)
		if bookmark {
			return nil
		}
		return handle(event)
	})
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

func (c *Client) stream(
	ctx context.Context, kind platform.Kind, r resource, version string,
	handle func(event platform.Event, bookmark bool) error,
) error {
	requestURL := c.baseURL.JoinPath(r.plural)
	requestURL.RawQuery = url.Values{
		"watch": {"true"}, "resourceVersion": {version}, "allowWatchBookmarks": {"true"},
	}.Encode()
	response, err := c.send(ctx, http.MethodGet, requestURL, nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(io.LimitReader(response.Body, c.options.MaxResponseBytes))
		return statusError(response.StatusCode, response.Header, data)
	}
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(make([]byte, 0, watchBufferBytes), int(c.options.MaxResponseBytes))
	for lines.Scan() {
		line := bytes.TrimSpace(lines.Bytes())
		if len(line) == 0 {
			continue
		}
		event, bookmark, skip, err := decodeEvent(kind, r, line)
		if err != nil {
			return err
		}
		if err := handle(event, bookmark || skip); err != nil {
			return err
		}
	}
	if err := lines.Err(); err != nil {
		return eris.Wrap(err, "read watch")
	}
	return eris.New("watch closed by the platform")
}

// decodeEvent decodes one line of a watch. skip is true if the object has no value yet,
// so that the event is not passed to the caller.
func decodeEvent(kind platform.Kind, r resource, line []byte) (event platform.Event, bookmark, skip bool, err error) {
	var raw watchEvent
	if err := json.Unmarshal(line, &raw); err != nil {
		return event, false, false, eris.Wrap(err, "decode watch event")
	}
	switch raw.Type {
	case "BOOKMARK":
		return event, true, false, nil
	case "ERROR":
		var s status
		if err := json.Unmarshal(raw.Object, &s); err != nil {
			return event, false, false, eris.Wrap(err, "decode watch error")
		}
		return event, false, false, statusError(s.Code, nil, raw.Object)
	case "ADDED", "MODIFIED":
		event.Type = platform.EventPut
	case "DELETED":
		event.Type = platform.EventDeleted
	default:
		return event, false, false, eris.Errorf("unknown watch event type %q", raw.Type)
	}
	var o object
	if err := json.Unmarshal(raw.Object, &o); err != nil {
		return event, false, false, eris.Wrap(err, "decode watched object")
	}
	decoded, ok, err := r.decode(kind, o)
	event.Object = decoded
	return event, false, !ok && event.Type == platform.EventPut, err
}
