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

// process is one router program, started again and again under the same name.
type process struct {
	settings platform.Settings
	// programs are started in turn, by the number of the life.
	programs [2]string
	dir      string
	// file holds the settings.
	file string

	mu sync.Mutex
	// life numbers the starts.
	life    int
	cmd     *exec.Cmd
	ended   chan struct{}
	stopped bool // by SIGSTOP
	// termAt is when SIGTERM was sent, killed that SIGKILL was.
	termAt time.Time
	killed bool
	// terms is when each life got SIGTERM.
	terms map[int]time.Time
	// disturbed is until when the process counts as paused or killed.
	disturbed time.Time
}

func newProcess(dir string, programs [2]string, s platform.Settings) (*process, error) {
	p := &process{settings: s, programs: programs, dir: dir, terms: map[int]time.Time{}, file: filepath.Join(dir, s.Name+".json")}
	b, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	return p, os.WriteFile(p.file, b, 0o600)
}

// start starts the program, with its output in a file of this life.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	p.life++
	out, err := os.Create(p.log())
	if err != nil {
		return err
	}
	cmd := exec.Command(p.programs[p.life%2], "serve")
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+p.file)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		out.Close()
		return err
	}
	out.Close()
	p.cmd, p.ended, p.stopped, p.killed, p.termAt = cmd, make(chan struct{}), false, false, time.Time{}
	return nil
}

// lives returns the number of the present life, and whether it runs.
func (p *process) lives() (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.life, p.cmd != nil
}

// log is the file with the output of the present life.
func (p *process) log() string {
	return filepath.Join(p.dir, fmt.Sprintf("%s-%d.log", p.settings.Name, p.life))
}

func (p *process) wroteNothing() bool {
	info, err := os.Stat(p.log())
	return err == nil && info.Size() == 0
}

// termOf returns when a life got SIGTERM, or the zero time.
func (p *process) termOf(life int) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.terms[life]
}

// signal sends a signal to the program if it runs.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	switch s {
	case syscall.SIGTERM:
		if p.termAt.IsZero() {
			p.termAt = time.Now()
			p.terms[p.life] = p.termAt
		}
	case syscall.SIGKILL:
		p.killed = true
		p.disturbed = time.Now().Add(stable)
	case syscall.SIGSTOP:
		p.stopped = true
		p.disturbed = time.Now().Add(time.Hour)
	case syscall.SIGCONT:
		p.stopped = false
		p.disturbed = time.Now().Add(stable)
	}
	// A program that has just ended cannot be told.
	_ = p.cmd.Process.Signal(s)
}

// wait waits for the program to end, and returns what is wrong with how it did.
func (p *process) wait() string {
	p.mu.Lock()
	cmd, ended := p.cmd, p.ended
	p.mu.Unlock()
	if cmd == nil {
		return ""
	}
	err := cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	close(ended)
	p.cmd = nil
	name := fmt.Sprintf("%s, life %d", p.settings.Name, p.life)
	switch took := time.Since(p.termAt); {
	case p.killed:
		return ""
	case !p.termAt.IsZero() && p.wroteNothing():
		// SIGTERM came before the program could handle it, and it served nobody.
		return ""
	case p.termAt.IsZero():
		return fmt.Sprintf("%s ended by itself: %v", name, err)
	case err != nil:
		return fmt.Sprintf("%s did not stop cleanly: %v", name, err)
	case took > p.settings.Bounds.GracePeriod()+time.Second && p.disturbed.Before(p.termAt):
		return fmt.Sprintf("%s took %v to stop", name, took)
	}
	return ""
}
