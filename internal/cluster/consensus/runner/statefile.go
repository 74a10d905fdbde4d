package runner

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"ashstand/internal/cluster/consensus"
)

// stateFormat is the format of the state file that this program writes and reads.
const stateFormat = 1

var errChecksum = errors.New("checksum mismatch")

// stateFile is the content of the state file after its first line, which is the checksum of the rest.
// Identity is the file system's identity of the file. It reveals a copy, however that was made: a copy has
// another identity, even one that was
// written over the original.
type stateFile struct {
	Format   int                    `json:"format"`
	Identity string                 `json:"birth"`
	ID       uint64                 `json:"id"`
	Hard     []byte                 `json:"hard,omitempty"`
	Snapshot []byte                 `json:"snap,omitempty"`
	Entries  [][]byte               `json:"entries,omitempty"`
	Versions consensus.VersionState `json:"held"`
}

func checksum(content []byte) string { return strconv.FormatUint(xxhash.Sum64(content), 16) }

// encodeState returns the content of the state file with a given identity.
func encodeState(state *consensus.PersistentState, identity string) ([]byte, error) {
	file := stateFile{Format: stateFormat, Identity: identity, ID: state.ID, Versions: state.Versions}
	var err error
	if file.Hard, err = marshalOrNil(state.HardState); err != nil {
		return nil, err
	}
	if file.Snapshot, err = marshalOrNil(state.Snapshot); err != nil {
		return nil, err
	}
	for _, entry := range state.Entries {
		encoded, err := marshalOrNil(entry)
		if err != nil {
			return nil, err
		}
		file.Entries = append(file.Entries, encoded)
	}
	content, err := json.Marshal(file)
	if err != nil {
		return nil, err
	}
	return append([]byte(checksum(content)+"\n"), content...), nil
}

// marshalOrNil returns the encoded message; nil for a nil message.
func marshalOrNil(message proto.Message) ([]byte, error) {
	if !message.ProtoReflect().IsValid() {
		return nil, nil
	}
	return proto.Marshal(message)
}

// decodeState returns the state in a file, and the file identity that the writer recorded in it.
func decodeState(text []byte) (state *consensus.PersistentState, identity string, err error) {
	sum, content, ok := bytes.Cut(text, []byte("\n"))
	if !ok || string(sum) != checksum(content) {
		return nil, "", errChecksum
	}
	var file stateFile
	if err := json.Unmarshal(content, &file); err != nil {
		return nil, "", err
	}
	if file.Format != stateFormat {
		return nil, "", fmt.Errorf("format %d; this program reads %d", file.Format, stateFormat)
	}
	state = &consensus.PersistentState{ID: file.ID, Versions: file.Versions}
	if file.Hard != nil {
		state.HardState = &pb.HardState{}
		if err := proto.Unmarshal(file.Hard, state.HardState); err != nil {
			return nil, "", err
		}
	}
	if file.Snapshot != nil {
		state.Snapshot = &pb.Snapshot{}
		if err := proto.Unmarshal(file.Snapshot, state.Snapshot); err != nil {
			return nil, "", err
		}
	}
	for _, encoded := range file.Entries {
		entry := &pb.Entry{}
		if err := proto.Unmarshal(encoded, entry); err != nil {
			return nil, "", err
		}
		state.Entries = append(state.Entries, entry)
	}
	return state, file.Identity, nil
}
