package mesh

import "encoding/json"

// StoredEra returns the era of the store in which the value of an object was written, 0
// if the value does not say it.
func StoredEra(value []byte) uint64 {
	var v struct {
		Era uint64 `json:"era"`
	}
	if err := json.Unmarshal(value, &v); err != nil {
		return 0 // A value that cannot be decoded is reported where it is used.
	}
	return v.Era
}

// ObjectVersion is what decides whether an object that is read after the store was
// restored from a copy replaces the one that is known.
type ObjectVersion struct {
	// Era is the era in which the object was read, and Revision its revision in it.
	Era      uint64
	Revision uint64
	// WrittenIn is the era in which the object was written, 0 if unknown.
	WrittenIn uint64
}

// IsLostWrite reports whether known is a write that the store has lost: read comes from
// the copy that the store was restored from, and is older. An object that was written
// again since the restore is newer, whatever its revision.
func IsLostWrite(known, read ObjectVersion) bool {
	return known.Era < read.Era && read.WrittenIn < read.Era && read.Revision < known.Revision
}
