package connector

import (
	"context"
	"net/http"
	"net/netip"

	"github.com/cockroachdb/errors"

	"lentilrock.example/internal/cell/descriptor"
	"lentilrock.example/internal/platform/messages"
)

// HostList is the platform's host list.
type HostList interface {
	// Hosts returns the hosts on the list. The list lags behind changes of the hosts.
	Hosts(ctx context.Context) ([]descriptor.Host, error)
}

// HTTPHostList is the HTTP client of the host list.
type HTTPHostList struct {
	Client  *http.Client
	Address netip.AddrPort
}

// Hosts implements HostList.
func (l HTTPHostList) Hosts(ctx context.Context) ([]descriptor.Host, error) {
	var hosts []descriptor.Host
	url := "http://" + l.Address.String() + "/v1/hosts"
	if err := call(ctx, l.Client, http.MethodGet, url, nil, &hosts); err != nil {
		return nil, errors.Errorf("read host list: %w", err)
	}
	return hosts, nil
}

// Workers calls the platform's workers.
type Workers interface {
	// Start starts an attempt of a task. If it returns an error that does not wrap
	// ErrNoEffect, the attempt may be running.
	Start(ctx context.Context, worker descriptor.Host, start messages.Start) error
	// Heartbeat renews the worker's leases and returns its inventory.
	Heartbeat(ctx context.Context, worker descriptor.Host, heartbeat messages.Heartbeat) (messages.Inventory, error)
	// Stop stops an attempt.
	Stop(ctx context.Context, worker descriptor.Host, stop messages.Stop) error
	// Throttle limits an attempt's resource usage to its size, or lifts the limit.
	Throttle(ctx context.Context, worker descriptor.Host, throttle messages.Throttle) error
}

// HTTPWorkers is the HTTP client of the workers.
type HTTPWorkers struct {
	Client *http.Client
}

func (w HTTPWorkers) post(ctx context.Context, worker descriptor.Host, path string, body, result any) error {
	url := "http://" + worker.Address.String() + path
	if err := call(ctx, w.Client, http.MethodPost, url, body, result); err != nil {
		return errors.Errorf("call worker %s: %w", worker.Name, err)
	}
	return nil
}

// Start implements Workers.
func (w HTTPWorkers) Start(ctx context.Context, worker descriptor.Host, start messages.Start) error {
	return w.post(ctx, worker, "/v1/start", start, nil)
}

// Heartbeat implements Workers.
func (w HTTPWorkers) Heartbeat(ctx context.Context, worker descriptor.Host, heartbeat messages.Heartbeat) (messages.Inventory, error) {
	var inventory messages.Inventory
	err := w.post(ctx, worker, "/v1/heartbeat", heartbeat, &inventory)
	return inventory, err
}

// Stop implements Workers.
func (w HTTPWorkers) Stop(ctx context.Context, worker descriptor.Host, stop messages.Stop) error {
	return w.post(ctx, worker, "/v1/stop", stop, nil)
}

// Throttle implements Workers.
func (w HTTPWorkers) Throttle(ctx context.Context, worker descriptor.Host, throttle messages.Throttle) error {
	return w.post(ctx, worker, "/v1/throttle", throttle, nil)
}
