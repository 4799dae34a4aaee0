package runner

import "testing"

func TestLoadRefusesSettings(t *testing.T) {
	for _, test := range []struct {
		name string
		args []string
		want string
	}{
		{"daemon on another host", []string{"--daemon", "192.0.2.1:80"}, `"192.0.2.1:80" is not a loopback IP number`},
		{"no daemon or engine", nil, "no daemon and no engine"},
		{"zero rate", []string{"--daemon", "127.0.0.1:1", "--rate", "0"}, "rate is 0; accepted"},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := run(t, append([]string{"load"}, test.args...)...)
			assertExit(t, got, ExitUsage)
			assertContains(t, got.stderr, "error 5004 (InvalidSettings)", test.want)
		})
	}
}
