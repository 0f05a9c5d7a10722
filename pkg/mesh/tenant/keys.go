// Package tenant decides which tenant a request belongs to: it finds keys without keeping
// them, and tells whether the configuration that holds them may still be relied on.
package tenant

import (
	"crypto/sha256"
	"strings"
)

// KeyIndex finds the holders of keys. It holds hashes only, so that a dump of the memory
// of a node, or a log of the index, shows no key. A search takes the same work for each
// key that a client may send; its time does not depend on how much of the key is right.
type KeyIndex struct {
	holders map[keyHash]int
}

type keyHash [sha256.Size]byte

// NewKeyIndex returns an index for about size keys.
func NewKeyIndex(size int) *KeyIndex { return &KeyIndex{holders: make(map[keyHash]int, size)} }

// Add assigns a key to a holder. An empty key is no secret and identifies nobody.
func (i *KeyIndex) Add(key string, holder int) {
	if key != "" {
		i.holders[sha256.Sum256([]byte(key))] = holder
	}
}

// Holder returns the holder of a key and whether the key is known.
func (i *KeyIndex) Holder(key string) (holder int, isKnown bool) {
	holder, isKnown = i.holders[sha256.Sum256([]byte(key))]
	return holder, isKnown
}

// KeyOf returns the key in the values of the header that holds it, "" if there is none that
// can be used: another scheme, or more than one value, of which another program might use
// another one. Schemes are compared without regard to case, as HTTP says.
func KeyOf(values []string, scheme string) string {
	if len(values) != 1 {
		return ""
	}
	given, key, _ := strings.Cut(strings.TrimSpace(values[0]), " ")
	if !strings.EqualFold(given, scheme) {
		return ""
	}
	return strings.TrimSpace(key)
}
