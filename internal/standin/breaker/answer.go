package breaker

import (
	"fmt"
	"strconv"
	"strings"
)

const ok = "HTTP/1.1 200 OK\r\n"

// InvalidHeads returns answers whose heads aren't valid, by what is wrong. They have the body, and the fields, whose lines end with CR LF.
func InvalidHeads(fields, body string) map[string]string {
	n, plain, length, coding, chunks := frame(fields, body)
	return map[string]string{
		"a blank in the name of a field":         ok + "X Odd: x\r\n" + length,
		"a blank before a colon":                 ok + "X-Odd : x\r\n" + length,
		"a blank before the colon of the length": ok + "Content-Length : " + n + "\r\n" + plain,
		"a blank before the colon of the coding": ok + "Transfer-Encoding : chunked\r\n" + chunks,
		"a tab before a colon":                   ok + "X-Odd\t: x\r\n" + length,
		"a control byte in the name of a field":  ok + "X-\x1b[2JOdd: x\r\n" + length,
		"a NUL in the name of a field":           ok + "X-\x00Odd: x\r\n" + length,
		"a high byte in the name of a field":     ok + "X-\xe9Odd: x\r\n" + length,
		"a separator in the name of a field":     ok + "X(Odd): x\r\n" + length,
		"an empty name":                          ok + ": x\r\n" + length,
		"a line without a colon":                 ok + "X-Odd\r\n" + length,
		"an indented first field":                ok + " X-Odd: x\r\n" + length,
		"a control byte in a value":              ok + "X-Odd: \x1b[2J\r\n" + length,
		"a carriage return in a value":           ok + "X-Odd: a\rContent-Length: 1\r\n" + length,
		"a control byte in a continuation":       ok + "X-Odd: x\r\n \x1b[2J\r\n" + length,
		"a length over two lines":                ok + "Content-Length:\r\n " + n + "\r\n" + plain,
		"a coding over two lines":                ok + "Transfer-Encoding:\r\n chunked\r\n" + chunks,
		"two lengths":                            ok + "Content-Length: 3\r\n" + length,
		"a length that is no number":             ok + "Content-Length: +" + n + "\r\n" + plain,
		"an empty length":                        ok + "Content-Length: \r\n" + plain,
		"a length and chunks":                    ok + "Content-Length: " + n + "\r\n" + coding,
		"an unknown coding":                      ok + "Transfer-Encoding: odd\r\n" + plain,
		"two codings":                            ok + "Transfer-Encoding: chunked\r\n" + coding,
		"chunks in HTTP/1.0":                     "HTTP/1.0 200 OK\r\n" + coding,
		"a version that nobody speaks":           "HTTP/1.7 200 OK\r\n" + length,
		"a version of another protocol":          "HTTP/2.0 200 OK\r\n" + length,
		"a version in lower case":                "http/1.1 200 OK\r\n" + length,
		"status 000":                             "HTTP/1.1 000 Odd\r\n" + length,
		"status 600":                             "HTTP/1.1 600 Odd\r\n" + length,
		"status 999":                             "HTTP/1.1 999 Odd\r\n" + length,
		"status 099":                             "HTTP/1.1 099 Odd\r\n" + length,
		"status 101":                             "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: odd\r\n" + length,
		"status 001":                             "HTTP/1.1 001 Odd\r\n" + length,
		"a status of one digit":                  "HTTP/1.1 0 Odd\r\n" + length,
		"a status of letters":                    "HTTP/1.1 OK 200\r\n" + length,
		"a status with a letter":                 "HTTP/1.1 2O0 OK\r\n" + length,
		"a negative status":                      "HTTP/1.1 -20 OK\r\n" + length,
		"an interim status, then none":           "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Odd\r\n" + length,
		"a status of two digits":                 "HTTP/1.1 20 OK\r\n" + length,
		"a status of four digits":                "HTTP/1.1 2000 OK\r\n" + length,
		"a status with a sign":                   "HTTP/1.1 +20 OK\r\n" + length,
		"no status":                              "HTTP/1.1\r\n" + length,
		"two blanks before the status":           "HTTP/1.1  200 OK\r\n" + length,
		"a control byte in the reason":           "HTTP/1.1 200 O\x1b[2JK\r\n" + length,
		"a blank in a name of an interim head":   "HTTP/1.1 103 Early Hints\r\nX Odd: x\r\n\r\n" + ok + length,
	}
}

// ValidHeads returns whole answers with valid heads, by what is unusual about them. They have the body and the fields as in InvalidHeads.
func ValidHeads(fields, body string) map[string]string {
	n, plain, length, coding, _ := frame(fields, body)
	answers := map[string]string{
		"a length":                      ok + length,
		"chunks":                        ok + coding,
		"no length":                     ok + "Connection: close\r\n" + plain,
		"HTTP/1.0":                      "HTTP/1.0 200 OK\r\n" + length,
		"HTTP/1.0 without a length":     "HTTP/1.0 200 OK\r\n" + plain,
		"no reason":                     "HTTP/1.1 200\r\n" + length,
		"an empty reason":               "HTTP/1.1 200 \r\n" + length,
		"high bytes in the reason":      "HTTP/1.1 200 D\xe9j\xe0 vu\r\n" + length,
		"high bytes and tabs":           ok + "X-Odd:\t\xe9\ta \r\n" + length,
		"an empty value":                ok + "X-Odd:\r\n" + length,
		"a name of all characters":      ok + "!#$%&'*+-.^_`|~09azAZ: x\r\n" + length,
		"a field over two lines":        ok + "X-Odd: a\r\n\tb\r\n" + length,
		"a length given twice":          ok + "Content-Length: " + n + "\r\n" + length,
		"lower case":                    ok + "content-length:" + n + "\r\n" + plain,
		"interim answers before":        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + ok + length,
		"an unknown interim status":     "HTTP/1.1 199 Odd\r\n\r\n" + ok + length,
		"a field of thousands of bytes": ok + "X-Odd: " + strings.Repeat("x", 20<<10) + "\r\n" + length,
	}
	answers["line feeds alone"] = strings.ReplaceAll(answers["a length"], "\r\n", "\n")
	return answers
}

// frame returns the length of a body, and what follows the fields that are broken: the fields and the body without framing, with a length
// and with a coding, and the fields and chunks without the coding.
func frame(fields, body string) (n, plain, length, coding, chunks string) {
	n = strconv.Itoa(len(body))
	plain = fields + "\r\n" + body
	chunks = fmt.Sprintf("%s\r\n%x\r\n%s\r\n0\r\n\r\n", fields, len(body), body)
	return n, plain, "Content-Length: " + n + "\r\n" + plain, "Transfer-Encoding: chunked\r\n" + chunks, chunks
}
