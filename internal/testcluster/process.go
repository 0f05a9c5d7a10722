// Package testcluster starts nodes, targets and the fake platform as processes on
// loopback addresses, for integration tests, the demo and measurements.
package testcluster

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// LogLine is one JSON line that a process logged.
type LogLine struct {
	Event         string            `json:"event"`
	Message       string            `json:"msg"`
	Fields        map[string]string `json:"fields"`
	Address       string            `json:"address"`
	ConfigVersion uint64            `json:"configVersion"`
	Time          time.Time         `json:"time"`
	Raw           string            `json:"-"`
}

// Process is one started program. All methods are safe for concurrent use.
type Process struct {
	Name string

	cmd    *exec.Cmd
	exited chan struct{}

	mu      sync.Mutex
	lines   []LogLine
	changed chan struct{}
}

// StartProcess runs a program and collects the JSON lines of its standard
// error and output.
func StartProcess(name, path string, args ...string) (*Process, error) {
	p := &Process{Name: name, cmd: exec.Command(path, args...), exited: make(chan struct{}), changed: make(chan struct{})}
	// The child is killed when the test process ends, so that an aborted run leaves no
	// processes behind.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.cmd.Env = append(os.Environ(), "GOTRACEBACK=all")
	reader, writer, err := os.Pipe()
	if err != nil {
		return nil, eris.Wrap(err, "create pipe")
	}
	p.cmd.Stdout, p.cmd.Stderr = writer, writer
	if err := p.cmd.Start(); err != nil {
		return nil, eris.Wrapf(err, "start %s", name)
	}
	writer.Close()
	go p.collect(reader)
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	return p, nil
}

// maxLineBytes bounds one log line; it has room for stack traces and large events.
const maxLineBytes = 4 << 20

func (p *Process) collect(reader io.ReadCloser) {
	defer reader.Close()
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line := LogLine{Raw: scanner.Text()}
		_ = json.Unmarshal(scanner.Bytes(), &line)
		p.mu.Lock()
		p.lines = append(p.lines, line)
		close(p.changed)
		p.changed = make(chan struct{})
		p.mu.Unlock()
	}
}

// Lines returns all lines logged so far.
func (p *Process) Lines() []LogLine {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]LogLine(nil), p.lines...)
}

// WaitForEvent waits for the first line with the given event and returns it.
func (p *Process) WaitForEvent(ctx context.Context, event string) (LogLine, error) {
	return p.WaitForLine(ctx, event, func(l LogLine) bool { return l.Event == event })
}

// WaitForLine waits for the first line that matches and returns it. It fails if the
// process or ctx ends first; awaited describes the line in the error.
func (p *Process) WaitForLine(ctx context.Context, awaited string, matches func(LogLine) bool) (LogLine, error) {
	for next := 0; ; {
		p.mu.Lock()
		lines, changed := p.lines[next:], p.changed
		next = len(p.lines)
		p.mu.Unlock()
		for _, line := range lines {
			if matches(line) {
				return line, nil
			}
		}
		select {
		case <-changed:
		case <-p.exited:
			return LogLine{}, eris.Errorf("%s exited before logging %s; last lines: %s", p.Name, awaited, p.lastLines())
		case <-ctx.Done():
			return LogLine{}, eris.Wrapf(ctx.Err(), "wait for %s of %s; last lines: %s", awaited, p.Name, p.lastLines())
		}
	}
}

// quotedLines is the number of log lines that errors quote.
const quotedLines = 5

func (p *Process) lastLines() string {
	lines := p.Lines()
	text := ""
	for _, line := range lines[max(0, len(lines)-quotedLines):] {
		text += "\n  " + line.Raw
	}
	return text
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Exited is closed when the process has ended.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// Kill ends the process with SIGKILL, like a crash of the instance.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// Pause suspends the process until Resume.
func (p *Process) Pause() error { return p.cmd.Process.Signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (p *Process) Resume() error { return p.cmd.Process.Signal(syscall.SIGCONT) }

// Stop requests a graceful shutdown and kills the process after timeout. It returns an
// error if the process had to be killed or its exit code is not 0.
func (p *Process) Stop(timeout time.Duration) error {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-p.exited:
	case <-timer.C:
		p.Kill()
		return eris.Errorf("%s did not stop within %s", p.Name, timeout)
	}
	if code := p.cmd.ProcessState.ExitCode(); code != 0 {
		return eris.Errorf("%s exited with code %d; last lines: %s", p.Name, code, p.lastLines())
	}
	return nil
}
