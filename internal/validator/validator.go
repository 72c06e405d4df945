// Package validator checks that what net/http takes for a response is one according to RFC 9112 and
// RFC 9110. net/http accepts any number as a status and blanks in the names of header fields.
package validator

import (
	"fmt"
	"net/http"
	"strings"

	"papayapaddle/internal/failer"
)

// Kind classifies errors.
type Kind string

// Error kinds.
const (
	KindVersion     Kind = "not HTTP/1"
	KindStatus      Kind = "invalid status"
	KindHeaderName  Kind = "invalid header name"
	KindHeaderValue Kind = "invalid header value"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

// minStatus and maxStatus are the limits of valid status codes (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// MaxHeaderBytes is the recommended limit of a response header. The default of http.Transport is 10 MB, which
// a faulty server could fill on each connection.
const MaxHeaderBytes = 64 << 10

// CheckResponse returns an error unless the status line and the header are valid.
func CheckResponse(resp *http.Response) error {
	if resp.ProtoMajor != 1 {
		return failer.New("check a response", KindVersion, resp.Proto)
	}
	// Status holds the text of the status line, which may have a sign before the number.
	if nonDigit := strings.IndexFunc(resp.Status, func(r rune) bool { return r < '0' || r > '9' }); nonDigit >= 0 && nonDigit < 3 ||
		resp.StatusCode < minStatus || resp.StatusCode > maxStatus {
		return failer.New("check a response", KindStatus, fmt.Sprintf("%q", resp.Status))
	}
	for name, values := range resp.Header {
		if !isToken(name) {
			return failer.New("check a response", KindHeaderName, fmt.Sprintf("%q", name))
		}
		for _, v := range values {
			if strings.ContainsAny(v, "\x00\r\n") {
				return failer.New("check a response", KindHeaderValue, name)
			}
		}
	}
	return nil
}

// isToken reports whether s is a token (RFC 9110, section 5.6.2).
func isToken(s string) bool {
	for _, b := range []byte(s) {
		switch {
		case 'a' <= b && b <= 'z', 'A' <= b && b <= 'Z', '0' <= b && b <= '9', strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0:
		default:
			return false
		}
	}
	return s != ""
}
