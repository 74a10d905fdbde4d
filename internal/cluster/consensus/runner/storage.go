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

// The files of a directory. Their names are part of the stored format.
const (
	stateFileName   = "agreed.json"
	lockFileName    = "agreed.lock"
	malformedSuffix = ".spoilt" // of a state file that could not be read
	maxStateBytes   = 64 << 20
)

// What can be wrong with a directory. A StorageError has one of them.
var (
	// ErrCopy is a state file that was copied or restored: the original may have voted since.
	ErrCopy = errors.New("the folder is a copy")
	// ErrMalformed is a state file that can't be read.
	ErrMalformed = errors.New("the folder can't be read")
	// ErrInUse is a directory that another process has open.
	ErrInUse = errors.New("the folder is in use by another process")
	// ErrNotDurable is state that was read but can't be written again, so that it may be gone after a loss of power.
	ErrNotDurable = errors.New("what the folder holds can't be written again, so it may not be there later")
	// ErrNoFileIdentity is a file system that does not identify files, so that a copy can't be told from the original.
	ErrNoFileIdentity = errors.New("the file system does not tell which file it is")
	// ErrNotEmpty is a directory that can't be bootstrapped, since it holds state.
	ErrNotEmpty = errors.New("something is kept there already; a voter that lost its folder starts without one and is taken in by the others")
)

// StorageError is a directory, or its state file, that can't be used as it is.
type StorageError struct {
	Path string
	Err  error // one of the sentinel values of this package
	// Cause is what led to it; nil: nothing else.
	Cause error
}

// Error is the message for operators.
func (e *StorageError) Error() string {
	text := e.Path + ": " + e.Err.Error()
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap is the sentinel value and the cause.
func (e *StorageError) Unwrap() []error {
	if e.Cause == nil {
		return []error{e.Err}
	}
	return []error{e.Err, e.Cause}
}

// Storage is the directory in which a node's state is persisted: one file with the identity, the snapshot, the log and the
// versions that are acted on. One process has it open at a time. It is not safe for concurrent use.
type Storage struct {
	fs   vfs.FS
	path string
	lock io.Closer
	// isDurable: what the file holds was written and synced by this process, and nothing has failed since.
	isDurable bool
}

// OpenStorage locks a directory, which is made if it is not there. The caller closes the Storage.
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

// Load reads the persisted state; nil: there is none. With ErrCopy it returns the versions that were acted on, but no
// identity. A malformed file is moved aside. State with an identity is certainly durable: unless this process wrote it, it
// is written once more, since whoever wrote it may have been told that it was not synced (vfs.ReplaceFile says why reading
// it back does not show that). With ErrNotDurable that failed, and no node may run on the state.
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
	state, writtenAs, err := decodeState(text)
	if err != nil {
		s.isDurable = false
		_ = s.fs.Rename(path, path+malformedSuffix) // where that fails, the next state replaces it
		return nil, &StorageError{Path: path, Err: ErrMalformed, Cause: fmt.Errorf("%w; it is moved aside", err)}
	}
	if writtenAs != identity {
		state = &consensus.PersistentState{Versions: state.Versions}
		return state, &StorageError{Path: path, Err: ErrCopy, Cause: fmt.Errorf("it was written as file %s and is %s", writtenAs, identity)}
	}
	if s.isDurable {
		return state, nil
	}
	if err := s.Save(state); err != nil {
		return state, &StorageError{Path: path, Err: ErrNotDurable, Cause: err}
	}
	return state, nil
}

// Save replaces the persisted state. A stop at any moment leaves the old or the new one. After an error nobody knows which.
func (s *Storage) Save(state *consensus.PersistentState) error {
	s.isDurable = false
	err := vfs.ReplaceFile(s.fs, s.statePath(), func(identity string) ([]byte, error) { return encodeState(state, identity) })
	s.isDurable = err == nil
	return err
}

// Bootstrap writes the first state of a voter of a new cluster. A directory that holds state is left alone.
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
