package applier

import (
	"context"

	"papayapaddle/internal/encoder"
	"papayapaddle/internal/exchanger"
	"papayapaddle/internal/linker"
)

// HintConfigVersion tells a router, through its peer listener, that a version was accepted,
// and returns the version that it has. The router believes the store alone: a
// hint only makes it look there at once.
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
