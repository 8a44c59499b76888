package applier

import (
	"lentilrock.example/internal/cell/recorder"
)

func (s *State) applyIntent(offset int64, b recorder.Intent) Verdict {
	if present := s.Claim(b.Shard); b.Epoch != present.Epoch || present.Released {
		return void("epoch %d of %s is over, the present one is %d", b.Epoch, b.Shard, present.Epoch)
	}
	if known, found := s.Requests[b.Key]; found {
		if known.HasIntent {
			return void("key %s was dispatched by %s", b.Key, known.Intent.Dispatcher)
		}
		return void("key %s was closed as %s", b.Key, known.Outcome.End)
	}
	s.keepRequest(b.Key, &Request{Intent: b, HasIntent: true, Offset: offset})
	return applied()
}

func (s *State) applyOutcome(offset int64, b recorder.Outcome) Verdict {
	known, found := s.Requests[b.Key]
	if found && known.Closed {
		return void("key %s was closed as %s", b.Key, known.Outcome.End)
	}
	if !found {
		known = &Request{Offset: offset}
		s.keepRequest(b.Key, known)
	}
	known.Outcome = b
	known.Closed = true
	s.ClosedRequests = append(s.ClosedRequests, b.Key)
	s.Results = append(s.Results, b.Key)
	s.forgetRequests()
	return applied()
}

func (s *State) keepRequest(key string, r *Request) {
	if s.Requests == nil {
		s.Requests = make(map[string]*Request)
	}
	s.Requests[key] = r
}

func (s *State) forgetRequests() {
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
