package applier

import (
	"lentilrock.example/internal/cell/recorder"
)

func (s *State) applyIntent(offset int64, b recorder.Intent) Verdict {
	if current := s.Claim(b.Shard); b.Epoch != current.Epoch || current.Released {
		return rejected("epoch %d of %s is over, the present one is %d", b.Epoch, b.Shard, current.Epoch)
	}
	if request, found := s.Requests[b.Key]; found {
		if request.HasIntent {
			return rejected("key %s was dispatched by %s", b.Key, request.Intent.Dispatcher)
		}
		return rejected("key %s was closed as %s", b.Key, request.Outcome.End)
	}
	s.storeRequest(b.Key, &Request{Intent: b, HasIntent: true, Offset: offset})
	return applied()
}

func (s *State) applyOutcome(offset int64, b recorder.Outcome) Verdict {
	request, found := s.Requests[b.Key]
	if found && request.Closed {
		return rejected("key %s was closed as %s", b.Key, request.Outcome.End)
	}
	if !found {
		request = &Request{Offset: offset}
		s.storeRequest(b.Key, request)
	}
	request.Outcome = b
	request.Closed = true
	s.ClosedRequests = append(s.ClosedRequests, b.Key)
	s.Results = append(s.Results, b.Key)
	s.evictRequests()
	return applied()
}

func (s *State) storeRequest(key string, r *Request) {
	if s.Requests == nil {
		s.Requests = make(map[string]*Request)
	}
	s.Requests[key] = r
}

// evictRequests enforces maxResults and maxClosedRequests, oldest first.
func (s *State) evictRequests() {
	for len(s.Results) > maxResults {
		if old, found := s.Requests[s.Results[0]]; found {
			old.Outcome.Result = nil
		}
		s.Results = s.Results[1:]
	}
	for len(s.ClosedRequests) > maxClosedRequests {
		delete(s.Requests, s.ClosedRequests[0])
		s.ClosedRequests = s.ClosedRequests[1:]
	}
}
