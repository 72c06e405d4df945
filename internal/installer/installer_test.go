package installer

import (
	"encoding/json"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"papayapaddle/internal/declarer"
)

// history returns the changes with versions 1 to n, each of which adds one
// workspace, and the snapshots of these versions.
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

// TestVersionNeverDecreases delivers changes and snapshots late, duplicated and
// out of order, restarts routers without state and lets them update each other.
// The version of a router must not decrease, and each version must have exactly
// its own content. The test also counts how often the version would decrease if
// every snapshot were installed, to ensure that the deliveries exercise the
// version check.
func TestVersionNeverDecreases(t *testing.T) {
	const versions, routers = 12, 3
	changes, snapshots := history(versions)
	decreasesWithoutCheck := 0
	rapid.Check(t, func(t *rapid.T) {
		var installers [routers]*Installer
		for i := range installers {
			installers[i] = &Installer{}
		}
		uncheckedVersion := uint64(0)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			i := rapid.IntRange(0, routers-1).Draw(t, "router")
			v := rapid.IntRange(0, versions-1).Draw(t, "version")
			before := installers[i].Version()
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				installers[i] = &Installer{}
				before = 0
			case 1, 2:
				if _, err := installers[i].InstallSnapshot(snapshots[v]); err != nil {
					t.Fatal(err)
				}
				if snapshots[v].Version < uncheckedVersion {
					decreasesWithoutCheck++
				}
				uncheckedVersion = snapshots[v].Version
			case 3, 4, 5:
				// A gap returns an error and installs nothing.
				_, _ = installers[i].InstallChange(changes[v])
			default:
				from := installers[(i+1)%routers]
				ch, s := from.UpdateSince(before)
				if err := installers[i].InstallEncoded(ch, s); err != nil {
					t.Fatal(err)
				}
				if len(ch) <= maxChangesPerUpdate && installers[i].Version() < from.Version() {
					t.Fatalf("router %d is at version %d after an update from a router at version %d", i, installers[i].Version(), from.Version())
				}
			}
			if installers[i].Version() < before {
				t.Fatalf("version of router %d decreased from %d to %d", i, before, installers[i].Version())
			}
			if n := installers[i].Config().WorkspaceCount(); uint64(n) != installers[i].Version() {
				t.Fatalf("version %d has %d workspaces", installers[i].Version(), n)
			}
		}
	})
	if decreasesWithoutCheck == 0 {
		t.Fatal("no snapshot was delivered out of order; the version check was not exercised")
	}
	t.Logf("without the version check, the version would have decreased %d times", decreasesWithoutCheck)
}

func FuzzInstallEncoded(f *testing.F) {
	changes, _ := history(1)
	b, _ := json.Marshal(changes[0])
	f.Add(b)
	f.Add([]byte(`{"version":1,"rows":[{"section":"pools","name":"x"}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		var in Installer
		if err := in.InstallEncoded([][]byte{b}, nil); err != nil && in.Version() != 0 {
			t.Fatal("a rejected change was installed")
		}
	})
}
