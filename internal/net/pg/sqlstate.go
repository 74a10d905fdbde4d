package pg

// Severities of an ErrorResponse.
const (
	severityError = "ERROR" // the session continues
	severityFatal = "FATAL" // the connection ends
	severityPanic = "PANIC" // all connections to the host end
)

// SQLSTATEs that the pooler sends to clients, or interprets when a host sends them.
const (
	sqlStateConnectionFailure     = "08006"
	sqlStateProtocolViolation     = "08P01"
	sqlStateFeatureNotSupported   = "0A000"
	sqlStateInvalidParameterValue = "22023"
	sqlStateReadOnlyTransaction   = "25006" // sent by a host that is not a primary
	sqlStateIdleInTransaction     = "25P03"
	sqlStateInvalidStatementName  = "26000"
	sqlStateInvalidAuthorization  = "28000"
	sqlStateInvalidPassword       = "28P01"
	sqlStateInvalidCatalogName    = "3D000"
	sqlStateDuplicateStatement    = "42P05"
	sqlStateOutOfMemory           = "53200"
	sqlStateProgramLimit          = "54000"
	sqlStateQueryCanceled         = "57014"
	sqlStateAdminShutdown         = "57P01"
	sqlStateReplicaBehind         = "72000" // sent by a host that has not reached the read's minimum position
	sqlStateInternalError         = "XX000"
)
