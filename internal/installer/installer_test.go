package installer

import (
	"encoding/json"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"papayapaddle/internal/declarer"
)

// history returns changes 1 to n, each of which adds one workspace, and the
// snapshots of all versions.
func history(n int) (changes []declarer.Change, snapshots []declarer.Snapshot) {
	c := &declarer.Config{}
	for v := 1; v <= n; v++ {
		name := fmt.Sprint("w", v)
		w := declarer.Workspace{Name: name, Weight: 1, KeyHashes: []string{declarer.HashAPIKey(name)}}
		ch := declarer.Change{Version: uint64(v), Rows: []declarer.Row{declarer.NewRow(declarer.SectionWorkspaces, name, w)}}
		c, _ = c.Apply(ch.Version, ch.Rows)
		changes = append(changes, ch)
		snapshots = append(snapshots, declarer.Snapshot{Version: ch.Version, Rows: c.Rows()})
	}
	return changes, snapshots
}

// TestVersionsNeverFall delivers changes and snapshots late, twice and out of
// order, restarts routers cold and lets them pass on to each other. A router's
// version never falls, and each version holds exactly its own content. With
// the gate taken out, as any router that installs what arrives last, the
// version does fall; the test counts that too, to show that it can see it.
func TestVersionsNeverFall(t *testing.T) {
	const versions, routers = 12, 3
	changes, snapshots := history(versions)
	fallsWithoutGate := 0
	rapid.Check(t, func(t *rapid.T) {
		var rs [routers]*Installer
		for i := range rs {
			rs[i] = &Installer{}
		}
		ungated := uint64(0)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			i := rapid.IntRange(0, routers-1).Draw(t, "router")
			v := rapid.IntRange(0, versions-1).Draw(t, "version")
			before := rs[i].Version()
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				rs[i] = &Installer{}
				before = 0
			case 1, 2:
				if _, err := rs[i].InstallSnapshot(snapshots[v]); err != nil {
					t.Fatal(err)
				}
				if snapshots[v].Version < ungated {
					fallsWithoutGate++
				}
				ungated = snapshots[v].Version
			case 3, 4, 5:
				// A gap is an error and installs nothing.
				_, _ = rs[i].InstallChange(changes[v])
			default:
				from := rs[(i+1)%routers]
				ch, s := from.Since(before)
				if err := rs[i].InstallEncoded(ch, s); err != nil {
					t.Fatal(err)
				}
				if len(ch) <= maxPassed && rs[i].Version() < from.Version() {
					t.Fatalf("router %d is at %d after it was passed %d", i, rs[i].Version(), from.Version())
				}
			}
			if rs[i].Version() < before {
				t.Fatalf("router %d fell from %d to %d", i, before, rs[i].Version())
			}
			if n := rs[i].Config().WorkspaceCount(); uint64(n) != rs[i].Version() {
				t.Fatalf("version %d holds %d workspaces", rs[i].Version(), n)
			}
		}
	})
	if fallsWithoutGate == 0 {
		t.Fatal("no delivery was out of order; the test shows nothing")
	}
	t.Logf("without the gate the version would have fallen %d times", fallsWithoutGate)
}

func FuzzInstallEncoded(f *testing.F) {
	changes, _ := history(1)
	b, _ := json.Marshal(changes[0])
	f.Add(b)
	f.Add([]byte(`{"version":1,"rows":[{"section":"pools","name":"x"}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		var in Installer
		if err := in.InstallEncoded([][]byte{b}, nil); err != nil && in.Version() != 0 {
			t.Fatal("a refused change was installed")
		}
	})
}
