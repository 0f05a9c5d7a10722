package rawjson

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func texts(parts [][]byte) []string {
	list := []string{}
	for _, part := range parts {
		list = append(list, string(part))
	}
	return list
}

// A part must not hide the parts beside it, whatever it holds.
func TestElementsAreSplitWhateverTheyHold(t *testing.T) {
	deep := strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000)
	for _, c := range []struct {
		text string
		want []string
	}{
		{`[]`, []string{}},
		{`null`, []string{}},
		{" [ 1 , \"a,]\\\"\" ,\n{\"b\":[1,2]} ] ", []string{`1`, `"a,]\""`, `{"b":[1,2]}`}},
		{`[1e999999,NaN,-,"\ud800",tru]`, []string{`1e999999`, `NaN`, `-`, `"\ud800"`, `tru`}},
		{`["[{",["]"],{}]`, []string{`"[{"`, `["]"]`, `{}`}},
		{`[1,` + deep + `,2]`, []string{`1`, deep, `2`}},
	} {
		got, err := Elements([]byte(c.text))
		assert.NilError(t, err, "%.100s", c.text)
		assert.DeepEqual(t, texts(got), c.want)
	}
}

// A text that is no array, or is cut, must be an error.
func TestCutOrMalformedTextIsAnError(t *testing.T) {
	const complete = `[{"a\"":["]",1]},"b\\",{}]`
	_, err := Elements([]byte(complete))
	assert.NilError(t, err)
	for length := range len(complete) {
		_, err := Elements([]byte(complete[:length]))
		assert.Assert(t, err != nil, complete[:length])
	}
	for _, text := range []string{``, `{}`, `1`, `[1 2]`, `[,]`, `[1,]`, `[1]x`, `["a\`, `[`, `[}`} {
		_, err := Elements([]byte(text))
		assert.Assert(t, err != nil, text)
	}
	for _, text := range []string{``, `[]`, `{"a"}`, `{"a":}`, `{a:1}`, `{"a":1,}`, `{"a":1`, `{"a`, `{"a":"`, `{"\x":1}`} {
		_, err := Members([]byte(text))
		assert.Assert(t, err != nil, text)
	}
}

// Members must have the names and values that encoding/json reads.
func TestMembersMatchEncodingJSON(t *testing.T) {
	got, err := Members([]byte(` {"a" : 1, "\u0062":{"c":"}"} , "a":[2], "":null}`))
	assert.NilError(t, err)
	assert.Equal(t, len(got), 3)
	assert.Equal(t, string(got["a"]), `[2]`)
	assert.Equal(t, string(got["b"]), `{"c":"}"}`)
	assert.Equal(t, string(got[""]), `null`)
}

// All arrays and objects that encoding/json accepts must be split in the same way, and
// no input may end the process.
func FuzzSplit(f *testing.F) {
	for _, seed := range []string{`[1,"a",{"b":[]}]`, `{"a":[1],"b":"\""}`, `null`, `[[[`, `{"a":1e999}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		elements, elementsErr := Elements(text)
		members, membersErr := Members(text)
		var wantElements []json.RawMessage
		if json.Unmarshal(text, &wantElements) == nil {
			assert.NilError(t, elementsErr)
			assert.Equal(t, len(elements), len(wantElements))
			for i := range elements {
				assert.Equal(t, string(elements[i]), string(wantElements[i]))
			}
		}
		var wantMembers map[string]json.RawMessage
		if json.Unmarshal(text, &wantMembers) == nil {
			assert.NilError(t, membersErr)
			assert.Equal(t, len(members), len(wantMembers))
			for name, want := range wantMembers {
				assert.Equal(t, string(members[name]), string(want))
			}
		}
	})
}
