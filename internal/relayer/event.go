package relayer

import "bytes"

// hasOnlyComments reports whether a block of a stream contains no event. A stalled server may
// still send comments.
func hasOnlyComments(block []byte) bool {
	for line := range bytes.Lines(block) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// containsResponseHead reports whether a block holds the head of a response, which a faulty server or
// one that gave up wrote into its stream.
func containsResponseHead(block []byte) bool {
	for line := range bytes.Lines(block) {
		if bytes.HasPrefix(line, []byte("HTTP/1.")) {
			return true
		}
	}
	return false
}

// eventID returns the ID of an event, which is that of its last id line.
func eventID(event []byte) (id string, ok bool) {
	for line := range bytes.Lines(event) {
		if v, found := bytes.CutPrefix(line, []byte("id:")); found {
			id, ok = string(bytes.TrimSpace(v)), true
		}
	}
	return id, ok
}
