package budgeter_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilrock.example/internal/web/budgeter"
)

var (
	startTime = time.Unix(1_800_000_000, 0)
	first     = netip.MustParseAddr("127.0.0.1")
	second    = netip.MustParseAddr("127.0.0.2")
)

// newPool returns a pool of 4 connections.
func newPool(memory int64) *budgeter.Pool {
	return budgeter.New(budgeter.PoolLimits{
		Connections: 4, Memory: memory, HeaderTimeout: 5 * time.Second, BodyTimeout: 10 * time.Second,
		IdleTimeout: 90 * time.Second, ResponseTimeout: 30 * time.Second,
	})
}

// TestLeastProgressIsShedFirst guards against a full pool of 4 connections that keeps stalled clients, or closes one that is
// being served or sends at speed, when another client asks for a connection.
func TestLeastProgressIsShedFirst(t *testing.T) {
	p := newPool(1 << 20)
	var leases [4]*budgeter.Lease
	for i := range leases {
		leases[i], _, _ = p.Open(first, startTime)
	}
	_, _, err := p.Open(first, startTime.Add(budgeter.MinStall-1))
	require.ErrorIs(t, err, budgeter.ErrBusy)
	leases[0].Enter(budgeter.Handling, startTime)
	leases[1].Receive(100_000, startTime)
	leases[2].Receive(10, startTime)
	now := startTime.Add(2 * budgeter.MinStall)
	for _, want := range []*budgeter.Lease{leases[3], leases[2], leases[1]} {
		_, shed, err := p.Open(first, now)
		require.NoError(t, err)
		require.Equal(t, []*budgeter.Lease{want}, shed)
	}
	_, _, err = p.Open(first, now)
	require.ErrorIs(t, err, budgeter.ErrBusy)
}

// TestProgressSinceTheSearch guards against a connection that is shed although it has made progress since it was found to be stalled.
func TestProgressSinceTheSearch(t *testing.T) {
	p := newPool(1 << 20)
	var leases [4]*budgeter.Lease
	for i := range leases {
		leases[i], _, _ = p.Open(first, startTime)
		leases[i].Receive(i, startTime)
	}
	now := startTime.Add(budgeter.MinStall)
	_, shed, err := p.Open(first, now)
	require.NoError(t, err)
	require.Equal(t, leases[:1], shed)
	leases[1].Receive(100_000, now)
	_, shed, err = p.Open(first, now)
	require.NoError(t, err)
	require.Equal(t, leases[2:3], shed)
}

// TestAddressHoldsAPart guards against one address that keeps others from a full pool, or takes what they hold; alone it may
// have all.
func TestAddressHoldsAPart(t *testing.T) {
	p := newPool(1 << 20)
	for range 4 {
		_, _, err := p.Open(first, startTime)
		require.NoError(t, err)
	}
	lease, shed, err := p.Open(second, startTime)
	require.NoError(t, err)
	require.Len(t, shed, 1)
	lease.Enter(budgeter.Idle, startTime)
	_, shed, err = p.Open(first, startTime.Add(time.Minute))
	require.NoError(t, err)
	require.NotContains(t, shed, lease)
}

// TestMemoryIsReleased guards against memory that stays reserved after a response or a connection, and against stalled bodies
// that keep the memory from a client that sends.
func TestMemoryIsReleased(t *testing.T) {
	p := newPool(4*budgeter.ConnectionBytes + 1000)
	stalled, _, _ := p.Open(first, startTime)
	idle, _, _ := p.Open(first, startTime)
	sending, _, _ := p.Open(first, startTime)
	_, err := idle.Reserve(900, startTime)
	require.NoError(t, err)
	idle.Enter(budgeter.Idle, startTime)
	_, err = stalled.Reserve(20_000, startTime)
	require.NoError(t, err)
	_, err = sending.Reserve(5000, startTime)
	require.ErrorIs(t, err, budgeter.ErrBusy)
	shed, err := sending.Reserve(5000, startTime.Add(budgeter.MinStall))
	require.NoError(t, err)
	require.Equal(t, []*budgeter.Lease{stalled}, shed)
	idle.Close()
	sending.Close()
	connections, memory := p.Used()
	require.Zero(t, connections)
	require.Zero(t, memory)
}

// TestDeadlines guards against connections that stay open without progress, and against deadlines that end one being served.
func TestDeadlines(t *testing.T) {
	for _, test := range []struct {
		phase     budgeter.Phase
		isWriting bool
		after     time.Duration
		want      budgeter.Cause
	}{
		{budgeter.Header, false, 5 * time.Second, budgeter.CauseHeader},
		{budgeter.Body, false, 10 * time.Second, budgeter.CauseBody},
		{budgeter.Idle, false, 90 * time.Second, budgeter.CauseIdle},
		{budgeter.Handling, true, 30 * time.Second, budgeter.CauseResponse},
		{budgeter.Handling, false, time.Hour, ""},
		{budgeter.Taken, false, time.Hour, ""},
	} {
		p := newPool(1 << 20)
		lease, _, _ := p.Open(first, startTime)
		lease.Enter(test.phase, startTime)
		if test.isWriting {
			lease.BeginWrite(startTime)
		}
		require.Empty(t, p.Expired(startTime.Add(test.after)))
		if expired := p.Expired(startTime.Add(test.after + 1)); test.want != "" {
			require.Equal(t, []budgeter.Expiry{{Lease: lease, Cause: test.want}}, expired)
		} else {
			require.Empty(t, expired)
		}
	}
}

// TestPlanFitsTheShare guards against listeners whose memory is in sum over the clients' share of the host's, with what the kernel
// holds for connections that wait to be accepted.
func TestPlanFitsTheShare(t *testing.T) {
	for _, limits := range []budgeter.Limits{
		{MemoryMB: 64, MaxFDs: 300}, {MemoryMB: 64, MaxFDs: 1 << 20}, {MemoryMB: 160, MaxFDs: 4100}, {MemoryMB: 184, MaxFDs: 4100},
		{MemoryMB: 536, MaxFDs: 8192}, {MemoryMB: 1024, MaxFDs: 16_384, MemoryShare: 0.4},
	} {
		plan := limits.Plan()
		apart, together := int64(0), int64(0)
		for name, pool := range plan {
			sum := pool.Memory + int64(pool.Backlog)*budgeter.UnreadBytes(pool.ReceiveBuffer)
			if name != budgeter.Shared {
				apart += sum
			}
			if name == budgeter.Shared || name == budgeter.Peers {
				together += sum
			}
		}
		require.LessOrEqual(t, apart, limits.MemoryMB<<20*4/10)
		require.LessOrEqual(t, together, limits.MemoryMB<<20*4/10)
	}
}

// TestRetainedMemoryClosesNobody guards against a larger receive buffer for which another connection is closed, and against one
// that is free again while the connection is open.
func TestRetainedMemoryClosesNobody(t *testing.T) {
	p := newPool(4*budgeter.ConnectionBytes + 2000)
	stalled, _, _ := p.Open(first, startTime)
	lease, _, _ := p.Open(second, startTime)
	_, err := stalled.Reserve(500, startTime)
	require.NoError(t, err)
	require.False(t, lease.Retain(600))
	require.True(t, lease.Retain(400))
	lease.Enter(budgeter.Idle, startTime)
	_, memory := p.Used()
	require.EqualValues(t, 2*budgeter.ConnectionBytes+900, memory)
	require.False(t, stalled.IsClosed())
	lease.Close()
	stalled.Close()
	_, memory = p.Used()
	require.Zero(t, memory)
}
