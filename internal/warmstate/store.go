package warmstate

import (
	"errors"
	"io"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"

	"ashstand/internal/vfs"
)

// The names of files in a state directory.
const (
	fileName         = "learned.ash"
	lockName         = "learned.lock"
	quarantinePrefix = "learned.ash.bad-"
)

// maxQuarantined is the number of malformed files that are retained for inspection.
const maxQuarantined = 3

// Store is the directory in which one pooler persists its file. Its methods must not be called concurrently.
type Store struct {
	fs        vfs.FS
	directory string
	// lock is held until Close; nil: the directory is not locked.
	lock io.Closer
	// inPlace is set if Save overwrites the file in place.
	inPlace bool
	// hasNewerFile is set if there is a file of a newer version, which must not be overwritten.
	hasNewerFile bool
}

// Open locks a directory for this process. The caller must call Close to release it. The error is a
// *DirectoryError.
func Open(fsys vfs.FS, directory string) (*Store, error) {
	lock, err := fsys.Lock(filepath.Join(directory, lockName))
	if err != nil {
		return nil, &DirectoryError{Path: directory, Locked: errors.Is(err, vfs.ErrLocked), Err: err}
	}
	return &Store{fs: fsys, directory: directory, lock: lock}, nil
}

// NewUnlockedStore returns a store without a lock, for measurements.
func NewUnlockedStore(fsys vfs.FS, directory string) *Store {
	return &Store{fs: fsys, directory: directory}
}

// DisableAtomicWrites makes Save overwrite the file in place, to show that the checker for half-written files
// can fail.
func (s *Store) DisableAtomicWrites() { s.inPlace = true }

// Close releases the lock.
func (s *Store) Close() {
	if s.lock != nil {
		_ = s.lock.Close() // when the process ends, the lock is released in any case
	}
}

// Path returns the path of the file.
func (s *Store) Path() string { return filepath.Join(s.directory, fileName) }

// Load reads the file. If there is none, it returns nil and no error. For a file that cannot be decoded it
// returns a *LoadError: a malformed file is moved aside, and a file of a newer version stays and is not
// overwritten by Save.
func (s *Store) Load() (snapshot *Snapshot, lost []string, err error) {
	b, _, err := s.fs.ReadFile(s.Path(), MaxFileBytes)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil, nil
	}
	if err != nil {
		return nil, nil, err
	}
	snapshot, lost, err = Decode(b)
	if err == nil {
		return snapshot, lost, nil
	}
	loadError := &LoadError{Path: s.Path(), Err: err}
	if errors.Is(err, ErrNewerVersion) {
		s.hasNewerFile = true
	} else {
		loadError.QuarantinedAs, loadError.QuarantineErr = s.quarantine()
	}
	return nil, nil, loadError
}

// quarantine moves the file aside under the next free number, and removes older quarantined files beyond
// maxQuarantined.
func (s *Store) quarantine() (path string, err error) {
	numbers, err := s.quarantined()
	if err != nil {
		return "", err
	}
	next := 1
	for _, n := range numbers {
		next = max(next, n+1)
	}
	for _, n := range numbers {
		if n <= next-maxQuarantined {
			_ = s.fs.Remove(s.quarantinePath(n)) // if this fails, the next quarantine tries again
		}
	}
	path = s.quarantinePath(next)
	return path, s.fs.Rename(s.Path(), path)
}

// quarantined returns the numbers of the quarantined files.
func (s *Store) quarantined() (numbers []int, err error) {
	names, err := s.fs.ReadDirNames(s.directory)
	if err != nil {
		return nil, err
	}
	for _, name := range names {
		suffix, ok := strings.CutPrefix(name, quarantinePrefix)
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(suffix); err == nil {
			numbers = append(numbers, n)
		}
	}
	return numbers, nil
}

func (s *Store) quarantinePath(number int) string {
	return filepath.Join(s.directory, quarantinePrefix+strconv.Itoa(number))
}

// Save replaces the file atomically: even after a crash a reader finds either the old file or the new one,
// complete. After an error either may be there, and the next Save writes a new file.
func (s *Store) Save(b []byte) error {
	if s.hasNewerFile {
		return &NewerFileError{Path: s.Path()}
	}
	if s.inPlace {
		return s.overwrite(b)
	}
	return vfs.ReplaceFile(s.fs, s.Path(), func(string) ([]byte, error) { return b, nil })
}

func (s *Store) overwrite(b []byte) error {
	_ = s.fs.Remove(s.Path())
	f, err := s.fs.Create(s.Path())
	if err != nil {
		return err
	}
	return errors.Join(vfs.WriteAll(f, b), f.Close())
}
