package pg

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"

	"github.com/panjf2000/gnet/v2"

	"ashstand/internal/session"
)

// initialParameters are the server parameters reported to a client before it has a server connection.
var initialParameters = [...][2]string{
	{"server_version", "16.0 (ashstand)"},
	{"server_encoding", "UTF8"},
	{"client_encoding", "UTF8"},
	{"DateStyle", "ISO, MDY"},
	{"TimeZone", "UTC"},
	{"integer_datetimes", "on"},
	{"standard_conforming_strings", "on"},
}

// handleStartup processes the messages of the startup phase: encryption and cancel requests, the startup
// message and the authentication. used is the size of the message in bytes. It is 0 if the message is not
// complete, after a cancel request, which ends the connection, and if the client is disconnected.
func (c *sessionClient) handleStartup(b []byte) (used int, action gnet.Action) {
	if c.authentication != nil {
		return c.authenticate(b)
	}
	if len(b) < startupHeaderBytes {
		return 0, gnet.None
	}
	size, code := int(binary.BigEndian.Uint32(b)), binary.BigEndian.Uint32(b[4:])
	switch {
	case size < startupHeaderBytes || size > maxStartupBytes:
		return 0, c.closeWithError(sqlStateProtocolViolation, errMessageLength.Error(), "")
	case len(b) < size:
		return 0, gnet.None
	case code == codeSSL || code == codeGSS:
		c.writeClient([]byte{encryptionRefused})
		return size, gnet.None
	case code == codeCancel:
		if size == cancelRequestBytes {
			c.front.cancel(binary.BigEndian.Uint64(b[startupHeaderBytes:]))
		}
		return 0, gnet.Close
	case code>>16 != protocolVersion3>>16:
		return 0, c.closeWithError(sqlStateProtocolViolation, "protocol version 3 is spoken here", "")
	}
	parameters, ok := startupParameters(b[startupHeaderBytes:size])
	if !ok {
		return 0, c.closeWithError(sqlStateProtocolViolation, fmt.Sprintf("the startup message has more than %d parameters", maxStartupParameters), "")
	}
	if action := c.openSession(parameters, code != protocolVersion3); action == gnet.Close || c.disconnected {
		return 0, action
	}
	return size, gnet.None
}

// startupParameters returns the parameters in the body of a startup message; ok is false if there are too many.
func startupParameters(b []byte) (parameters map[string]string, ok bool) {
	parameters = map[string]string{}
	for len(b) > 0 && b[0] != 0 {
		name, rest, isWhole := cutString(b)
		if !isWhole {
			break
		}
		value, tail, isWhole := cutString(rest)
		if !isWhole { // the last one may lack its end
			value, tail = string(rest), nil
		}
		if len(parameters) >= maxStartupParameters {
			return nil, false
		}
		parameters[name], b = value, tail
	}
	return parameters, true
}

// openSession opens the session that a startup message requests. newerMinor: the client requests a later
// minor version than 3.0, and gets a NegotiateProtocolVersion.
func (c *sessionClient) openSession(parameters map[string]string, newerMinor bool) gnet.Action {
	f := c.front
	user, database := parameters["user"], parameters["database"]
	if database == "" {
		database = user
	}
	limits := f.limits.Load()
	switch replication := parameters["replication"]; {
	case user == "":
		return c.closeWithError(sqlStateInvalidAuthorization, "the startup message names no user", "")
	case replication != "" && replication != "false" && replication != "off":
		return c.closeWithError(sqlStateFeatureNotSupported, "replication connections are not pooled", "")
	case !f.dispatcher.Ready():
		return c.closeWithRejection(stateCannotConnectNow, "no list of hosts is held yet", f.retryAfter())
	}
	c.identity = poolIdentity{database, user}
	if c.pool = limits.poolFor(database, user); c.pool == nil {
		return c.closeWithError(sqlStateInvalidCatalogName, fmt.Sprintf("no pool is set for database %q and user %q", database, user), "")
	}
	settings, err := startupSettings(parameters)
	if err != nil {
		return c.closeWithError(sqlStateInvalidParameterValue, err.Error(), "")
	}
	c.pipeline = session.NewPipeline(settings, f.catalogue)
	c.countSettings()
	if f.tenancy.assignments != nil {
		c.tenancy.tenant = f.tenancy.tenants.AddSession(database)
		c.tenancy.entry.Owner = c
	}
	var out []byte
	if newerMinor {
		out = appendNegotiateVersion(out)
	}
	if len(limits.Users) > 0 {
		return c.requestPassword(out, limits)
	}
	c.writeClient(out)
	c.completeStartup()
	return gnet.None
}

// requestPassword starts SCRAM authentication. The request is sent after the messages in out.
func (c *sessionClient) requestPassword(out []byte, limits *SessionLimits) gnet.Action {
	user := c.identity.user
	verifier, known := limits.Users[user]
	if c.authentication = newScramExchange(user, verifier, known); c.authentication == nil {
		return c.closeWithError(sqlStateInvalidPassword, "password authentication failed for user "+strconv.Quote(user), "")
	}
	c.writeClient(append(out, saslOffer...))
	return gnet.None
}

// startupSettings returns the settings that a startup message requests.
func startupSettings(parameters map[string]string) (*session.Settings, error) {
	settings := session.NoSettings
	set := func(name, value string) {
		if name = strings.ToLower(name); name != "" {
			settings = settings.With(name, session.StartupRendering(name, value))
		}
	}
	for name, value := range parameters {
		switch name {
		case "user", "database", "replication", "options":
		default:
			if !strings.HasPrefix(name, "_pq_.") {
				set(name, value)
			}
		}
	}
	if err := commandLineOptions(parameters["options"], set); err != nil {
		return nil, err
	}
	return settings, nil
}

// commandLineOptions calls set for each setting in the startup parameter "options": -c name=value,
// -cname=value or --name=value.
func commandLineOptions(options string, set func(name, value string)) error {
	words := strings.Fields(strings.ReplaceAll(options, `\ `, "\x00"))
	for i := 0; i < len(words); i++ {
		word := words[i]
		switch {
		case word == "-c" && i+1 < len(words):
			i++
			word = words[i]
		case strings.HasPrefix(word, "--"):
			word = strings.ReplaceAll(word[2:], "-", "_")
		case strings.HasPrefix(word, "-c"):
			word = word[2:]
		default:
			return &StartupOptionError{Option: word, Expected: "-c name=value"}
		}
		name, value, ok := strings.Cut(strings.ReplaceAll(word, "\x00", " "), "=")
		if !ok {
			return &StartupOptionError{Option: word, Expected: "name=value"}
		}
		set(name, value)
	}
	return nil
}

// completeStartup ends the startup of a client that is authenticated: it sends AuthenticationOk, the
// parameters, the cancel key and ReadyForQuery.
func (c *sessionClient) completeStartup() {
	f := c.front
	f.assignCancelKey(c)
	out := appendAuthenticationOK(nil)
	if f.parameters.initial == nil {
		f.parameters.initial = &parameterSet{values: map[string]string{}}
		for _, p := range initialParameters {
			f.parameters.initial = f.parameters.initial.with(f, p[0], p[1])
		}
	}
	c.notifiedParameters = f.parameters.initial
	for _, p := range initialParameters {
		out = appendParameterStatus(out, p[0], p[1])
	}
	out = appendBackendKeyData(out, c.cancelKey)
	c.phase = phaseUnlinked
	c.writeClient(appendReady(out))
}
