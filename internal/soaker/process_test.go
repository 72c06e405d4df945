package soaker

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"papayapaddle/platform"
)

// process is a router process that is restarted under the same name.
type process struct {
	settings platform.Settings
	// binaries are started alternately.
	binaries [2]string
	logDir   string
	// settingsFile is the JSON file from which the router reads its settings.
	settingsFile string

	mu sync.Mutex
	// incarnation is the number of starts so far.
	incarnation int
	cmd         *exec.Cmd
	exited      chan struct{}
	paused      bool // by SIGSTOP
	// termSentAt is the time of the current incarnation's first SIGTERM, or zero.
	termSentAt time.Time
	killSent   bool
	// termTimes are the times of the first SIGTERM by incarnation.
	termTimes map[int]time.Time
	// disturbedUntil is the end of the disturbance by SIGKILL, SIGSTOP or SIGCONT. It includes
	// disturbanceMargin.
	disturbedUntil time.Time
}

func newProcess(logDir string, binaries [2]string, settings platform.Settings) (*process, error) {
	p := &process{
		settings: settings, binaries: binaries, logDir: logDir, termTimes: map[int]time.Time{},
		settingsFile: filepath.Join(logDir, settings.Name+".json"),
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	return p, os.WriteFile(p.settingsFile, data, 0o600)
}

// start starts the router, with its output in a log file of this incarnation.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	p.incarnation++
	logFile, err := os.Create(p.logPath())
	if err != nil {
		return err
	}
	cmd := exec.Command(p.binaries[p.incarnation%2], "serve")
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+p.settingsFile)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		logFile.Close()
		return err
	}
	logFile.Close()
	p.cmd, p.exited, p.paused, p.killSent, p.termSentAt = cmd, make(chan struct{}), false, false, time.Time{}
	return nil
}

// currentIncarnation returns the number of the latest incarnation and whether it is running.
func (p *process) currentIncarnation() (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incarnation, p.cmd != nil
}

// logPath returns the log file of the current incarnation.
func (p *process) logPath() string {
	return filepath.Join(p.logDir, fmt.Sprintf("%s-%d.log", p.settings.Name, p.incarnation))
}

// hasStarted reports whether the current incarnation has written to its log.
func (p *process) hasStarted() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil && !p.logIsEmpty()
}

func (p *process) logIsEmpty() bool {
	info, err := os.Stat(p.logPath())
	return err == nil && info.Size() == 0
}

// termTime returns when an incarnation was sent its first SIGTERM, or the zero time.
func (p *process) termTime(incarnation int) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.termTimes[incarnation]
}

// signal sends a signal to the router if it is running.
func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	switch sig {
	case syscall.SIGTERM:
		if p.termSentAt.IsZero() {
			p.termSentAt = time.Now()
			p.termTimes[p.incarnation] = p.termSentAt
		}
	case syscall.SIGKILL:
		p.killSent = true
		p.disturbedUntil = time.Now().Add(disturbanceMargin)
	case syscall.SIGSTOP:
		p.paused = true
		p.disturbedUntil = time.Now().Add(time.Hour)
	case syscall.SIGCONT:
		p.paused = false
		p.disturbedUntil = time.Now().Add(disturbanceMargin)
	}
	// This fails if the process has just exited.
	_ = p.cmd.Process.Signal(sig)
}

// wait waits for the router to exit. It describes what was wrong with the exit, or returns an empty
// string.
func (p *process) wait() string {
	p.mu.Lock()
	cmd, exited := p.cmd, p.exited
	p.mu.Unlock()
	if cmd == nil {
		return ""
	}
	err := cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	close(exited)
	p.cmd = nil
	name := fmt.Sprintf("%s, incarnation %d", p.settings.Name, p.incarnation)
	switch stopTime := time.Since(p.termSentAt); {
	case p.killSent:
		return ""
	case !p.termSentAt.IsZero() && p.logIsEmpty():
		// SIGTERM arrived before the process had installed its signal handler, so it had not served
		// any requests.
		return ""
	case p.termSentAt.IsZero():
		return fmt.Sprintf("%s exited unexpectedly: %v", name, err)
	case err != nil:
		return fmt.Sprintf("%s did not exit cleanly after SIGTERM: %v", name, err)
	case stopTime > p.settings.Bounds.GracePeriod()+time.Second && p.disturbedUntil.Before(p.termSentAt):
		return fmt.Sprintf("%s took %v to exit after SIGTERM", name, stopTime)
	}
	return ""
}
