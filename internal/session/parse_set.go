package session

import "strings"

func parseReset(t []token) Statement {
	name, next := parseSettingName(t, 1)
	switch {
	case name == "" || next < len(t):
		return Statement{Kind: MakesSticky, Cause: CauseUnreadable}
	case name == "all":
		return Statement{Kind: ResetAll}
	}
	return Statement{Kind: Reset, Name: name}
}

// parseSettingName reads the name of a setting, which may have a prefix, and the forms that have words of their own.
func parseSettingName(t []token, i int) (name string, next int) {
	if i >= len(t) || !t[i].identifier {
		return "", i
	}
	switch {
	case t[i].folded == "time" && i+1 < len(t) && t[i+1].folded == "zone":
		return "timezone", i + 2
	case t[i].folded == "session" && i+1 < len(t) && t[i+1].folded == "authorization":
		return "session_authorization", i + 2
	}
	name = strings.ToLower(t[i].folded)
	for i++; i+1 < len(t) && t[i].text == "." && t[i+1].identifier; i += 2 {
		name += "." + strings.ToLower(t[i+1].folded)
	}
	return name, i
}

// parseSet reads SET in all of its forms. What is retained is the client's own text, which a server has taken once.
func parseSet(text string, t []token) Statement {
	if len(t) < 3 {
		return unreadable()
	}
	at, kind := 1, Set
	switch t[1].folded {
	case "local":
		at, kind = 2, SetLocal
	case "session":
		switch t[2].folded {
		case "characteristics":
			return parseCharacteristics(t)
		case "authorization":
		default:
			at = 2
		}
	case "transaction", "constraints":
		return Statement{Kind: SetLocal} // of this transaction alone
	}
	ownForm := at < len(t) && hasOwnForm(t[at].folded)
	name, next := parseSettingName(t, at)
	switch name {
	case "names":
		name = "client_encoding"
	case "xml":
		return unreadable()
	}
	if name == "" || next >= len(t) {
		return unreadable()
	}
	value := next
	if t[next].folded == "to" || t[next].text == "=" {
		value = next + 1
	} else if !ownForm {
		return unreadable()
	}
	if value >= len(t) || t[value].folded == "from" && !t[value].literal {
		return unreadable()
	}
	if kind == SetLocal {
		return Statement{Kind: SetLocal, Name: name}
	}
	if value == len(t)-1 && isDefaultValue(name, &t[value]) {
		return Statement{Kind: Reset, Name: name}
	}
	join := " TO "
	if ownForm && value == next {
		join = " "
	}
	head, tail := text[t[at].from:t[next-1].to], text[t[value].from:t[len(t)-1].to]
	return Statement{Kind: Set, Name: name, Render: "SET " + head + join + tail}
}

// hasOwnForm reports whether a setting that begins with this keyword may be set without TO or an equals sign.
func hasOwnForm(keyword string) bool {
	return keyword == "time" || keyword == "role" || keyword == "names" || keyword == "session"
}

// isDefaultValue reports whether a setting's value means that of a connection on which nobody set it.
func isDefaultValue(name string, value *token) bool {
	if value.literal {
		return false
	}
	return value.folded == "default" && value.text != `"default"` ||
		value.text != `"none"` && value.folded == "none" && name == "role" ||
		name == "timezone" && value.folded == "local"
}

// parseCharacteristics reads SET SESSION CHARACTERISTICS AS TRANSACTION, which sets the defaults of later transactions.
func parseCharacteristics(t []token) Statement {
	if len(t) == 7 && t[5].folded == "read" {
		switch t[6].folded {
		case "only":
			return Statement{Kind: Set, Name: "default_transaction_read_only", Render: "SET default_transaction_read_only TO on"}
		case "write":
			return Statement{Kind: Set, Name: "default_transaction_read_only", Render: "SET default_transaction_read_only TO off"}
		}
	}
	return Statement{Kind: MakesSticky, Cause: CauseUnreadable}
}
