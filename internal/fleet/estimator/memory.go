package estimator

// memory has the histories of at most maxKeys keys. It forgets those without a sample while half as many others had one. The zero
// value is empty.
type memory[K comparable] struct {
	// newer has the keys with a sample since the last change of generations, and older those of the generation before.
	newer, older map[K]*history
}

// get returns the history of a key; false if there is none.
func (m *memory[K]) get(key K) (*history, bool) {
	if h, found := m.newer[key]; found {
		return h, true
	}
	h, found := m.older[key]
	return h, found
}

// forSample returns the history of a key that gets a sample, a new one if there is none.
func (m *memory[K]) forSample(key K) *history {
	h, found := m.get(key)
	if !found {
		h = &history{}
	}
	if _, isNewer := m.newer[key]; !isNewer {
		if m.newer == nil || len(m.newer) >= maxKeys/2 {
			m.older, m.newer = m.newer, make(map[K]*history)
		}
		m.newer[key] = h
	}
	return h
}
