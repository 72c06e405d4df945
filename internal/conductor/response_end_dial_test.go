package conductor

import "papayapaddle/internal/linker"

// connect sets what reaches the servers beside requests.
func (f *endFleet) connect(dial linker.DialFunc) { f.node.crashDetector.Dial = dial }
