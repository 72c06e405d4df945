package applier

import (
	"context"

	"papayapaddle/internal/encoder"
	"papayapaddle/internal/exchanger"
	"papayapaddle/internal/linker"
)

// HintConfigVersion notifies a router, via its peer listener, that a configuration version was
// committed, and returns the version that the router has installed. The hint itself installs
// nothing; it only makes the router sync with the store immediately.
func HintConfigVersion(ctx context.Context, dial linker.DialFunc, address string, version uint64) (uint64, error) {
	client, _, err := exchanger.Dial(ctx, dial, address, encoder.Hello{})
	if err != nil {
		return 0, err
	}
	defer client.Close()
	var reply encoder.Message
	if err := exchanger.Call(client, "Peer.Exchange", &encoder.Message{ConfigVersion: version}, &reply); err != nil {
		return 0, err
	}
	return reply.ConfigVersion, nil
}
