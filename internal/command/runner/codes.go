package runner

import (
	"fmt"
	"io"
	"strings"

	"samphirewharf/internal/caller/refuser"
)

const codesIntroduction = `# Result codes

Every refusal carries one of these numbers, and so do the errors of the command line. Numbers are
stable and never reused. 1xxx concern the request itself, 2xxx capacity and time, 3xxx failures of
backend servers, 4xxx requests that must not be repeated, 5xxx the configuration and the platform.

This page is written by ` + "`samphirewharf codes --markdown`" + `; a test keeps it equal to the code.

| Code | Name | HTTP status | Meaning |
| --- | --- | --- | --- |
`

// A codesCommand lists the result codes.
type codesCommand struct {
	Markdown bool `help:"Write docs/RESULT-CODES.md."`
}

// A codeRow describes one result code. It is also the format of --output json.
type codeRow struct {
	Code        int
	Name        string
	HTTPStatus  int
	Description string
}

// Run lists the codes.
func (c codesCommand) Run(r *Runner) error {
	if c.Markdown {
		_, err := io.WriteString(r.Stdout, codesMarkdown())
		return err
	}
	rows := codeRows()
	return r.print(rows, func(w *strings.Builder) {
		fmt.Fprintln(w, "CODE\tNAME\tHTTP STATUS\tMEANING")
		for _, row := range rows {
			fmt.Fprintf(w, "%d\t%s\t%d\t%s\n", row.Code, row.Name, row.HTTPStatus, row.Description)
		}
	})
}

func codeRows() []codeRow {
	var rows []codeRow
	for _, c := range refuser.Codes() {
		rows = append(rows, codeRow{int(c), c.String(), c.HTTPStatus(), c.Description()})
	}
	return rows
}

// codesMarkdown returns the text of docs/RESULT-CODES.md.
func codesMarkdown() string {
	var b strings.Builder
	b.WriteString(codesIntroduction)
	for _, row := range codeRows() {
		fmt.Fprintf(&b, "| %d | %s | %d | %s |\n", row.Code, row.Name, row.HTTPStatus, row.Description)
	}
	return b.String()
}
