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
	// firstPort is the port of the first daemon in README.md; the others use the following ports.
	firstPort = 8081
)

// shellWord matches a word of a command line. Quotes may only enclose whole words.
var shellWord = regexp.MustCompile(`'[^']*'|\S+`)

// session sends the requests of README.md's curl commands in order and expects status 200 for each: session DAEMON...
func (h *harness) session(daemons []string) error {
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
		if err := h.ask(args); err != nil {
			return fmt.Errorf("%s: %w", line, err)
		}
		sent++
	}
	if sent == 0 {
		return fmt.Errorf("%s has no curl command", readme)
	}
	return nil
}

// curlArguments returns the arguments of ask for the request of a curl command.
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
			// curl sends this content type by default.
			form := []string{"-h", "Content-Type: application/x-www-form-urlencoded", "-d", strings.Trim(words[i], "'")}
			method, flags = "POST", append(form, flags...)
		default:
			return nil, fmt.Errorf("unknown word %s", word)
		}
	}
	u, err := url.Parse(target)
	if err != nil {
		return nil, err
	}
	port, err := strconv.Atoi(u.Port())
	if number := port - firstPort; err != nil || number < 0 || number >= len(daemons) {
		return nil, fmt.Errorf("%s is not a daemon of the session", u.Host)
	}
	return append([]string{daemons[port-firstPort], method, u.RequestURI()}, flags...), nil
}
