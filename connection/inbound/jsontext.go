package inbound

// JSONCounts are the numbers of parts of a JSON text. They bound the memory of its decoded
// form, which can be many times that of the text: an empty object of two bytes may become a
// structure of some hundred.
type JSONCounts struct {
	Objects int
	Values  int // at least the number of elements of all arrays and members of all objects
}

// CountJSON counts the parts of a JSON text, which need not be valid, without memory of its
// own.
func CountJSON(text []byte) JSONCounts {
	var c JSONCounts
	inString, escaped := false, false
	for _, b := range text {
		switch {
		case escaped:
			escaped = false
		case inString && b == '\\':
			escaped = true
		case b == '"':
			inString = !inString
		case inString:
		case b == '{':
			c.Objects++
			c.Values++
		case b == '[' || b == ',':
			c.Values++
		}
	}
	return c
}
