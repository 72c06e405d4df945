package conductor

import (
	"papayapaddle/internal/cataloger"
	"papayapaddle/internal/linker"
)

// connect sets what reaches the servers beside requests.
func (f *endFleet) connect(linker.DialFunc) {
	mayProbe := f.node.prober.MayProbe
	f.node.prober.MayProbe = func(s *cataloger.Server) bool { return !f.evacuated.Load() && mayProbe(s) }
}
