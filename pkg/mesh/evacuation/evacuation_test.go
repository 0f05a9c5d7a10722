package evacuation

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A node that does not know the evacuations must send nothing, as one of them may hold.
func TestUnknownSetAdmitsNothing(t *testing.T) {
	var unknown *Set
	assert.Assert(t, !unknown.Admits("zone-a"))
	assert.Assert(t, !unknown.IsEmpty())
	assert.Assert(t, None.Admits("zone-a") && None.IsEmpty())
}

// Only the named failure domains must get no requests.
func TestSetAdmitsOtherDomains(t *testing.T) {
	s := NewSet("zone-b", "zone-a")
	assert.Assert(t, !s.Admits("zone-a") && !s.Admits("zone-b") && s.Admits("zone-c"))
	assert.DeepEqual(t, s.Domains(), []string{"zone-a", "zone-b"})
}

// The end of an evacuation must be noticed: endpoints may have become cold before it.
func TestCompareReportsBeginsAndEnds(t *testing.T) {
	for _, c := range []struct {
		name           string
		previous, next *Set
		want           Change
	}{
		{"nothing", NewSet("a"), NewSet("a"), Change{}},
		{"first knowledge", nil, NewSet("a"), Change{Begun: []string{"a"}}},
		{"begin and end", NewSet("a", "b"), NewSet("b", "c"), Change{Begun: []string{"c"}, Ended: []string{"a"}}},
		{"all end", NewSet("b", "a"), None, Change{Ended: []string{"a", "b"}}},
	} {
		assert.DeepEqual(t, Compare(c.previous, c.next), c.want)
		assert.Equal(t, Compare(c.previous, c.next).IsEmpty(), len(c.want.Begun)+len(c.want.Ended) == 0, c.name)
	}
}
