package pg

// Message kinds that a client sends: the first byte of each message.
const (
	clientBind         byte = 'B'
	clientClose        byte = 'C'
	clientCopyData     byte = 'd'
	clientCopyDone     byte = 'c'
	clientCopyFail     byte = 'f'
	clientDescribe     byte = 'D'
	clientExecute      byte = 'E'
	clientFlush        byte = 'H'
	clientFunctionCall byte = 'F'
	clientParse        byte = 'P'
	clientPassword     byte = 'p'
	clientQuery        byte = 'Q'
	clientSync         byte = 'S'
	clientTerminate    byte = 'X'

	clientKinds = "XQPBDECSHFdcfp" // all client message kinds
)

// Target kinds of a Describe or a Close message.
const (
	targetPortal    byte = 'P'
	targetStatement byte = 'S'
)

// Message kinds that a server sends: the first byte of each message.
const (
	serverAuthentication       byte = 'R'
	serverBackendKeyData       byte = 'K'
	serverBindComplete         byte = '2'
	serverCloseComplete        byte = '3'
	serverCommandComplete      byte = 'C'
	serverDataRow              byte = 'D'
	serverEmptyQuery           byte = 'I'
	serverError                byte = 'E'
	serverNegotiateVersion     byte = 'v'
	serverNoData               byte = 'n'
	serverNotice               byte = 'N'
	serverNotification         byte = 'A'
	serverParameterDescription byte = 't'
	serverParameterStatus      byte = 'S'
	serverParseComplete        byte = '1'
	serverReadyForQuery        byte = 'Z'
	serverRowDescription       byte = 'T'
)

// encryptionRefused answers a request for TLS or GSSAPI. It is a single byte without a message header.
const encryptionRefused byte = 'N'

// Transaction statuses of a ReadyForQuery message.
const (
	statusIdle   byte = 'I' // outside a transaction block
	statusFailed byte = 'E' // in a transaction block that has failed
)

// Request codes of an Authentication message.
const (
	authenticationOK           uint32 = 0
	authenticationSASL         uint32 = 10
	authenticationSASLContinue uint32 = 11
	authenticationSASLFinal    uint32 = 12
)

// Sizes of messages, in bytes.
const (
	messageHeaderBytes = 5 // a kind byte and a length, which includes itself but not the kind
	startupHeaderBytes = 8 // a length and a code
	cancelRequestBytes = 16
)
