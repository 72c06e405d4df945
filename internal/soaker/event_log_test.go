package soaker

import (
	"log"
	"os"
	"path/filepath"
	"reflect"
	"runtime"
	"strings"
)

// newEventLog returns a log of what the soak does, beside the logs of the routers.
func newEventLog(logDir string) (*log.Logger, error) {
	file, err := os.Create(filepath.Join(logDir, "soak.log"))
	if err != nil {
		return nil, err
	}
	return log.New(file, "ts=", log.Ltime|log.Lmicroseconds|log.LUTC), nil
}

func (f fault) String() string {
	name := runtime.FuncForPC(reflect.ValueOf(f).Pointer()).Name()
	return name[strings.LastIndex(name, ".")+1:]
}
