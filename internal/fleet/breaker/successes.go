package breaker

// Successes counts the runs of a step that were done, by worker. The zero value has none.
type Successes struct {
	total int
	at    map[string]int
}

// Add records a run at a worker that is done.
func (s *Successes) Add(worker string) {
	if s.at == nil {
		s.at = make(map[string]int)
	}
	s.at[worker]++
	s.total++
}

// elsewhere returns the number of runs that were done at other workers.
func (s *Successes) elsewhere(worker string) int { return s.total - s.at[worker] }
