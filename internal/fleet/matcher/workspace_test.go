package matcher

import (
	"fmt"
	"testing"
)

// large returns a configuration with a thousand workspaces of four keys each.
func large(t testing.TB) *Configuration {
	t.Helper()
	var list []Workspace
	for i := range 1000 {
		w := Workspace{Name: fmt.Sprint("w", i)}
		for k := range 4 {
			w.KeyDigests = append(w.KeyDigests, DigestKey(fmt.Append(nil, "sk-", i, "-", k)))
		}
		list = append(list, w)
	}
	c, err := new(Configuration).WithWorkspaces(list)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against a check that allocates more the more workspaces there are.
func TestAuthenticate(t *testing.T) {
	c := large(t)
	for key, want := range map[string]string{"sk-7-3": "w7", "sk-999-0": "w999", "sk-1000-0": "", "": ""} {
		w, ok := c.Authenticate([]byte(key))
		if w.Name != want || ok != (want != "") {
			t.Errorf("got workspace %q for key %q, want %q", w.Name, key, want)
		}
	}
	key := []byte("sk-500-3")
	if allocations := testing.AllocsPerRun(100, func() { c.Authenticate(key) }); allocations > 0 {
		t.Errorf("got %v allocations, want none", allocations)
	}
}

// BenchmarkAuthenticate measures a check, which may cost 5 µs.
func BenchmarkAuthenticate(b *testing.B) {
	c, key := large(b), []byte("sk-500-3")
	for b.Loop() {
		c.Authenticate(key)
	}
}
