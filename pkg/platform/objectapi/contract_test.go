package objectapi_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/azurespring/azurespring/internal/teststore"
	"github.com/azurespring/azurespring/pkg/platform"
	"github.com/azurespring/azurespring/pkg/platform/objectapi"
	"gotest.tools/v3/assert"
)

// startStore serves a fake platform on a loopback address and returns a client of it.
func startStore(t testing.TB, o objectapi.Options) (*teststore.Store, *objectapi.Client) {
	t.Helper()
	backend := teststore.New()
	backend.BookmarkInterval = 20 * time.Millisecond
	server := httptest.NewServer(backend)
	o.BaseURL = server.URL
	client, err := objectapi.New(o)
	assert.NilError(t, err)
	t.Cleanup(func() {
		client.Close()
		server.CloseClientConnections()
		server.Close()
	})
	return backend, client
}

// Verifies that the client meets the contract of platform.Store, by itself and inside
// each wrapper.
func TestStoreContract(t *testing.T) {
	wrap := map[string]func(platform.Store) platform.Store{
		"client":       func(s platform.Store) platform.Store { return s },
		"instrumented": func(s platform.Store) platform.Store { return platform.NewInstrumentedStore(s, nil) },
		"rate limited": func(s platform.Store) platform.Store { return platform.NewRateLimitedStore(s, unlimitedCalls()) },
	}
	kinds := []platform.Kind{platform.KindConfigHead, platform.KindMoveStatus, platform.KindReportPeriod, platform.KindContacts}
	for name, wrapper := range wrap {
		for _, kind := range kinds {
			t.Run(name+"/"+string(kind), func(t *testing.T) {
				_, client := startStore(t, objectapi.Options{})
				store := wrapper(client)
				checkConditionalWrites(t, store, kind)
				checkList(t, store, kind)
				checkWatch(t, store, kind)
			})
		}
	}
}

func unlimitedCalls() platform.CallLimits {
	return platform.CallLimits{
		Default:    platform.RateLimits{WritesPerSecond: 1e6, ReadsPerSecond: 1e6, WriteBurst: 1e6, ReadBurst: 1e6},
		MaxWatches: 100,
	}
}

func checkConditionalWrites(t *testing.T, store platform.Store, kind platform.Kind) {
	t.Helper()
	ctx := t.Context()
	_, err := store.Get(ctx, kind, "a")
	assert.ErrorIs(t, err, platform.ErrNotFound)
	created, err := store.Create(ctx, kind, "a", []byte("one"))
	assert.NilError(t, err)
	_, err = store.Create(ctx, kind, "a", []byte("two"))
	assert.ErrorIs(t, err, platform.ErrAlreadyExists)

	created.Value = []byte("three")
	updated, err := store.Update(ctx, created)
	assert.NilError(t, err)
	assert.Assert(t, updated.ResourceVersion != created.ResourceVersion)
	_, err = store.Update(ctx, created)
	assert.ErrorIs(t, err, platform.ErrConflict)
	got, err := store.Get(ctx, kind, "a")
	assert.NilError(t, err)
	assert.DeepEqual(t, got, updated)

	assert.ErrorIs(t, store.Delete(ctx, kind, "a", created.ResourceVersion), platform.ErrConflict)
	assert.NilError(t, store.Delete(ctx, kind, "a", updated.ResourceVersion))
	_, err = store.Update(ctx, updated)
	assert.ErrorIs(t, err, platform.ErrNotFound)
	assert.Assert(t, platform.IsNotApplied(err))
}

func checkList(t *testing.T, store platform.Store, kind platform.Kind) {
	t.Helper()
	const count = 150 // more than two pages
	for i := range count {
		_, err := store.Create(t.Context(), kind, string(rune('a'+i/26))+string(rune('a'+i%26)), []byte{byte(i)})
		assert.NilError(t, err)
	}
	objects, version, err := store.List(t.Context(), kind)
	assert.NilError(t, err)
	assert.Equal(t, len(objects), count)
	assert.Assert(t, version != "")
}

func checkWatch(t *testing.T, store platform.Store, kind platform.Kind) {
	t.Helper()
	_, version, err := store.List(t.Context(), kind)
	assert.NilError(t, err)
	created, err := store.Create(t.Context(), kind, "watched", []byte("1"))
	assert.NilError(t, err)
	created.Value = []byte("2")
	updated, err := store.Update(t.Context(), created)
	assert.NilError(t, err)
	assert.NilError(t, store.Delete(t.Context(), kind, "watched", updated.ResourceVersion))

	errDone := errors.New("stop watching")
	var values []string
	err = store.Watch(t.Context(), kind, version, func(e platform.Event) error {
		if e.Type == platform.EventDeleted {
			return errDone
		}
		values = append(values, string(e.Object.Value))
		return nil
	})
	assert.ErrorIs(t, err, errDone)
	assert.DeepEqual(t, values, []string{"1", "2"})

	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.ErrorIs(t, store.Watch(ctx, kind, version, nil), context.Canceled)
}
