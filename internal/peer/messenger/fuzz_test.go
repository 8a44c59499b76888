package messenger

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzFrame guards against frames of peers that end the process or that change when they are sent on.
func FuzzFrame(f *testing.F) {
	data, err := encode(frame{Version: 1, Ref: 1 << 63, Kind: "keep", Body: []byte{0xf6}})
	require.NoError(f, err)
	f.Add([]byte(data))
	f.Add([]byte{0x9f, 0x9f, 0x9f})
	f.Add([]byte{0xbb, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		_, _ = decode[Hello](data)
		received, err := decode[frame](data)
		if err != nil || len(received.Body) == 0 {
			return
		}
		sent, err := encode(received)
		require.NoError(t, err)
		again, err := decode[frame](sent)
		require.NoError(t, err)
		require.Equal(t, received, again)
	})
}
