package objectapi

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/azurespring/azurespring/pkg/platform"
)

// FuzzDecode verifies that malformed responses and watch events cause errors, never a
// panic or an object without name or version.
func FuzzDecode(f *testing.F) {
	object := `{"kind":"Lease","metadata":{"name":"a","resourceVersion":"1"},"spec":{"value":"AA=="}}`
	f.Add([]byte(object), 200)
	f.Add([]byte(`{"type":"MODIFIED","object":`+object+`}`), 200)
	f.Add([]byte(`{"type":"ERROR","object":{"kind":"Status","code":410}}`), 200)
	f.Add([]byte(`{"kind":"Status","reason":"AlreadyExists","details":{"retryAfterSeconds":-1}}`), 409)
	f.Fuzz(func(t *testing.T, data []byte, code int) {
		for kind, r := range resources {
			event, bookmark, skip, err := decodeEvent(kind, r, data)
			if err == nil && !bookmark && !skip && (event.Object.Name == "" || event.Object.ResourceVersion == "") {
				t.Fatalf("event without name or version: %#v", event)
			}
		}
		var o objectList
		_ = json.Unmarshal(data, &o)
		if err := statusError(code, http.Header{"Retry-After": {string(data)}}, data); err == nil {
			t.Fatal("error response gave no error")
		}
		_ = platform.IsNotApplied(statusError(code, nil, data))
	})
}
