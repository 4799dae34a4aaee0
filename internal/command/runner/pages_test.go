package runner

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/alecthomas/kong"

	"samphirewharf/internal/caller/refuser"
)

const repositoryRoot = "../../.."

var (
	inlinePattern   = regexp.MustCompile("`([^`\n]+(?:\n[^`\n]+)?)`")
	programPattern  = regexp.MustCompile(`(?:^|[\s(;&])(?:\./)?samphirewharf (.*)|go run \. (.*)`)
	codePattern     = regexp.MustCompile(`(?i)(?:\bcodes?\s+|^\| )(\d{4})\b(?: \| (\w+)| \((\w+)\))?`)
	exitPattern     = regexp.MustCompile(`(?i)\bexit(?: code|s with| with)\s+(\d+)`)
	wordPattern     = regexp.MustCompile(`"[^"]*"|'[^']*'|\S+`)
	flagPattern     = regexp.MustCompile(`^--[a-z]`)
	settingsPattern = regexp.MustCompile("^\\| `(--[a-z-]+)` \\| `(SAMPHIREWHARF_[A-Z_]+)`")
)

// optionalBrackets removes the brackets around optional parts of a command line.
var optionalBrackets = strings.NewReplacer("[", "", "]", "")

// A page is a documentation page that is checked against the program.
type page struct {
	text  string
	model *kong.Application
	// mistakes are the names on the page that the program doesn't have.
	mistakes []string
}

// TestPages checks that the command lines, settings and codes on all documentation pages exist in the program.
func TestPages(t *testing.T) {
	model := commandModel(t)
	for _, name := range pageNames(t) {
		t.Run(name, func(t *testing.T) {
			text, err := os.ReadFile(filepath.Join(repositoryRoot, name))
			if err != nil {
				t.Fatal(err)
			}
			p := &page{text: string(text), model: model}
			p.check()
			for _, got := range p.mistakes {
				t.Errorf("got %s, want what the program has", got)
			}
		})
	}
}

func TestPageMistakes(t *testing.T) {
	tests := []struct{ name, text, want string }{
		{"command", "Run `samphirewharf confgi show`.", "samphirewharf confgi show"},
		{"subcommand", "    samphirewharf config list", "samphirewharf config list"},
		{"too many arguments", "```sh\n./samphirewharf status all\n```", "samphirewharf status all"},
		{"go run", "```\ngo run . dmeo\n```", "samphirewharf dmeo"},
		{"flag of another command", "`samphirewharf status --listen 127.0.0.1:1`", "--listen"},
		{"flag on a continued line", "```\nsamphirewharf serve \\\n  --listn 127.0.0.1:1\n```", "--listn"},
		{"flag without a command", "Say `--recording FILE`.", "--recording"},
		{"variable", "SAMPHIREWHARF_LISTN", "SAMPHIREWHARF_LISTN"},
		{"variable of another flag", "| `--listen` | `SAMPHIREWHARF_ZONE` |", "--listen"},
		{"code", "refused (code 4999)", "4999"},
		{"name of a code", "5002 (VersionConflict), code 5002 (VersionConflict)", "VersionConflict"},
		{"code in a table", "| 4006 | ClaimLost |", "ClaimLost"},
		{"exit code", "it exits with 9", "exit code 9"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := &page{text: test.text, model: commandModel(t)}
			p.check()
			assertContains(t, strings.Join(p.mistakes, "\n"), test.want)
		})
	}
	t.Run("no mistakes", func(t *testing.T) {
		text := "`samphirewharf config apply team.toml --expect-version=0 --operator NAME > out`, exit code 4, code 5003 (VersionConflict)\n\n" +
			"    SAMPHIREWHARF_ZONE=a ./samphirewharf serve --listen 127.0.0.1:0 & # and `--zone`\n"
		p := &page{text: text, model: commandModel(t)}
		p.check()
		assertEqual(t, p.mistakes, nil)
	})
}

func commandModel(t *testing.T) *kong.Application {
	t.Helper()
	parser, err := kong.New(&commandLine{}, kong.Name(programName), kong.DefaultEnvars(environmentPrefix))
	if err != nil {
		t.Fatal(err)
	}
	return parser.Model
}

// pageNames returns the paths of all pages below the repository's root.
func pageNames(t *testing.T) []string {
	t.Helper()
	var names []string
	err := filepath.WalkDir(repositoryRoot, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && path != repositoryRoot && strings.HasPrefix(entry.Name(), ".") {
			return filepath.SkipDir
		}
		if filepath.Ext(path) == ".md" {
			name, err := filepath.Rel(repositoryRoot, path)
			names = append(names, name)
			return err
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"README.md", "docs/OPERATIONS.md", "docs/CONFIGURATION.md"} {
		if !slices.Contains(names, want) {
			t.Errorf("got the pages %v, want %s among them", names, want)
		}
	}
	return names
}

// check records all mistakes of the page.
func (p *page) check() {
	for _, variable := range variablePattern.FindAllString(p.text, -1) {
		if !slices.ContainsFunc(p.flags(), func(f *kong.Flag) bool { return slices.Contains(f.Envs, variable) }) {
			p.addMistake("variable %s", variable)
		}
	}
	for _, line := range p.codeLines() {
		p.checkLine(line)
	}
	for line := range strings.SplitSeq(p.text, "\n") {
		p.checkSettingsRow(line)
		p.checkCodes(line)
	}
}

// codeLines returns the inline code spans and the lines of code blocks.
func (p *page) codeLines() []string {
	var lines []string
	var prose strings.Builder
	fenced := false
	for line := range strings.SplitSeq(strings.ReplaceAll(p.text, "\\\n", " "), "\n") {
		switch {
		case strings.HasPrefix(line, "```"):
			fenced = !fenced
		case fenced || strings.HasPrefix(line, "    "):
			lines = append(lines, line)
		default:
			prose.WriteString(line + "\n")
		}
	}
	for _, match := range inlinePattern.FindAllStringSubmatch(prose.String(), -1) {
		lines = append(lines, strings.ReplaceAll(match[1], "\n", " "))
	}
	return lines
}

// checkLine checks a line of code that runs the program, or inline code that begins with a flag.
func (p *page) checkLine(line string) {
	if flagPattern.MatchString(line) {
		name, _, _ := strings.Cut(strings.TrimPrefix(strings.Fields(line)[0], "--"), "=")
		if !slices.ContainsFunc(p.flags(), func(f *kong.Flag) bool { return f.Name == name }) {
			p.addMistake("flag --%s", name)
		}
		return
	}
	match := programPattern.FindStringSubmatch(line)
	if match == nil || strings.HasPrefix(strings.TrimSpace(line), "go build") {
		return
	}
	command, _, _ := strings.Cut(match[1]+match[2], "#")
	if end := strings.IndexAny(command, "|&;<>"); end >= 0 {
		command = command[:end]
	}
	p.checkCommand(wordPattern.FindAllString(optionalBrackets.Replace(command), -1))
}

// checkCommand checks the words of a command line against the program's grammar.
func (p *page) checkCommand(words []string) {
	node, arguments := p.model.Node, 0
	for i := 0; i < len(words); i++ {
		word := words[i]
		if word == "..." || word == "…" {
			return
		}
		if strings.HasPrefix(word, "--") {
			flag := findFlag(node, word)
			if flag == nil {
				p.addMistake("flag %s in samphirewharf %s", word, strings.Join(words, " "))
				return
			}
			if !flag.IsBool() && !strings.Contains(word, "=") {
				i++
			}
			continue
		}
		if child := findCommand(node, word); child != nil {
			node = child
			continue
		}
		arguments++
		if arguments > len(node.Positional) {
			p.addMistake("command line samphirewharf %s", strings.Join(words, " "))
			return
		}
	}
}

// checkCodes checks the result codes and exit codes in a line.
func (p *page) checkCodes(line string) {
	for _, match := range codePattern.FindAllStringSubmatch(line, -1) {
		number, _ := strconv.Atoi(match[1])
		code, name := refuser.Code(number), match[2]+match[3]
		if !slices.Contains(refuser.Codes(), code) || name != "" && name != code.String() {
			p.addMistake("result code %s %s", match[1], name)
		}
	}
	for _, match := range exitPattern.FindAllStringSubmatch(line, -1) {
		if number, _ := strconv.Atoi(match[1]); number > ExitNotFound {
			p.addMistake("exit code %s", match[1])
		}
	}
}

// checkSettingsRow checks a table row that pairs a flag with its environment variable.
func (p *page) checkSettingsRow(line string) {
	match := settingsPattern.FindStringSubmatch(line)
	if match == nil {
		return
	}
	if !slices.ContainsFunc(p.flags(), func(f *kong.Flag) bool {
		return "--"+f.Name == match[1] && slices.Contains(f.Envs, match[2])
	}) {
		p.addMistake("flag %s with variable %s", match[1], match[2])
	}
}

// flags returns the flags of all commands.
func (p *page) flags() []*kong.Flag {
	var flags []*kong.Flag
	_ = kong.Visit(p.model, func(node kong.Visitable, next kong.Next) error {
		if flag, ok := node.(*kong.Flag); ok {
			flags = append(flags, flag)
		}
		return next(nil)
	})
	return flags
}

func (p *page) addMistake(format string, args ...any) {
	p.mistakes = append(p.mistakes, fmt.Sprintf(format, args...))
}

// findCommand returns the subcommand with the name, or nil.
func findCommand(node *kong.Node, name string) *kong.Node {
	for _, child := range node.Children {
		if child.Name == name {
			return child
		}
	}
	return nil
}

// findFlag returns the flag of a command or of one of its parents, or nil.
func findFlag(node *kong.Node, word string) *kong.Flag {
	name, _, _ := strings.Cut(strings.TrimPrefix(word, "--"), "=")
	for ; node != nil; node = node.Parent {
		for _, flag := range node.Flags {
			if flag.Name == name {
				return flag
			}
		}
	}
	return nil
}
