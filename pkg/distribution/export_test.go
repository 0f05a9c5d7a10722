package distribution

// WithLowerFence returns an announcement with its fencing number lowered by one.
func WithLowerFence(payload []byte) ([]byte, error) {
	a, err := decodeAnnouncement(payload)
	a.Fence--
	return encode(a), err
}
