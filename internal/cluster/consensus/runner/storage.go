package runner

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"path/filepath"

	"ashstand/internal/cluster/consensus"
	"ashstand/internal/vfs"
)

// The files in a directory. Their names are part of the stored format.
const (
	stateFileName   = "agreed.json"
	lockFileName    = "agreed.lock"
	malformedSuffix = ".spoilt" // suffix of a state file that could not be read
	maxStateBytes   = 64 << 20
)

// Errors of a directory. A StorageError wraps one of them.
var (
	// ErrCopy reports a state file that was copied or restored. The original may have voted since.
	ErrCopy = errors.New("the folder is a copy")
	// ErrMalformed reports a state file that can't be read.
	ErrMalformed = errors.New("the folder can't be read")
	// ErrInUse reports a directory that another process has open.
	ErrInUse = errors.New("the folder is in use by another process")
	// ErrNotDurable reports state that was read but can't be written again, so that a loss of power may
	// destroy it.
	ErrNotDurable = errors.New("what the folder holds can't be written again, so it may not be there later")
	// ErrNoFileIdentity reports a file system that does not identify files, so that a copy can't be
	// distinguished from the original.
	ErrNoFileIdentity = errors.New("the file system does not tell which file it is")
	// ErrNotEmpty reports a directory that can't be bootstrapped, since it holds state.
	ErrNotEmpty = errors.New("something is kept there already; a voter that lost its folder starts without one and is taken in by the others")
)

// StorageError reports a directory, or its state file, that can't be used as it is.
type StorageError struct {
	Path string
	Err  error // one of the sentinel values of this package
	// Cause is the underlying error; nil: none.
	Cause error
}

// Error returns the message for operators.
func (e *StorageError) Error() string {
	text := e.Path + ": " + e.Err.Error()
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the sentinel value and the cause.
func (e *StorageError) Unwrap() []error {
	if e.Cause == nil {
		return []error{e.Err}
	}
	return []error{e.Err, e.Cause}
}

// Storage is the directory in which a node's state is persisted: one file with the identity, the snapshot,
// the log and the versions that are acted on. One process has it open at a time. It is not safe for
// concurrent use.
type Storage struct {
	fs   vfs.FS
	path string
	lock io.Closer
	// isDurable is set while the file's content was written and synced by this process, and nothing has
	// failed since.
	isDurable bool
}

// OpenStorage creates a directory if it does not exist, and locks it. The caller has to close the Storage.
func OpenStorage(fsys vfs.FS, path string) (*Storage, error) {
	if err := fsys.MkdirAll(path); err != nil {
		return nil, err
	}
	lock, err := fsys.Lock(filepath.Join(path, lockFileName))
	if errors.Is(err, vfs.ErrLocked) {
		return nil, &StorageError{Path: path, Err: ErrInUse, Cause: err}
	}
	if err != nil {
		return nil, err
	}
	return &Storage{fs: fsys, path: path, lock: lock}, nil
}

// Close unlocks the directory.
func (s *Storage) Close() {
	_ = s.lock.Close() // the lock ends with the process at the latest, and nothing was written through it
}

func (s *Storage) statePath() string { return filepath.Join(s.path, stateFileName) }

// Load reads the persisted state; nil: there is none. With ErrCopy it returns the versions that the pooler
// acted on, but no identity. It renames a malformed file. State that is returned without an error is durable:
// unless this process wrote the file, Load writes it once more, since the earlier writer's sync may have
// failed (vfs.ReplaceFile says why reading the file back does not show that). ErrNotDurable means that this
// write failed; no node may run with the state then.
func (s *Storage) Load() (*consensus.PersistentState, error) {
	path := s.statePath()
	text, identity, err := s.fs.ReadFile(path, maxStateBytes)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	if identity == "" {
		return nil, &StorageError{Path: path, Err: ErrNoFileIdentity}
	}
	if len(text) > maxStateBytes {
		return nil, &StorageError{Path: path, Err: ErrMalformed, Cause: fmt.Errorf("more than %d bytes", maxStateBytes)}
	}
	state, recordedIdentity, err := decodeState(text)
	if err != nil {
		s.isDurable = false
		_ = s.fs.Rename(path, path+malformedSuffix) // if that fails, the next save replaces the file
		return nil, &StorageError{Path: path, Err: ErrMalformed, Cause: fmt.Errorf("%w; it is moved aside", err)}
	}
	if recordedIdentity != identity {
		state = &consensus.PersistentState{Versions: state.Versions}
		return state, &StorageError{Path: path, Err: ErrCopy, Cause: fmt.Errorf("it was written as file %s and is %s", recordedIdentity, identity)}
	}
	if s.isDurable {
		return state, nil
	}
	if err := s.Save(state); err != nil {
		return state, &StorageError{Path: path, Err: ErrNotDurable, Cause: err}
	}
	return state, nil
}

// Save replaces the persisted state atomically: a crash at any point leaves the old or the new state. After
// an error it is unknown which of them the file holds.
func (s *Storage) Save(state *consensus.PersistentState) error {
	s.isDurable = false
	err := vfs.ReplaceFile(s.fs, s.statePath(), func(identity string) ([]byte, error) { return encodeState(state, identity) })
	s.isDurable = err == nil
	return err
}

// Bootstrap writes the initial state of a voter of a new cluster. It does not change a directory that holds
// state.
func Bootstrap(fsys vfs.FS, path, name string, voters []string) error {
	storage, err := OpenStorage(fsys, path)
	if err != nil {
		return err
	}
	defer storage.Close()
	if state, err := storage.Load(); state != nil || err != nil {
		return &StorageError{Path: path, Err: ErrNotEmpty}
	}
	return storage.Save(consensus.InitialState(name, voters))
}
