package dynamic

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// Action is what a change does to a configuration entry.
type Action string

// The actions of changes.
const (
	ActionAdded   Action = "added"
	ActionRemoved Action = "removed"
	ActionChanged Action = "changed"
)

// Change is a configuration entry in which two configurations differ.
type Change struct {
	// Entry is the kind and name, for example "service/stock".
	Entry  string `json:"entry"`
	Action Action `json:"action"`
	// Fields are the fields that differ in a changed entry, by their names in the lists.
	Fields []string `json:"fields,omitempty"`
}

// String returns the change as one line.
func (c Change) String() string {
	text := fmt.Sprintf("%s %s", c.Entry, c.Action)
	if len(c.Fields) > 0 {
		text += " (" + strings.Join(c.Fields, ", ") + ")"
	}
	return text
}

// Diff returns the configuration entries that differ between old and new, ordered
// by kind and name.
func Diff(old, new Config) []Change {
	changes := slices.Concat(
		diffEntries("customer", old.Customers, new.Customers, func(c Customer) string { return c.Name }),
		diffEntries("department", old.Departments, new.Departments, func(d Department) string { return d.Name }),
		diffEntries("plan", old.Plans, new.Plans, func(p Plan) string { return p.Name }),
		diffEntries("service", old.Services, new.Services, func(s Service) string { return s.Name }),
	)
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(a.Entry, b.Entry) })
	return changes
}

// diffEntries compares the entries of one kind by name.
func diffEntries[T any](kind string, old, new []T, name func(T) string) []Change {
	oldByName := make(map[string]T, len(old))
	for _, entry := range old {
		oldByName[name(entry)] = entry
	}
	var changes []Change
	for _, entry := range new {
		previous, ok := oldByName[name(entry)]
		delete(oldByName, name(entry))
		if !ok {
			changes = append(changes, Change{Entry: kind + "/" + name(entry), Action: ActionAdded})
		} else if fields := diffFields(previous, entry); len(fields) > 0 {
			changes = append(changes, Change{Entry: kind + "/" + name(entry), Action: ActionChanged, Fields: fields})
		}
	}
	for removed := range oldByName {
		changes = append(changes, Change{Entry: kind + "/" + removed, Action: ActionRemoved})
	}
	return changes
}

// diffFields returns the JSON names of the fields that differ when they are
// encoded as in a part.
func diffFields(old, new any) []string {
	before, after := reflect.ValueOf(old), reflect.ValueOf(new)
	var fields []string
	for i := range before.NumField() {
		a, errA := cborEncMode.Marshal(before.Field(i).Interface())
		b, errB := cborEncMode.Marshal(after.Field(i).Interface())
		if errA != nil || errB != nil || !slices.Equal(a, b) {
			name, _, _ := strings.Cut(before.Type().Field(i).Tag.Get("json"), ",")
			fields = append(fields, name)
		}
	}
	return fields
}

// PartNameForEntry returns the name of the part that contains the entry of a change.
func PartNameForEntry(entry string) string {
	if name, ok := strings.CutPrefix(entry, "customer/"); ok {
		return customersPartName(customerBucket(name))
	}
	return entry
}
