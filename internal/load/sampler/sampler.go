// Package sampler measures the resource usage of running processes from the kernel's counters in /proc.
package sampler

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

const (
	// ticksPerSecond is the resolution of processor times in /proc/PID/stat. It is the same on all Linux platforms that Go supports.
	ticksPerSecond = 100
	// Indexes of fields in /proc/PID/stat, counted after the command's name.
	fieldUserTime   = 11
	fieldSystemTime = 12
	bytesPerKiB     = 1024
)

// errMissingCounter is returned if a file in /proc doesn't contain an expected counter.
var errMissingCounter = errors.New("missing counter")

// A Sampler reads the counters of processes. The zero value reads those of the host it runs on.
type Sampler struct {
	// ProcRoot is the directory that contains the processes' directories; empty means /proc.
	ProcRoot string
	// Sleep waits between two readings; nil means to wait in real time.
	Sleep func(ctx context.Context, d time.Duration)
}

// Counters are the resources that a process has used since it started.
type Counters struct {
	// ProcessorTime is the sum of user and system time.
	ProcessorTime time.Duration
	// ReadBytes and WrittenBytes count what the process read and wrote by system calls, on sockets and files.
	ReadBytes    int64
	WrittenBytes int64
	// ResidentBytes is the current resident memory, PeakResidentBytes its maximum.
	ResidentBytes     int64
	PeakResidentBytes int64
}

// A Usage is the resource usage of one process over a measured time.
type Usage struct {
	PID int
	// Cores is the processor time divided by the measured time.
	Cores             float64
	ReadPerSecond     float64
	WrittenPerSecond  float64
	ResidentBytes     int64
	PeakResidentBytes int64
}

// Read returns the current counters of a process.
func (s *Sampler) Read(pid int) (Counters, error) {
	var c Counters
	stat, err := s.readFile(pid, "stat")
	if err != nil {
		return Counters{}, err
	}
	// The command's name is in parentheses and may contain anything.
	fields := strings.Fields(stat[strings.LastIndex(stat, ")")+1:])
	if len(fields) <= fieldSystemTime {
		return Counters{}, fmt.Errorf("process %d: processor time: %w", pid, errMissingCounter)
	}
	ticks := int64(0)
	for _, field := range []int{fieldUserTime, fieldSystemTime} {
		n, err := strconv.ParseInt(fields[field], 10, 64)
		if err != nil {
			return Counters{}, fmt.Errorf("process %d: processor time: %w", pid, err)
		}
		ticks += n
	}
	c.ProcessorTime = time.Duration(ticks) * time.Second / ticksPerSecond
	for _, counter := range []struct {
		file, name string
		unit       int64
		value      *int64
	}{
		{"io", "rchar:", 1, &c.ReadBytes},
		{"io", "wchar:", 1, &c.WrittenBytes},
		{"status", "VmRSS:", bytesPerKiB, &c.ResidentBytes},
		{"status", "VmHWM:", bytesPerKiB, &c.PeakResidentBytes},
	} {
		n, err := s.readCounter(pid, counter.file, counter.name)
		if err != nil {
			return Counters{}, err
		}
		*counter.value = n * counter.unit
	}
	return c, nil
}

// Sample returns the resource usage of processes over a duration.
func (s *Sampler) Sample(ctx context.Context, pids []int, duration time.Duration) ([]Usage, error) {
	before := make([]Counters, len(pids))
	for i, pid := range pids {
		var err error
		if before[i], err = s.Read(pid); err != nil {
			return nil, err
		}
	}
	started := time.Now()
	s.sleep(ctx, duration)
	seconds := time.Since(started).Seconds()
	if s.Sleep != nil {
		seconds = duration.Seconds()
	}
	usages := make([]Usage, len(pids))
	for i, pid := range pids {
		after, err := s.Read(pid)
		if err != nil {
			return nil, err
		}
		usages[i] = Usage{
			PID:               pid,
			Cores:             (after.ProcessorTime - before[i].ProcessorTime).Seconds() / seconds,
			ReadPerSecond:     float64(after.ReadBytes-before[i].ReadBytes) / seconds,
			WrittenPerSecond:  float64(after.WrittenBytes-before[i].WrittenBytes) / seconds,
			ResidentBytes:     after.ResidentBytes,
			PeakResidentBytes: after.PeakResidentBytes,
		}
	}
	return usages, nil
}

func (s *Sampler) readFile(pid int, name string) (string, error) {
	root := s.ProcRoot
	if root == "" {
		root = "/proc"
	}
	data, err := os.ReadFile(filepath.Join(root, strconv.Itoa(pid), name))
	if err != nil {
		return "", fmt.Errorf("process %d: %w", pid, err)
	}
	return string(data), nil
}

// readCounter returns the number that follows a name at the start of a line.
func (s *Sampler) readCounter(pid int, file, name string) (int64, error) {
	text, err := s.readFile(pid, file)
	if err != nil {
		return 0, err
	}
	for line := range strings.SplitSeq(text, "\n") {
		fields := strings.Fields(line)
		if len(fields) < 2 || fields[0] != name {
			continue
		}
		n, err := strconv.ParseInt(fields[1], 10, 64)
		if err != nil {
			return 0, fmt.Errorf("process %d: %s %w", pid, name, err)
		}
		return n, nil
	}
	return 0, fmt.Errorf("process %d: %s %w", pid, name, errMissingCounter)
}

func (s *Sampler) sleep(ctx context.Context, d time.Duration) {
	if s.Sleep != nil {
		s.Sleep(ctx, d)
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
