package sql

import (
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"

	"ashstand/internal/cluster/jobs"
	"ashstand/internal/cluster/migration"
)

// objectPrefix begins the name of every publication, subscription and slot of a migration.
const objectPrefix = "ash_"

// objectKind is what a replication object is for.
type objectKind string

const (
	kindForward     objectKind = "f" // replication to the plan's target
	kindReverse     objectKind = "r" // replication back to the plan's source
	kindReverseSlot objectKind = "b" // slot that keeps the way back open until it is used
)

const (
	jobHashDigits   = 8
	objectNameParts = 4 // hash, kind, token, operation number
)

// objectName is the name of a replication object that the operation makes.
func objectName(request migration.Request, kind objectKind) string {
	return fmt.Sprintf("%s%s_%d_%d", jobPrefix(request), kind, request.AnnouncedToken, operationNumber(request))
}

// jobPrefix begins the names of the replication objects of one migration.
func jobPrefix(request migration.Request) string {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(request.Job)) // it never fails
	return fmt.Sprintf("%s%0*x_", objectPrefix, jobHashDigits, hash.Sum32())
}

// operationNumber is the number at the end of an operation's id.
func operationNumber(request migration.Request) uint64 {
	id := request.OperationID
	n, _ := strconv.ParseUint(id[strings.LastIndexByte(id, '/')+1:], 10, 64)
	return n
}

// isMigrationObject says whether any migration made a replication object.
func isMigrationObject(name string) bool {
	return strings.HasPrefix(name, objectPrefix)
}

// hasKind says whether a migration's object is of a kind.
func hasKind(name string, kind objectKind) bool {
	rest := strings.TrimPrefix(name, objectPrefix)
	return strings.HasPrefix(rest[min(jobHashDigits+1, len(rest)):], string(kind)+"_")
}

// isRemovable says whether a replication object is a migration's, and not of a later lease holder or operation than the
// one that would remove it.
func isRemovable(name string, request migration.Request) bool {
	rest, isObject := strings.CutPrefix(name, objectPrefix)
	parts := strings.Split(rest, "_")
	if !isObject || len(parts) != objectNameParts {
		return false
	}
	tokenNumber, err := strconv.ParseUint(parts[2], 10, 64)
	if err != nil {
		return false
	}
	number, err := strconv.ParseUint(parts[3], 10, 64)
	if err != nil {
		return false
	}
	token := jobs.FencingToken(tokenNumber)
	return token < request.Token || token == request.Token && number <= operationNumber(request)
}
