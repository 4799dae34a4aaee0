package prover_test

import (
	"fmt"
	"net/url"
	"os"
	"regexp"
	"strconv"
	"strings"
)

const (
	readme = "../../../README.md"
	// firstPort is the port of the first daemon in README.md; those of the others follow.
	firstPort = 8081
)

// shellWord matches a word of a command line; quotes stand around whole words only.
var shellWord = regexp.MustCompile(`'[^']*'|\S+`)

// session sends what README.md sends with curl, in order, and wants each answered with 200: session DAEMON...
func (s *stage) session(daemons []string) error {
	text, err := os.ReadFile(readme)
	if err != nil {
		return err
	}
	sent := 0
	for line := range strings.SplitSeq(string(text), "\n") {
		if !strings.HasPrefix(line, "curl ") {
			continue
		}
		args, err := curlArguments(line, daemons)
		if err != nil {
			return fmt.Errorf("%s: %w", line, err)
		}
		if err := s.ask(args); err != nil {
			return fmt.Errorf("%s: %w", line, err)
		}
		sent++
	}
	if sent == 0 {
		return fmt.Errorf("%s has no curl command", readme)
	}
	return nil
}

// curlArguments returns the arguments of ask that do what a curl command does.
func curlArguments(line string, daemons []string) ([]string, error) {
	method, target := "GET", ""
	var flags []string
	words := shellWord.FindAllString(line, -1)[1:]
	for i := 0; i < len(words); i++ {
		word := strings.Trim(words[i], "'")
		switch {
		case word == "-N":
		case strings.HasPrefix(word, "http"):
			target = word
		case i+1 == len(words):
			return nil, fmt.Errorf("flag %s has no value", word)
		case word == "-H":
			i++
			flags = append(flags, "-h", strings.Trim(words[i], "'"))
		case word == "-d":
			i++
			// This is what curl says of its data unless it is told otherwise.
			form := []string{"-h", "Content-Type: application/x-www-form-urlencoded", "-d", strings.Trim(words[i], "'")}
			method, flags = "POST", append(form, flags...)
		default:
			return nil, fmt.Errorf("word %s is not known", word)
		}
	}
	u, err := url.Parse(target)
	if err != nil {
		return nil, err
	}
	port, err := strconv.Atoi(u.Port())
	if number := port - firstPort; err != nil || number < 0 || number >= len(daemons) {
		return nil, fmt.Errorf("%s is none of the daemons", u.Host)
	}
	return append([]string{daemons[port-firstPort], method, u.RequestURI()}, flags...), nil
}
