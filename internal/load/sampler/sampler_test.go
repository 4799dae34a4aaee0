package sampler_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"samphirewharf/internal/load/sampler"
)

// writeCounters writes the counters of process 7 to a directory.
func writeCounters(t *testing.T, root string, ticks, read, written int) {
	t.Helper()
	dir := filepath.Join(root, "7")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	for name, content := range map[string]string{
		"stat":   fmt.Sprintf("7 (a) b) S 1 2 3 4 5 6 7 8 9 10 %d %d 0", ticks, ticks),
		"io":     fmt.Sprintf("rchar: %d\nwchar: %d\n", read, written),
		"status": "Name:\ta\nVmHWM:\t 300 kB\nVmRSS:\t 200 kB\n",
	} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

func TestSample(t *testing.T) {
	root := t.TempDir()
	writeCounters(t, root, 100, 1000, 5000)
	s := sampler.Sampler{ProcRoot: root, Sleep: func(context.Context, time.Duration) { writeCounters(t, root, 150, 3000, 9000) }}
	usages, err := s.Sample(t.Context(), []int{7}, 2*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	got := usages[0]
	want := sampler.Usage{PID: 7, Cores: 0.5, ReadPerSecond: 1000, WrittenPerSecond: 2000, ResidentBytes: 200 << 10, PeakResidentBytes: 300 << 10}
	if got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

func TestReadErrors(t *testing.T) {
	for _, test := range []struct{ name, file, content string }{
		{"short stat", "stat", "7 (a) S 1"},
		{"no number in stat", "stat", "7 (a) S 1 2 3 4 5 6 7 8 9 10 x y"},
		{"no counter", "io", "rchar: 1\n"},
		{"no number", "io", "rchar: x\nwchar: 1\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			root := t.TempDir()
			writeCounters(t, root, 1, 1, 1)
			if err := os.WriteFile(filepath.Join(root, "7", test.file), []byte(test.content), 0o600); err != nil {
				t.Fatal(err)
			}
			if got, err := (&sampler.Sampler{ProcRoot: root}).Read(7); err == nil {
				t.Errorf("got %+v, want an error", got)
			}
		})
	}
	t.Run("no process", func(t *testing.T) {
		if got, err := (&sampler.Sampler{ProcRoot: t.TempDir()}).Read(7); err == nil {
			t.Errorf("got %+v, want an error", got)
		}
	})
}
