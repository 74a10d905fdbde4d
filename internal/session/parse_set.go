package session

import "strings"

func parseReset(tokens []token) Statement {
	name, next := parseSettingName(tokens, 1)
	switch {
	case name == "" || next < len(tokens):
		return Statement{Kind: MakesSticky, Cause: CauseUnreadable}
	case name == "all":
		return Statement{Kind: ResetAll}
	}
	return Statement{Kind: Reset, Name: name}
}

// parseSettingName parses the name of a setting, which may have a prefix. It also accepts TIME ZONE and
// SESSION AUTHORIZATION. next is the index of the token after the name.
func parseSettingName(tokens []token, i int) (name string, next int) {
	if i >= len(tokens) || !tokens[i].identifier {
		return "", i
	}
	switch {
	case tokens[i].folded == "time" && i+1 < len(tokens) && tokens[i+1].folded == "zone":
		return "timezone", i + 2
	case tokens[i].folded == "session" && i+1 < len(tokens) && tokens[i+1].folded == "authorization":
		return "session_authorization", i + 2
	}
	name = strings.ToLower(tokens[i].folded)
	for i++; i+1 < len(tokens) && tokens[i].text == "." && tokens[i+1].identifier; i += 2 {
		name += "." + strings.ToLower(tokens[i+1].folded)
	}
	return name, i
}

// parseSet parses all forms of SET. To set the value on another connection it keeps the client's own text,
// which a server has already accepted.
func parseSet(text string, tokens []token) Statement {
	if len(tokens) < 3 {
		return unreadable()
	}
	nameIndex, kind := 1, Set
	switch tokens[1].folded {
	case "local":
		nameIndex, kind = 2, SetLocal
	case "session":
		switch tokens[2].folded {
		case "characteristics":
			return parseCharacteristics(tokens)
		case "authorization":
		default:
			nameIndex = 2
		}
	case "transaction", "constraints":
		return Statement{Kind: SetLocal} // applies to this transaction only
	}
	specialSyntax := nameIndex < len(tokens) && hasSpecialSyntax(tokens[nameIndex].folded)
	name, next := parseSettingName(tokens, nameIndex)
	switch name {
	case "names":
		name = "client_encoding"
	case "xml":
		return unreadable()
	}
	if name == "" || next >= len(tokens) {
		return unreadable()
	}
	valueIndex := next
	if tokens[next].folded == "to" || tokens[next].text == "=" {
		valueIndex = next + 1
	} else if !specialSyntax {
		return unreadable()
	}
	if valueIndex >= len(tokens) || tokens[valueIndex].folded == "from" && !tokens[valueIndex].literal {
		return unreadable()
	}
	if kind == SetLocal {
		return Statement{Kind: SetLocal, Name: name}
	}
	if valueIndex == len(tokens)-1 && isDefaultValue(name, &tokens[valueIndex]) {
		return Statement{Kind: Reset, Name: name}
	}
	separator := " TO "
	if specialSyntax && valueIndex == next {
		separator = " "
	}
	nameText, valueText := text[tokens[nameIndex].from:tokens[next-1].to], text[tokens[valueIndex].from:tokens[len(tokens)-1].to]
	return Statement{Kind: Set, Name: name, Rendering: "SET " + nameText + separator + valueText}
}

// hasSpecialSyntax reports whether a setting that begins with this keyword may be set without TO or an equals
// sign.
func hasSpecialSyntax(keyword string) bool {
	return keyword == "time" || keyword == "role" || keyword == "names" || keyword == "session"
}

// isDefaultValue reports whether a value stands for the connection's default, that is, the value without any
// SET.
func isDefaultValue(name string, value *token) bool {
	if value.literal {
		return false
	}
	return value.folded == "default" && value.text != `"default"` ||
		value.text != `"none"` && value.folded == "none" && name == "role" ||
		name == "timezone" && value.folded == "local"
}

// parseCharacteristics parses SET SESSION CHARACTERISTICS AS TRANSACTION, which sets the defaults of later
// transactions.
func parseCharacteristics(tokens []token) Statement {
	if len(tokens) == 7 && tokens[5].folded == "read" {
		switch tokens[6].folded {
		case "only":
			return Statement{Kind: Set, Name: "default_transaction_read_only", Rendering: "SET default_transaction_read_only TO on"}
		case "write":
			return Statement{Kind: Set, Name: "default_transaction_read_only", Rendering: "SET default_transaction_read_only TO off"}
		}
	}
	return Statement{Kind: MakesSticky, Cause: CauseUnreadable}
}
