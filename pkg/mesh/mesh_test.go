package mesh

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func route(name, host, prefix string, shares ...WeightedService) Route {
	if len(shares) == 0 {
		shares = []WeightedService{{Service: "s", Weight: 1}}
	}
	return Route{Name: name, Host: host, Prefix: prefix, WeightedServices: shares}
}

// Guards against a route to a service that the node lacks, and against a
// configuration that is applied in part.
func TestCompileRejectsInvalidRoutes(t *testing.T) {
	for _, c := range []struct {
		name  string
		route Route
		ok    bool
	}{
		{"known service", route("r", "h", "/a/"), true},
		{"split", route("r", "h", "/a/", WeightedService{"s", 90}, WeightedService{"t", 10}), true},
		{"a part of nothing", route("r", "h", "/a/", WeightedService{"s", 90}, WeightedService{"t", 0}), true},
		{"unknown service", route("r", "h", "/a/", WeightedService{"gone", 1}), false},
		{"unknown part", route("r", "h", "/a/", WeightedService{"s", 90}, WeightedService{"gone", 10}), false},
		{"negative weight", route("r", "h", "/a/", WeightedService{"s", 90}, WeightedService{"t", -1}), false},
		{"no weight", route("r", "h", "/a/", WeightedService{"s", 0}), false},
		{"no prefix", route("r", "h", ""), false},
	} {
		_, err := Compile(Configuration{
			Version: 2, Services: []Service{{Name: "s"}, {Name: "t"}}, Routes: []Route{route("first", "h", "/"), c.route},
		})
		assert.Equal(t, err == nil, c.ok, "%s: %v", c.name, err)
	}
}

// Guards against requests that take a shorter prefix's route, or another host's.
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

const interval = time.Second

func announce(id string, born, sequence int64, state EndpointState) Announcement {
	return Announcement{
		ID: id, Service: "s", Version: "v1", Address: "a", Slots: 4, State: state, StartUnixMs: born, Sequence: sequence,
	}
}

// Guards against an endpoint that has announced its end and gets requests again
// by a late announcement, and against a new start under the same id or address
// that gets none.
func TestAnnouncementsOutOfOrder(t *testing.T) {
	now := time.Now()
	type step struct {
		announce Announcement
		leave    string
	}
	for _, c := range []struct {
		name  string
		steps []step
		want  string
	}{
		{"ready", []step{{announce: announce("a", 1, 1, EndpointReady)}}, "a"},
		{"draining", []step{{announce: announce("a", 1, 1, EndpointReady)}, {announce: announce("a", 1, 2, EndpointDraining)}}, ""},
		{"late ready after draining", []step{{announce: announce("a", 1, 2, EndpointDraining)}, {announce: announce("a", 1, 1, EndpointReady)}}, ""},
		{"draining overtaken by ready", []step{{announce: announce("a", 1, 2, EndpointReady)}, {announce: announce("a", 1, 1, EndpointDraining)}}, ""},
		{"ready again after draining", []step{{announce: announce("a", 1, 2, EndpointDraining)}, {announce: announce("a", 1, 3, EndpointReady)}}, ""},
		{"late ready after the end", []step{{announce: announce("a", 1, 1, EndpointReady)}, {leave: "a"}, {announce: announce("a", 1, 2, EndpointReady)}}, ""},
		{"new start under the old id", []step{{announce: announce("a", 1, 9, EndpointReady)}, {leave: "a"}, {announce: announce("a", 2, 1, EndpointReady)}}, "a"},
		{"new start without an end", []step{{announce: announce("a", 1, 9, EndpointDraining)}, {announce: announce("a", 2, 1, EndpointReady)}}, "a"},
		{"new endpoint at the address", []step{{announce: announce("a", 1, 9, EndpointReady)}, {announce: announce("b", 2, 1, EndpointReady)}}, "b"},
		{"late announcement of the old one", []step{{announce: announce("b", 2, 1, EndpointReady)}, {announce: announce("a", 1, 9, EndpointReady)}}, "b"},
		{"late ready after the end of an unknown one", []step{{leave: "a"}, {announce: announce("a", 1, 1, EndpointReady)}}, ""},
		{"new start after the end of an unknown one", []step{{leave: "a"}, {announce: announce("a", time.Now().Add(time.Minute).UnixMilli(), 1, EndpointReady)}}, "a"},
	} {
		l := NewEndpointRegistry(interval)
		for _, s := range c.steps {
			if s.leave != "" {
				l.Deregister(now, s.leave, 0)
			} else {
				l.Announce(now, s.announce)
			}
		}
		got := ""
		for _, e := range l.ReadyEndpoints(now) {
			got += e.ID
		}
		assert.Equal(t, got, c.want, c.name)
	}
}

// Guards against an endpoint that announced its end to the node's last process
// and gets requests from the next by a late announcement.
func TestEndedEndpointsSurviveRestart(t *testing.T) {
	now := time.Now()
	first := NewEndpointRegistry(interval)
	first.Announce(now, announce("gone", 1, 1, EndpointReady))
	first.Deregister(now, "gone", 0)
	first.Announce(now, announce("drains", 1, 1, EndpointDraining))
	entry, err := Instance{Name: "n", Address: "a", EndedEndpoints: first.EndedEndpoints()}.Encode()
	assert.NilError(t, err)
	stored, err := DecodeInstance(entry)
	assert.NilError(t, err)

	next := NewEndpointRegistry(interval)
	next.Announce(now, announce("gone", 1, 2, EndpointReady))
	next.Restore(now, stored)
	assert.Equal(t, len(next.ReadyEndpoints(now)), 0, "an announcement before the store was read counts")
	next.Announce(now, announce("gone", 1, 3, EndpointReady))
	next.Announce(now, announce("drains", 1, 3, EndpointReady))
	assert.Equal(t, len(next.ReadyEndpoints(now)), 0)
	next.Announce(now, announce("gone", 2, 1, EndpointReady))
	assert.Equal(t, len(next.ReadyEndpoints(now)), 1, "a new start is kept out")
}

// Guards against an endpoint that is not used after a restart of its node until
// it announces itself, and against one that replaced it meanwhile.
func TestEndpointsSurviveRestart(t *testing.T) {
	now := time.Now()
	first := NewEndpointRegistry(interval)
	first.Announce(now, announce("a", 1, 5, EndpointReady))
	entry := Instance{Name: "n", Address: "a", Endpoints: first.ReadyEndpoints(now)}
	next := NewEndpointRegistry(interval)
	next.Restore(now, entry)
	assert.Equal(t, len(next.ReadyEndpoints(now)), 1)
	assert.Assert(t, next.Announce(now, announce("a", 1, 6, EndpointDraining)), "its own word counts")
	assert.Equal(t, len(next.ReadyEndpoints(now)), 0)
	replaced := NewEndpointRegistry(interval)
	replaced.Announce(now, announce("b", 2, 1, EndpointReady))
	replaced.Restore(now, entry)
	assert.Equal(t, replaced.ReadyEndpoints(now)[0].ID, "b")
	assert.Equal(t, len(replaced.ReadyEndpoints(now)), 1)
	silent := NewEndpointRegistry(interval)
	silent.Restore(now, entry)
	silent.RemoveExpired(now.Add((beatsMissed + 1) * interval))
	assert.Equal(t, len(silent.ReadyEndpoints(now)), 0)
}

// Guards against requests to an endpoint that crashed without a word, and
// against the loss of one whose announcement is seconds late.
func TestSilentEndpointIsDropped(t *testing.T) {
	now := time.Now()
	l := NewEndpointRegistry(interval)
	assert.Assert(t, l.Announce(now, announce("a", 1, 1, EndpointReady)))
	assert.Assert(t, !l.RemoveExpired(now.Add(3*interval)))
	assert.Assert(t, l.ReadyEndpoint("a") != nil)
	assert.Assert(t, l.RemoveExpired(now.Add((beatsMissed+1)*interval)))
	assert.Assert(t, l.ReadyEndpoint("a") == nil)
	assert.Assert(t, l.Announce(now.Add(10*interval), announce("a", 1, 2, EndpointReady)), "a paused endpoint comes back")
}

// Guards against entries of other writers that name an endpoint or harm others.
func TestDecodeInstance(t *testing.T) {
	for _, c := range []struct {
		value     string
		ok        bool
		endpoints int
	}{
		{`{"name":"n","address":"a","endpoints":[{"id":"e","service":"s","slots":1}]}`, true, 1},
		{`{"name":"n","address":"a","endpoints":[{"id":"e","slots":1},{"id":"f","service":"s"}]}`, true, 0},
		{`{"name":"n","address":"a","endpoints":"none"}`, false, 0},
		{`{"name":"n"}`, false, 0},
		{`{`, false, 0},
		{``, false, 0},
	} {
		i, err := DecodeInstance([]byte(c.value))
		assert.Equal(t, err == nil, c.ok, c.value)
		assert.Equal(t, len(i.Endpoints), c.endpoints, c.value)
	}
}
