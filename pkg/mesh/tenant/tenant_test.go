package tenant

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// A key must lead to its holder and no other text to anyone, and the index must not hold
// the keys themselves.
func TestKeysLeadToTheirHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		keys := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z0-9]{1,24}`), 1, 40, rapid.ID).Draw(t, "keys")
		index := NewKeyIndex(len(keys))
		for i, key := range keys {
			index.Add(key, i)
		}
		dump := fmt.Sprintf("%v %s", index, fmt.Sprintf("%+v", *index))
		for i, key := range keys {
			holder, isKnown := index.Holder(key)
			if !isKnown || holder != i {
				t.Fatalf("key %q leads to %d, %v", key, holder, isKnown)
			}
			if len(key) > 8 && strings.Contains(dump, key) {
				t.Fatalf("the index shows key %q", key)
			}
			if _, isKnown := index.Holder(key + "x"); isKnown && !slices.Contains(keys, key+"x") {
				t.Fatal("a text that is no key has a holder")
			}
		}
	})
}

// An empty key in a configuration must not let requests without a key run for its tenant.
func TestEmptyKeyIdentifiesNobody(t *testing.T) {
	index := NewKeyIndex(1)
	index.Add("", 0)
	_, isKnown := index.Holder("")
	assert.Assert(t, !isKnown)
}

// Other schemes and several keys at once must not be taken for a key.
func TestKeyIsReadFromItsScheme(t *testing.T) {
	for _, c := range []struct {
		values []string
		want   string
	}{
		{nil, ""},
		{[]string{"Token k"}, "k"},
		{[]string{"token  k "}, "k"},
		{[]string{"Token"}, ""},
		{[]string{"Tokenk"}, ""},
		{[]string{"Bearer k"}, ""},
		{[]string{"k"}, ""},
		{[]string{"Token k", "Token l"}, ""},
	} {
		assert.Equal(t, KeyOf(c.values, "Token"), c.want, "%q", c.values)
	}
}

// Each kind of request must get its result, whatever else holds of it.
func TestCheck(t *testing.T) {
	for _, c := range []struct {
		name    string
		request Request
		want    Result
	}{
		{"no key", Request{}, MissingKey},
		{"unknown key", Request{HasCredential: true}, UnknownKey},
		{"known key", Request{HasCredential: true, IsKeyKnown: true}, Accepted},
		{"public route", Request{IsPublic: true}, WithoutTenant},
		{"public route, unknown key", Request{IsPublic: true, HasCredential: true}, WithoutTenant},
		{"public route, known key", Request{IsPublic: true, HasCredential: true, IsKeyKnown: true}, Accepted},
		{"call of the endpoint", Request{IsNested: true}, Nested},
		{"call of the endpoint with an unknown key", Request{IsNested: true, HasCredential: true}, UnknownKey},
		{"call of the endpoint with a known key", Request{IsNested: true, HasCredential: true, IsKeyKnown: true}, Accepted},
		{"unsure, no key", Request{IsUnsure: true}, MissingKey},
		{"unsure, known key", Request{IsUnsure: true, HasCredential: true, IsKeyKnown: true}, Unsure},
		{"unsure, unknown key, which may be new", Request{IsUnsure: true, HasCredential: true}, Unsure},
		{"unsure, call of the endpoint", Request{IsUnsure: true, IsNested: true}, Nested},
	} {
		assert.Equal(t, Check(c.request), c.want, c.name)
	}
}

// A node whose sources are gone, or that was suspended, must not take its configuration for
// the newest longer than the time since the store confirmed it. It replays a reader that
// polls every 2 s, a follower two hops behind it, and a suspension of 10 s after which a
// frame is read that had waited in the socket.
func TestCertaintyIsNeverTooYoung(t *testing.T) {
	epoch := time.Unix(1_000_000, 0)
	at := func(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }
	var reader, follower Certainty
	_, isKnown := reader.Age(at(0))
	assert.Assert(t, !isKnown)
	reader.Begin(at(0))
	reader.Confirm(at(2000), 0, 5*time.Second)
	age, isKnown := reader.Age(at(3000))
	assert.Assert(t, isKnown)
	assert.Equal(t, age, time.Second)

	follower.Begin(at(2800))
	follower.Confirm(at(3000), age, 1500*time.Millisecond)
	age, _ = follower.Age(at(3400))
	assert.Equal(t, age, 1400*time.Millisecond, "the age adds up over hops")

	follower.Confirm(at(13_400), 200*time.Millisecond, 1500*time.Millisecond)
	age, _ = follower.Age(at(13_400))
	assert.Equal(t, age, 11400*time.Millisecond, "a frame that waited for 10 s confirms nothing")
	follower.Confirm(at(13_800), 300*time.Millisecond, 1500*time.Millisecond)
	age, _ = follower.Age(at(13_800))
	assert.Equal(t, age, 300*time.Millisecond)
	follower.Read(at(14_200))
	follower.Confirm(at(14_300), 5*time.Second, 1500*time.Millisecond)
	age, _ = follower.Age(at(14_300))
	assert.Equal(t, age, 800*time.Millisecond, "an older confirmation changes nothing")
}

// BenchmarkHolder measures the search for the holder of a key.
func BenchmarkHolder(b *testing.B) {
	for _, size := range []int{86, 10_000} {
		b.Run(fmt.Sprint("keys=", size), func(b *testing.B) {
			index := NewKeyIndex(size)
			for i := range size {
				index.Add(fmt.Sprintf("key-%032d", i), i)
			}
			for i := range b.N {
				if _, isKnown := index.Holder("key-00000000000000000000000000000042"); !isKnown {
					b.Fatal(i)
				}
			}
		})
	}
}
