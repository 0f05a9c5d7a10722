package mesh

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func route(name, host, prefix string, weighted ...WeightedService) Route {
	if len(weighted) == 0 {
		weighted = []WeightedService{{Service: "s", Weight: 1}}
	}
	return Route{Name: name, Host: host, Prefix: prefix, WeightedServices: weighted}
}

// Compile must reject a configuration with an invalid route as a whole, for example
// one to an undefined service, and not accept its valid routes alone.
func TestCompileRejectsInvalidRoutes(t *testing.T) {
	for _, c := range []struct {
		name  string
		route Route
		ok    bool
	}{
		{"known service", route("r", "h", "/a/"), true},
		{"traffic split", route("r", "h", "/a/", WeightedService{"s", 90}, WeightedService{"t", 10}), true},
		{"weights whose sum overflows", route("r", "h", "/a/", WeightedService{"s", math.MaxInt}, WeightedService{"t", math.MaxInt}, WeightedService{"s", 2}), true},
		{"one weight of 0", route("r", "h", "/a/", WeightedService{"s", 90}, WeightedService{"t", 0}), true},
		{"unknown service", route("r", "h", "/a/", WeightedService{"gone", 1}), false},
		{"unknown service in a split", route("r", "h", "/a/", WeightedService{"s", 90}, WeightedService{"gone", 10}), false},
		{"negative weight", route("r", "h", "/a/", WeightedService{"s", 90}, WeightedService{"t", -1}), false},
		{"total weight of 0", route("r", "h", "/a/", WeightedService{"s", 0}), false},
		{"empty prefix", route("r", "h", ""), false},
	} {
		_, err := Compile(Configuration{
			Version: 2, Services: []Service{{Name: "s"}, {Name: "t"}}, Routes: []Route{route("first", "h", "/"), c.route},
		})
		assert.Equal(t, err == nil, c.ok, "%s: %v", c.name, err)
	}
}

// Requests must not match a shorter prefix or the route of another host.
func TestMatchTakesTheLongestPrefixOfTheHost(t *testing.T) {
	s, err := Compile(Configuration{Services: []Service{{Name: "s"}}, Routes: []Route{
		route("short", "h", "/a/"), route("long", "h", "/a/b/"), route("other", "o", "/c/"),
	}})
	assert.NilError(t, err)
	for _, c := range []struct{ host, path, want string }{
		{"h", "/a/x", "short"},
		{"h", "/a/b/x", "long"},
		{"h", "/a/bx", "short"},
		{"h:80", "/a/", "short"},
		{"h", "/a", ""},
		{"h", "/c/", ""},
		{"o", "/c/1", "other"},
		{"none", "/a/", ""},
	} {
		name := ""
		if r := s.Match(c.host, c.path); r != nil {
			name = r.Name
		}
		assert.Equal(t, name, c.want, "%s%s", c.host, c.path)
	}
}

const heartbeatInterval = time.Second

func announcement(id string, startUnixMs, sequence int64, state EndpointState) Announcement {
	return Announcement{
		ID: id, Service: "s", Version: "v1", Address: "a", Slots: 4, State: state, StartUnixMs: startUnixMs, Sequence: sequence,
	}
}

// A delayed announcement must not make a draining or deregistered endpoint ready
// again; a new process under the same ID or address must become ready.
func TestReorderedAnnouncementsDoNotReviveEndpoint(t *testing.T) {
	now := time.Now()
	type step struct {
		announce   Announcement
		deregister string
	}
	for _, c := range []struct {
		name  string
		steps []step
		want  string
	}{
		{"ready", []step{{announce: announcement("a", 1, 1, EndpointReady)}}, "a"},
		{"draining", []step{{announce: announcement("a", 1, 1, EndpointReady)}, {announce: announcement("a", 1, 2, EndpointDraining)}}, ""},
		{"delayed ready after draining", []step{{announce: announcement("a", 1, 2, EndpointDraining)}, {announce: announcement("a", 1, 1, EndpointReady)}}, ""},
		{"draining delayed behind ready", []step{{announce: announcement("a", 1, 2, EndpointReady)}, {announce: announcement("a", 1, 1, EndpointDraining)}}, ""},
		{"ready again after draining", []step{{announce: announcement("a", 1, 2, EndpointDraining)}, {announce: announcement("a", 1, 3, EndpointReady)}}, ""},
		{"delayed ready after deregistration", []step{{announce: announcement("a", 1, 1, EndpointReady)}, {deregister: "a"}, {announce: announcement("a", 1, 2, EndpointReady)}}, ""},
		{"new process under the old ID", []step{{announce: announcement("a", 1, 9, EndpointReady)}, {deregister: "a"}, {announce: announcement("a", 2, 1, EndpointReady)}}, "a"},
		{"new process without deregistration", []step{{announce: announcement("a", 1, 9, EndpointDraining)}, {announce: announcement("a", 2, 1, EndpointReady)}}, "a"},
		{"new endpoint at the address", []step{{announce: announcement("a", 1, 9, EndpointReady)}, {announce: announcement("b", 2, 1, EndpointReady)}}, "b"},
		{"delayed announcement of the replaced endpoint", []step{{announce: announcement("b", 2, 1, EndpointReady)}, {announce: announcement("a", 1, 9, EndpointReady)}}, "b"},
		{"delayed ready after deregistration of an unknown endpoint", []step{{deregister: "a"}, {announce: announcement("a", 1, 1, EndpointReady)}}, ""},
		{"new process after deregistration of an unknown endpoint", []step{{deregister: "a"}, {announce: announcement("a", time.Now().Add(time.Minute).UnixMilli(), 1, EndpointReady)}}, "a"},
	} {
		registry := NewEndpointRegistry(heartbeatInterval)
		for _, s := range c.steps {
			if s.deregister != "" {
				registry.Deregister(now, s.deregister, 0)
			} else {
				registry.Announce(now, s.announce)
			}
		}
		got := ""
		for _, e := range registry.ReadyEndpoints(now) {
			got += e.ID
		}
		assert.Equal(t, got, c.want, c.name)
	}
}

// An endpoint that deregistered from the node's previous process must not become
// ready in the next one through a delayed announcement.
func TestEndedEndpointsStayEndedAfterRestart(t *testing.T) {
	now := time.Now()
	first := NewEndpointRegistry(heartbeatInterval)
	first.Announce(now, announcement("gone", 1, 1, EndpointReady))
	first.Deregister(now, "gone", 0)
	first.Announce(now, announcement("drains", 1, 1, EndpointDraining))
	entry, err := Instance{Name: "n", Address: "10.0.0.1:1", EndedEndpoints: first.EndedEndpoints()}.Encode()
	assert.NilError(t, err)
	stored, err := DecodeInstance(entry)
	assert.NilError(t, err)

	next := NewEndpointRegistry(heartbeatInterval)
	next.Announce(now, announcement("gone", 1, 2, EndpointReady))
	next.Restore(now, stored)
	assert.Equal(t, len(next.ReadyEndpoints(now)), 0, "an announcement received before Restore revived a deregistered endpoint")
	next.Announce(now, announcement("gone", 1, 3, EndpointReady))
	next.Announce(now, announcement("drains", 1, 3, EndpointReady))
	assert.Equal(t, len(next.ReadyEndpoints(now)), 0)
	next.Announce(now, announcement("gone", 2, 1, EndpointReady))
	assert.Equal(t, len(next.ReadyEndpoints(now)), 1, "the new process is not ready")
}

// After a restart the node must use the stored endpoints before they announce
// themselves, except those that another process has replaced meanwhile.
func TestRestartedNodeUsesStoredEndpoints(t *testing.T) {
	now := time.Now()
	first := NewEndpointRegistry(heartbeatInterval)
	first.Announce(now, announcement("a", 1, 5, EndpointReady))
	entry := Instance{Name: "n", Address: "a", Endpoints: first.ReadyEndpoints(now)}
	next := NewEndpointRegistry(heartbeatInterval)
	next.Restore(now, entry)
	assert.Equal(t, len(next.ReadyEndpoints(now)), 1)
	assert.Assert(t, next.Announce(now, announcement("a", 1, 6, EndpointDraining)), "the endpoint's own announcement must replace the restored state")
	assert.Equal(t, len(next.ReadyEndpoints(now)), 0)
	replaced := NewEndpointRegistry(heartbeatInterval)
	replaced.Announce(now, announcement("b", 2, 1, EndpointReady))
	replaced.Restore(now, entry)
	assert.Equal(t, replaced.ReadyEndpoints(now)[0].ID, "b")
	assert.Equal(t, len(replaced.ReadyEndpoints(now)), 1)
	unresponsive := NewEndpointRegistry(heartbeatInterval)
	unresponsive.Restore(now, entry)
	unresponsive.RemoveExpired(now.Add((maxMissedHeartbeats + 1) * heartbeatInterval))
	assert.Equal(t, len(unresponsive.ReadyEndpoints(now)), 0)
}

// A crashed endpoint must expire; one whose announcement is seconds late must not.
func TestUnresponsiveEndpointExpires(t *testing.T) {
	now := time.Now()
	registry := NewEndpointRegistry(heartbeatInterval)
	assert.Assert(t, registry.Announce(now, announcement("a", 1, 1, EndpointReady)))
	assert.Assert(t, !registry.RemoveExpired(now.Add(3*heartbeatInterval)))
	assert.Assert(t, registry.ReadyEndpoint("a") != nil)
	assert.Assert(t, registry.RemoveExpired(now.Add((maxMissedHeartbeats+1)*heartbeatInterval)))
	assert.Assert(t, registry.ReadyEndpoint("a") == nil)
	assert.Assert(t, registry.Announce(now.Add(10*heartbeatInterval), announcement("a", 1, 2, EndpointReady)), "a paused endpoint must become ready again")
}

// Entries come from other writers: an invalid one must fail to decode, and an
// invalid endpoint must not affect the others.
func TestDecodeInstanceRejectsInvalidEntries(t *testing.T) {
	const address = `"name":"n","address":"10.0.0.1:1"`
	many := func(element string, n int) string { return strings.Repeat(element+",", n-1) + element }
	for _, c := range []struct {
		value     string
		ok        bool
		endpoints int
	}{
		{`{` + address + `,"endpoints":[{"id":"e","service":"s","slots":1}]}`, true, 1},
		{`{"name":"n","address":"[::1]:80","endpoints":[{"id":"e","service":"s","slots":1}]}`, true, 1},
		{`{` + address + `,"endpoints":[{"id":"e","slots":1},{"id":"f","service":"s"}]}`, true, 0},
		{`{` + address + `,"endpoints":"none"}`, false, 0},
		{`{` + address + `,"ended":"none"}`, false, 0},
		{`{` + address + `,"endpoints":[{"id":"e","service":"s","slots":1,"more":` + many("[", 20_000) + `]}`, false, 0},
		{`{"name":"n"}`, false, 0},
		{`{"address":"10.0.0.1:1"}`, false, 0},
		{`{`, false, 0},
		{``, false, 0},
		{`{"name":"n","address":"a"}`, false, 0},
		{`{"name":"n","address":"10.0.0.1:99999"}`, false, 0},
		{`{"name":"n","address":"10.0.0.1:0"}`, false, 0},
		{`{"name":"n","address":"10.0.0.1"}`, false, 0},
		{`{"name":"n","address":"host:80"}`, false, 0},
		{`{` + address + `,"endpoints":[{"id":"e","service":"s","slots":-1},{"id":"f","service":"s","slots":1}]}`, true, 1},
		{`{` + address + `,"endpoints":[{"id":"e","service":"s","slots":9223372036854775807},{"id":"f","service":"s","slots":1}]}`, true, 1},
		{`{` + address + `,"endpoints":[{"id":"e","service":"s","slots":9223372036854775808}]}`, false, 0},
		{`{` + address + `,"endpoints":[{"id":"e","service":"s","slots":1,"warmupMs":9223372036854775}]}`, true, 0},
		{`{` + address + `,"endpoints":[{"id":"e","service":"s","slots":1,"warmupMs":-1}]}`, true, 0},
		{`{` + address + `,"endpoints":[{"id":"e","service":"s","slots":1,"born":-5}]}`, true, 0},
		{`{` + address + `,"endpoints":[{"id":"e","service":"s","slots":1,"address":"10.0.0.1:99999"}]}`, true, 0},
		{`{` + address + `,"endpoints":[{"id":"e","service":"s","slots":1},{"id":"e","service":"t","slots":1}]}`, true, 1},
		{`{` + address + `,"endpoints":[` + many(`{"id":"e","service":"s","slots":1}`, 5000) + `]}`, false, 0},
		{`{` + address + `,"ended":[` + many(`{"id":"e","born":1}`, 50_000) + `]}`, false, 0},
	} {
		i, err := DecodeInstance([]byte(c.value))
		assert.Equal(t, err == nil, c.ok, "%.200s", c.value)
		assert.Equal(t, len(i.Endpoints), c.endpoints, "%.200s", c.value)
	}
}

// An entry that names ends or starts in the far future must not keep the node's own
// endpoint out: the endpoint's announcements would count as those of an earlier process.
func TestRestoredStartBeyondAnyClockIsIgnored(t *testing.T) {
	now := time.Now()
	const far = int64(1) << 62
	for _, entry := range []Instance{
		{EndedEndpoints: []EndedEndpoint{{ID: "e", StartUnixMs: far}}},
		{Endpoints: []Endpoint{{ID: "e", Service: "s", Version: "v1", Slots: 4, Address: "a", StartUnixMs: far}}},
		{Endpoints: []Endpoint{{ID: "other", Service: "s", Version: "v1", Slots: 4, Address: "a", StartUnixMs: far}}},
	} {
		registry := NewEndpointRegistry(heartbeatInterval)
		registry.Restore(now, entry)
		registry.Announce(now, announcement("e", now.UnixMilli(), 1, EndpointReady))
		e := registry.ReadyEndpoint("e")
		assert.Assert(t, e != nil && e.StartUnixMs == now.UnixMilli(), "%+v", entry)
		assert.Equal(t, len(registry.EndedEndpoints()), 0)
	}
}

// An announcement of another writer in the name of a running process must not change
// what is known of it, nor keep its own announcements from counting.
func TestContradictingAnnouncementDoesNotDisturbEndpoint(t *testing.T) {
	now := time.Now()
	start := now.UnixMilli()
	for name, change := range map[string]func(*Announcement){
		"service":       func(a *Announcement) { a.Service = "unknown" },
		"version":       func(a *Announcement) { a.Version = "v9" },
		"address":       func(a *Announcement) { a.Address = "b" },
		"no start time": func(a *Announcement) { a.StartUnixMs = 0 },
		"sequence":      func(a *Announcement) {},
	} {
		registry := NewEndpointRegistry(heartbeatInterval)
		registry.Announce(now, announcement("e", start, 1, EndpointReady))
		other := announcement("e", start, 1<<50, EndpointReady)
		change(&other)
		registry.Announce(now, other)
		for i := range 2 * maxMissedHeartbeats {
			now := now.Add(time.Duration(i+1) * heartbeatInterval)
			registry.Announce(now, announcement("e", start, int64(i+2), EndpointReady))
			assert.Assert(t, !registry.RemoveExpired(now), "%s: the endpoint expired", name)
		}
		e := registry.ReadyEndpoint("e")
		assert.Assert(t, e != nil, name)
		assert.Equal(t, e.Service+" "+e.Version+" "+e.Address, "s v1 a", name)
	}
}

// Announcements and deregistrations of many IDs must not make the node's entry one that
// other nodes refuse.
func TestEntryStaysUsableAfterManyAnnouncements(t *testing.T) {
	now := time.Now()
	registry := NewEndpointRegistry(heartbeatInterval)
	registry.Announce(now, announcement("e", 1, 1, EndpointReady))
	for i := range 2 * maxEndedEndpoints {
		now = now.Add(time.Millisecond)
		registry.Deregister(now, fmt.Sprint("gone", i), 0)
		for state, id := range map[EndpointState]string{EndpointReady: "ready", EndpointDraining: "drains"} {
			other := announcement(fmt.Sprint(id, i), 1, 1, state)
			other.Address = other.ID
			registry.Announce(now, other)
		}
	}
	entry := Instance{Name: "n", Address: "10.0.0.1:1", Endpoints: registry.ReadyEndpoints(now), EndedEndpoints: registry.EndedEndpoints()}
	for i := range entry.Endpoints {
		entry.Endpoints[i].Address = "" // Those of the test are no addresses.
	}
	value, err := entry.Encode()
	assert.NilError(t, err)
	stored, err := DecodeInstance(value)
	assert.NilError(t, err)
	assert.Assert(t, registry.ReadyEndpoint("e") != nil)
	assert.Equal(t, len(stored.Endpoints), len(entry.Endpoints))
	last := EndedEndpoint{ID: fmt.Sprint("gone", 2*maxEndedEndpoints-1), StartUnixMs: now.UnixMilli()}
	assert.Assert(t, slices.Contains(stored.EndedEndpoints, last), "the latest end is missing")
}

// A key must lead to the tenant that the newest configuration gives it to, and a snapshot
// must not keep keys, which would show in a dump of it.
func TestSnapshotFindsTenantsByKeyAndKeepsNoKeys(t *testing.T) {
	c := Configuration{Tenants: []Tenant{
		{Name: "a", Keys: []string{"secret-a1", "secret-a2"}, Priority: 1}, {Name: "b", Keys: []string{"secret-b"}}, {Name: "c"},
	}}
	s, err := Compile(c)
	assert.NilError(t, err)
	for key, want := range map[string]string{"secret-a1": "a", "secret-a2": "a", "secret-b": "b"} {
		assert.Equal(t, s.TenantOf(key).Name, want)
	}
	assert.Assert(t, s.TenantOf("secret") == nil && s.TenantOf("") == nil)
	assert.Assert(t, s.TenantOf("secret-b") == &s.Tenants()[1], "the tenant is that of the snapshot")
	assert.Assert(t, !strings.Contains(fmt.Sprintf("%+v", *s), "secret"), "%+v", *s)
	assert.Equal(t, len(c.Tenants[0].Keys), 2, "the caller's configuration is not changed")

	assert.Assert(t, s.MayGoAhead(&s.Tenants()[1], &Route{}) && !s.MayGoAhead(&s.Tenants()[0], &Route{}) && !s.MayGoAhead(nil, &Route{}))

	c.Tenants = []Tenant{{Name: "a", Keys: []string{"secret-a1"}}, {Name: "b", Keys: []string{"secret-b", "secret-a2"}}}
	moved, err := Compile(c)
	assert.NilError(t, err)
	assert.Equal(t, moved.TenantOf("secret-a2").Name, "b")
	assert.Equal(t, s.TenantOf("secret-a2").Name, "a", "a snapshot does not change")

	c.Tenants = []Tenant{{Name: "a", Keys: []string{"secret"}}, {Name: "b", Keys: []string{"secret"}}}
	_, err = Compile(c)
	assert.ErrorContains(t, err, "hold the same key")
	assert.Assert(t, !strings.Contains(err.Error(), "secret"), "the error shows the key")
}
