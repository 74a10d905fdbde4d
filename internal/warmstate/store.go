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

// maxQuarantined is how many malformed files are retained for a look.
const maxQuarantined = 3

// Store is the directory in which one pooler persists its file. Its methods must not be called concurrently.
type Store struct {
	fs        vfs.FS
	directory string
	lock      io.Closer // nil: the directory is not locked
	inPlace   bool      // Save overwrites the file in place
	hasNewer  bool      // there is a file of a newer version, which is left alone
}

// Open locks a directory for this process. The caller ends it by Close. The error is a *DirectoryError.
func Open(d vfs.FS, directory string) (*Store, error) {
	lock, err := d.Lock(filepath.Join(directory, lockName))
	if err != nil {
		return nil, &DirectoryError{Path: directory, Locked: errors.Is(err, vfs.ErrLocked), Err: err}
	}
	return &Store{fs: d, directory: directory, lock: lock}, nil
}

// NewUnlockedStore returns a store without a lock, for measurements.
func NewUnlockedStore(d vfs.FS, directory string) *Store { return &Store{fs: d, directory: directory} }

// DisableAtomicWrites makes Save overwrite the file in place, so that the checker of half-written files is seen to fail.
func (s *Store) DisableAtomicWrites() { s.inPlace = true }

// Close releases the lock.
func (s *Store) Close() {
	if s.lock != nil {
		_ = s.lock.Close() // the end of the process releases it in any case
	}
}

// Path returns the path of the file.
func (s *Store) Path() string { return filepath.Join(s.directory, fileName) }

// Load reads the file; without one it returns nil and no error. A file that exists and cannot be used is a *LoadError: a
// malformed one is moved aside, and one of a newer version stays and is not overwritten by Save.
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
	failed := &LoadError{Path: s.Path(), Err: err}
	if errors.Is(err, ErrNewerVersion) {
		s.hasNewer = true
	} else {
		failed.QuarantinedAs, failed.QuarantineErr = s.quarantine()
	}
	return nil, nil, failed
}

// quarantine moves the file aside under the next free number, and removes all but the last few that were moved before.
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
			_ = s.fs.Remove(s.quarantinePath(n)) // the next quarantine tries again
		}
	}
	path = s.quarantinePath(next)
	return path, s.fs.Rename(s.Path(), path)
}

// quarantined returns the numbers of the files that were moved aside.
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

// Save replaces the file, so that a reader finds the old one or the new one complete, whatever crash comes between.
// After an error either may be there, and the next Save writes a new file.
func (s *Store) Save(b []byte) error {
	if s.hasNewer {
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
