package httpserver

import (
	"bytes"
	"errors"
)

var errFraming = errors.New("the framing of the request is ambiguous; send one Content-Length or one Transfer-Encoding: chunked, and no folded lines")

// checkFraming fails for a complete header whose body two readers may delimit differently: with several lengths, with a length
// beside a transfer coding, with a coding other than chunked or on a version before HTTP/1.1, and with folded lines. A proxy before this
// process could take a part of such a body for a request. Hertz accepts all of them, and shifts the header when it unfolds lines.
func checkFraming(header []byte) error {
	first, rest, _ := bytes.Cut(header, []byte("\n"))
	lengths, codings := 0, 0
	for len(rest) > 0 {
		var line []byte
		line, rest, _ = bytes.Cut(rest, []byte("\n"))
		if len(line) > 0 && (line[0] == ' ' || line[0] == '\t') {
			return errFraming
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			lengths++
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			if codings++; !bytes.EqualFold(bytes.Trim(value, " \t\r"), []byte("chunked")) {
				return errFraming
			}
		}
	}
	if lengths+codings > 1 || codings > 0 && !bytes.HasSuffix(bytes.TrimSuffix(first, []byte("\r")), []byte(" HTTP/1.1")) {
		return errFraming
	}
	return nil
}
