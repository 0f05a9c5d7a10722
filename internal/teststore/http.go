package teststore

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// maxBodyBytes bounds request bodies: a 1 MiB value in base64 and the enclosing object.
const maxBodyBytes = 2 << 20

// maxValueBytes is the platform's limit on a stored value, in its base64 form.
const maxValueBytes = (1<<20)*4/3 + 64

// resourcesWithStatus are the resources whose status is written only through the
// status subresource.
var resourcesWithStatus = []string{"movestatuses"}

type requestPath struct {
	key
	subresource string
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/control" {
		s.control(w, r)
		return
	}
	path, ok := parsePath(r.URL.Path)
	if !ok {
		writeFailure(w, http.StatusNotFound, "NotFound", "unknown path")
		return
	}
	verb := verbOf(r, path)
	// The body is read before any delay, because the server detects a closed client
	// connection only after that.
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeFailure(w, http.StatusBadRequest, "BadRequest", err.Error())
		return
	}
	if !s.injectFaults(w, r, verb, path) {
		return
	}
	if verb == "watch" {
		s.watch(w, r, path)
		return
	}
	code, body := s.handle(r, data, verb, path)
	if isWrite(verb) && code < http.StatusMultipleChoices && s.takeLostReply(path) {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, code, body)
}

// parsePath splits /apis/azurespring.io/v1/namespaces/{ns}/{resource}[/{name}[/status]].
func parsePath(path string) (requestPath, bool) {
	rest, ok := strings.CutPrefix(path, "/apis/azurespring.io/v1/namespaces/")
	if !ok {
		return requestPath{}, false
	}
	parts := strings.Split(rest, "/")
	if len(parts) < 2 || len(parts) > 4 || slices.Contains(parts, "") {
		return requestPath{}, false
	}
	parsed := requestPath{key: key{namespace: parts[0], resource: parts[1]}}
	if len(parts) > 2 {
		parsed.name = parts[2]
	}
	if len(parts) > 3 {
		parsed.subresource = parts[3]
	}
	return parsed, parsed.subresource == "" || parsed.subresource == "status"
}

func verbOf(r *http.Request, path requestPath) string {
	switch r.Method {
	case http.MethodGet:
		switch {
		case r.URL.Query().Get("watch") == "true":
			return "watch"
		case path.name == "":
			return "list"
		}
		return "get"
	case http.MethodPost:
		return "create"
	case http.MethodPut:
		return "update"
	case http.MethodDelete:
		return "delete"
	}
	return "unknown"
}

func isWrite(verb string) bool { return verb == "create" || verb == "update" || verb == "delete" }

// injectFaults counts the call and injects the faults that precede its effect. It
// returns false if it has sent an error response.
func (s *Store) injectFaults(w http.ResponseWriter, r *http.Request, verb string, path requestPath) bool {
	s.mu.Lock()
	s.counts[verb+" "+path.resource]++
	f := s.faults
	limited, rejected := f.RateLimitedCalls > 0 && f.appliesTo(path), false
	if limited {
		s.faults.RateLimitedCalls--
	} else if rejected = isWrite(verb) && f.RejectedWrites > 0 && f.appliesTo(path); rejected {
		s.faults.RejectedWrites--
	}
	s.mu.Unlock()
	if f.Delay > 0 {
		select {
		case <-time.After(f.Delay):
		case <-r.Context().Done():
		}
	}
	switch {
	case f.Down:
		panic(http.ErrAbortHandler)
	case limited:
		w.Header().Set("Retry-After", strconv.Itoa(f.RetryAfterSeconds))
		writeFailure(w, http.StatusTooManyRequests, "TooManyRequests", "rate limit")
	case rejected:
		writeFailure(w, http.StatusInternalServerError, "InternalError", "write rejected")
	}
	return !limited && !rejected
}

func (s *Store) takeLostReply(path requestPath) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LostReplies == 0 || !s.faults.appliesTo(path) {
		return false
	}
	s.faults.LostReplies--
	return true
}

type failureBody struct {
	Kind    string `json:"kind"`
	Status  string `json:"status"`
	Reason  string `json:"reason"`
	Message string `json:"message"`
	Code    int    `json:"code"`
}

func failureStatus(code int, reason, message string) (int, any) {
	return code, failureBody{Kind: "Status", Status: "Failure", Reason: reason, Message: message, Code: code}
}

func writeFailure(w http.ResponseWriter, code int, reason, message string) {
	code, body := failureStatus(code, reason, message)
	writeJSON(w, code, body)
}

func writeJSON(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(body)
}

type requestBody struct {
	Kind     string `json:"kind"`
	Metadata struct {
		Name            string `json:"name"`
		ResourceVersion string `json:"resourceVersion"`
	} `json:"metadata"`
	Spec          json.RawMessage `json:"spec"`
	Status        json.RawMessage `json:"status"`
	Preconditions struct {
		ResourceVersion string `json:"resourceVersion"`
	} `json:"preconditions"`
}

func (s *Store) handle(r *http.Request, data []byte, verb string, path requestPath) (int, any) {
	var body requestBody
	if isWrite(verb) {
		if err := json.Unmarshal(data, &body); err != nil && len(data) != 0 {
			return failureStatus(http.StatusBadRequest, "BadRequest", err.Error())
		}
		if len(body.Spec) > maxValueBytes || len(body.Status) > maxValueBytes {
			return failureStatus(http.StatusRequestEntityTooLarge, "RequestEntityTooLarge", "value exceeds 1 MB")
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch verb {
	case "get":
		return s.get(path)
	case "list":
		return s.list(r, path)
	case "create":
		return s.create(path, body)
	case "update":
		return s.update(path, body)
	case "delete":
		return s.remove(path, body)
	}
	return failureStatus(http.StatusMethodNotAllowed, "MethodNotAllowed", r.Method)
}

func (s *Store) get(path requestPath) (int, any) {
	o, ok := s.objects[path.key]
	if !ok {
		return failureStatus(http.StatusNotFound, "NotFound", path.name)
	}
	return http.StatusOK, o.json()
}

func (s *Store) list(r *http.Request, path requestPath) (int, any) {
	var names []string
	for k := range s.objects {
		if k.namespace == path.namespace && k.resource == path.resource {
			names = append(names, k.name)
		}
	}
	slices.Sort(names)
	from, _ := slices.BinarySearch(names, r.URL.Query().Get("continue"))
	names = names[from:]
	metadata := map[string]any{"resourceVersion": strconv.FormatUint(s.version, 10)}
	if limit, err := strconv.Atoi(r.URL.Query().Get("limit")); err == nil && limit > 0 && limit < len(names) {
		metadata["continue"] = names[limit]
		names = names[:limit]
	}
	items := make([]any, 0, len(names))
	for _, name := range names {
		items = append(items, s.objects[key{path.namespace, path.resource, name}].json())
	}
	return http.StatusOK, map[string]any{"kind": "List", "metadata": metadata, "items": items}
}

func (s *Store) create(path requestPath, body requestBody) (int, any) {
	path.name = body.Metadata.Name
	if path.name == "" || body.Kind == "" {
		return failureStatus(http.StatusUnprocessableEntity, "Invalid", "name and kind are required")
	}
	if _, ok := s.objects[path.key]; ok {
		return failureStatus(http.StatusConflict, "AlreadyExists", path.name)
	}
	o := object{Name: path.name, Kind: body.Kind, Spec: body.Spec}
	return http.StatusCreated, s.put(path.key, o, "ADDED").json()
}

func (s *Store) update(path requestPath, body requestBody) (int, any) {
	o, ok := s.objects[path.key]
	if !ok {
		return failureStatus(http.StatusNotFound, "NotFound", path.name)
	}
	if body.Metadata.ResourceVersion != strconv.FormatUint(o.Version, 10) {
		return failureStatus(http.StatusConflict, "Conflict", "the object has been modified")
	}
	switch {
	case path.subresource == "status":
		o.Status = body.Status
	case slices.Contains(resourcesWithStatus, path.resource):
		o.Spec = body.Spec
	default:
		o.Spec, o.Status = body.Spec, body.Status
	}
	return http.StatusOK, s.put(path.key, o, "MODIFIED").json()
}

func (s *Store) remove(path requestPath, body requestBody) (int, any) {
	o, ok := s.objects[path.key]
	if !ok {
		return failureStatus(http.StatusNotFound, "NotFound", path.name)
	}
	if want := body.Preconditions.ResourceVersion; want != "" && want != strconv.FormatUint(o.Version, 10) {
		return failureStatus(http.StatusConflict, "Conflict", "the object has been modified")
	}
	return http.StatusOK, s.put(path.key, o, "DELETED").json()
}
