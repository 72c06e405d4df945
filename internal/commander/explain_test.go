package commander

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/datadriven"
	qt "github.com/frankban/quicktest"
)

// TestExplain runs the explain command on files created by the test script.
func TestExplain(t *testing.T) {
	dir := t.TempDir()
	t.Chdir(dir)
	datadriven.RunTest(t, filepath.Join(testdataDir, "explain"), func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "file":
			qt.Assert(t, os.WriteFile(filepath.Join(dir, d.CmdArgs[0].Key), []byte(d.Input), 0o600), qt.IsNil)
			return ""
		case "run":
			args := []string{"papayapaddle"}
			for _, arg := range d.CmdArgs {
				args = append(args, arg.Key)
			}
			var out, errOut bytes.Buffer
			if err := New(&out, &errOut).Run(context.Background(), args); err != nil {
				return out.String() + "error: " + err.Error() + "\n"
			}
			return out.String()
		}
		t.Fatalf("unknown command %s", d.Cmd)
		return ""
	})
}

// testdataDir is the absolute path of testdata, since TestExplain changes the working directory.
var testdataDir = func() string {
	dir, err := filepath.Abs("testdata")
	if err != nil {
		panic(err)
	}
	return dir
}()
