package soaker

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// Bounds of what a failure prints: lines of each log, and bytes in all.
const (
	maxLinesOfRequests = 200
	maxLinesOfEvents   = 150
	maxPrintedBytes    = 512 << 10
)

var (
	requestIDs    = regexp.MustCompile(`request (c\d+-\d+) `)
	routineEvents = regexp.MustCompile(`event=(request|attempt-failed|engine|pressure|place-given-back|standby-\S+|server-silent|server-went-on) `)
)

// failureLog returns the lines of the logs in a directory that name a request of a violation, and the last other
// ones but those of single requests, so that a failure can be traced from the output alone.
func failureLog(logDir string, violations []string) string {
	named := map[string]bool{}
	for _, m := range requestIDs.FindAllStringSubmatch(strings.Join(violations, "\n"), -1) {
		named[m[1]] = true
	}
	// The pattern gives an error only if it is malformed.
	files, _ := filepath.Glob(filepath.Join(logDir, "*.log"))
	slices.Sort(files)
	var out strings.Builder
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			out.WriteString(err.Error() + "\n")
			continue
		}
		var requests, events []int
		lines := strings.Split(strings.TrimSpace(string(data)), "\n")
		for i, line := range lines {
			switch {
			case namesRequest(line, named):
				requests = append(requests, i)
			case !routineEvents.MatchString(line):
				events = append(events, i)
			}
		}
		printed := append(requests[max(0, len(requests)-maxLinesOfRequests):], events[max(0, len(events)-maxLinesOfEvents):]...)
		slices.Sort(printed)
		out.WriteString("--- " + filepath.Base(file) + "\n")
		for _, i := range printed {
			if out.Len()+len(lines[i]) > maxPrintedBytes {
				return out.String() + "--- the rest is left out\n"
			}
			out.WriteString(lines[i] + "\n")
		}
	}
	return out.String()
}

// namesRequest reports whether a log line names one of the requests.
func namesRequest(line string, named map[string]bool) bool {
	_, rest, ok := strings.Cut(line, "request=")
	id, _, _ := strings.Cut(rest, " ")
	return ok && named[id]
}

// Guards against failures that cannot be traced as their logs are lost with the directory of the test, and against output
// without bound.
func TestFailureLogNamesRequests(t *testing.T) {
	dir := t.TempDir()
	log := strings.Repeat("event=request request=c1-2 outcome=answered\n", 1000) +
		"event=request request=c1-3 outcome=failed\n" + strings.Repeat("event=server-ended server=model-1\n", 100_000)
	if err := os.WriteFile(filepath.Join(dir, "router-01-1.log"), []byte(log), 0o600); err != nil {
		t.Fatal(err)
	}
	out := failureLog(dir, []string{"request c1-3 through router-01, incarnation 1: its answer was lost"})
	if strings.Count(out, "c1-3") != 1 || strings.Contains(out, "c1-2") || strings.Count(out, "server-ended") != maxLinesOfEvents {
		t.Fatal(out)
	}
}
