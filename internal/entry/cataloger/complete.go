package cataloger

import (
	"fmt"

	"lentilrock.example/internal/fleet/describer"
)

// Complete returns a new configuration in which what could not be read is replaced by what the former version has under
// the same name, and left out if that has none. It also leaves out what is listed twice. The reasons describe for
// operators what was replaced or left out.
func Complete(config, former describer.Config) (describer.Config, []string) {
	c := completer{former: former, reasons: append([]string(nil), config.Unread.Reasons...)}
	unread := config.Unread
	config.Queues = c.queues(config.Queues, unread)
	config.Services = c.services(config.Services, unread)
	if unread.AllWorkspaces {
		config.Workspaces = former.Workspaces
	} else {
		config.Workspaces = c.workspaces(config.Workspaces, unread)
	}
	if unread.MaxBody {
		config.MaxBody = former.MaxBody
	}
	config.Unread = describer.Unread{}
	return config, c.reasons
}

type completer struct {
	former  describer.Config
	reasons []string
}

func (c *completer) report(format string, args ...any) {
	c.reasons = append(c.reasons, fmt.Sprintf(format, args...))
}

// queues replaces each queue of which a field could not be read by the former one. It is public only if both are, as
// that field may be the one that could not be read.
func (c *completer) queues(queues []describer.Queue, unread describer.Unread) []describer.Queue {
	if unread.AllQueues {
		return c.former.Queues
	}
	former := make(map[string]describer.Queue, len(c.former.Queues))
	for _, q := range c.former.Queues {
		former[q.Name] = q
	}
	var kept []describer.Queue
	for i, q := range queues {
		if unread.Queues[i] {
			known, found := former[q.Name]
			if !found {
				continue
			}
			known.IsPublic = known.IsPublic && q.IsPublic
			q = known
		}
		kept = append(kept, q)
	}
	return kept
}

// services does the same for services.
func (c *completer) services(services []describer.Service, unread describer.Unread) []describer.Service {
	if unread.AllServices {
		return c.former.Services
	}
	former := make(map[string]describer.Service, len(c.former.Services))
	for _, s := range c.former.Services {
		former[s.Name] = s
	}
	var kept []describer.Service
	for i, s := range services {
		if unread.Services[i] {
			known, found := former[s.Name]
			if !found {
				continue
			}
			s = known
		}
		kept = append(kept, s)
	}
	return kept
}

// workspaces replaces the fields of workspaces that could not be read by those of the former version. Of workspaces
// with the same name the first counts.
func (c *completer) workspaces(workspaces []describer.Workspace, unread describer.Unread) []describer.Workspace {
	former := make(map[string]describer.Workspace, len(c.former.Workspaces))
	for _, w := range c.former.Workspaces {
		former[w.Name] = w
	}
	var kept []describer.Workspace
	isListed := make(map[string]bool, len(workspaces))
	for i, w := range workspaces {
		switch {
		case w.Name == "":
			continue
		case isListed[w.Name]:
			c.report("workspace %.40q: is listed again, the first entry counts", w.Name)
			continue
		}
		isListed[w.Name] = true
		known, fields := former[w.Name], unread.Workspaces[i]
		if fields.Keys {
			w.Keys = known.Keys
		}
		if fields.Priority {
			w.Priority = known.Priority
		}
		if fields.Weight {
			w.Weight = known.Weight
		}
		if fields.Limit {
			w.Limit = known.Limit
		}
		kept = append(kept, w)
	}
	c.assignKeys(kept)
	return kept
}

// assignKeys leaves each key to one workspace: to the one that had it in the former version, else to the first one
// that lists it. So a key listed for a second workspace by mistake opens nothing there, and its owner keeps it.
func (c *completer) assignKeys(workspaces []describer.Workspace) {
	formerOwner := make(map[describer.KeyDigest]string)
	for _, w := range c.former.Workspaces {
		for _, key := range w.Keys {
			formerOwner[key] = w.Name
		}
	}
	owner := make(map[describer.KeyDigest]string)
	for _, w := range workspaces {
		for _, key := range w.Keys {
			if _, isOwned := owner[key]; !isOwned || formerOwner[key] == w.Name {
				owner[key] = w.Name
			}
		}
	}
	for i := range workspaces {
		w := &workspaces[i]
		isListed := make(map[describer.KeyDigest]bool, len(w.Keys))
		var keys []describer.KeyDigest
		for _, key := range w.Keys {
			switch {
			case owner[key] != w.Name:
				c.report("workspace %.40q: one of its keys belongs to workspace %.40q and opens nothing else", w.Name, owner[key])
			case isListed[key]:
				c.report("workspace %.40q: one of its keys is listed twice", w.Name)
			default:
				keys, isListed[key] = append(keys, key), true
			}
		}
		w.Keys = keys
	}
}
