package pg

// Severities of an ErrorResponse.
const (
	severityError = "ERROR" // the session goes on
	severityFatal = "FATAL" // the connection ends
	severityPanic = "PANIC" // all connections of a host end
)

// SQLSTATEs that the pooler gives to clients, or that mean something to it when a host gives them.
const (
	sqlStateConnectionFailure     = "08006"
	sqlStateProtocolViolation     = "08P01"
	sqlStateFeatureNotSupported   = "0A000"
	sqlStateInvalidParameterValue = "22023"
	sqlStateReadOnlyTransaction   = "25006" // of a host: it is no primary
	sqlStateIdleInTransaction     = "25P03"
	sqlStateInvalidStatementName  = "26000"
	sqlStateInvalidAuthorization  = "28000"
	sqlStateInvalidPassword       = "28P01"
	sqlStateInvalidCatalogName    = "3D000"
	sqlStateDuplicateStatement    = "42P05"
	sqlStateOutOfMemory           = "53200"
	sqlStateQueryCanceled         = "57014"
	sqlStateAdminShutdown         = "57P01"
	sqlStateReplicaBehind         = "72000" // of a host: it has not caught up to what the read must see
	sqlStateInternalError         = "XX000"
)
