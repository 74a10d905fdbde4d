package pg

// Kinds of the messages of a client, by their first byte.
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

	clientKinds = "XQPBDECSHFdcfp" // all of them
)

// What a Describe or a Close names.
const (
	targetPortal    byte = 'P'
	targetStatement byte = 'S'
)

// Kinds of the messages of a server, by their first byte.
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

// encryptionRefused is the answer to a request for TLS or GSSAPI; it is no message.
const encryptionRefused byte = 'N'

// Statuses of a ReadyForQuery.
const (
	statusIdle   byte = 'I' // outside of a transaction block
	statusFailed byte = 'E' // in a block that has failed
)

// Requests of an Authentication message.
const (
	authenticationOK           uint32 = 0
	authenticationSASL         uint32 = 10
	authenticationSASLContinue uint32 = 11
	authenticationSASLFinal    uint32 = 12
)

// Sizes of messages, in bytes.
const (
	messageHeaderBytes = 5 // a kind and a length, which counts itself but not the kind
	startupHeaderBytes = 8 // a length and a code
	cancelRequestBytes = 16
)
