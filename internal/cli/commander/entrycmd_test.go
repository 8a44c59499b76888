package commander

import (
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSIGTERMAfterSIGHUP guards against a SIGTERM that is lost because a SIGHUP is not handled yet.
func TestSIGTERMAfterSIGHUP(t *testing.T) {
	hangUps, terminations, stop := notify()
	defer stop()
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	require.Eventually(t, func() bool { return len(hangUps) == 1 }, 10*time.Second, time.Millisecond)
	delivered := make(chan os.Signal, 1)
	signal.Notify(delivered, syscall.SIGTERM)
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	<-delivered
	// Stop returns after the signal was passed to all channels.
	signal.Stop(delivered)
	select {
	case sig := <-terminations:
		require.Equal(t, syscall.SIGTERM, sig)
	default:
		t.Fatal("the SIGTERM was lost")
	}
}
