package warmstate

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"

	"ashstand/internal/vfs"
)

// File names in the folder.
const (
	fileName         = "learned.ash"
	lockName         = "learned.lock"
	quarantinePrefix = "learned.ash.bad-"
	maxQuarantined   = 3 // spoilt files that are kept for a look
)

// Store is the folder in which one pooler keeps its file.
type Store struct {
	disk   vfs.FS
	folder string
	lock   io.Closer
	torn   bool // only for seeing the checker fail: write in place
	newer  bool // there is a file of a newer version, which is left alone
}

// Open takes the folder for this process: another pooler that has it is an error.
func Open(d vfs.FS, folder string) (*Store, error) {
	l, err := d.Lock(filepath.Join(folder, lockName))
	if errors.Is(err, vfs.ErrLocked) {
		return nil, fmt.Errorf("state folder %s: another pooler has it: %w", folder, err)
	} else if err != nil {
		return nil, fmt.Errorf("state folder: %w", err)
	}
	return &Store{disk: d, folder: folder, lock: l}, nil
}

// NewUnlockedStore returns a store without a lock.
func NewUnlockedStore(d vfs.FS, folder string) *Store { return &Store{disk: d, folder: folder} }

// DisableAtomicWrites makes Save write in place, so that what checks half-written files is seen to fail.
func (s *Store) DisableAtomicWrites() { s.torn = true }

// Close gives the folder back.
func (s *Store) Close() {
	if s.lock != nil {
		_ = s.lock.Close()
	}
}

// Path is the file's.
func (s *Store) Path() string { return filepath.Join(s.folder, fileName) }

// Load reads the file. nil without an error: there is none. A spoilt one is moved aside and said so in the error; one
// of a newer version stays, and nothing is saved over it.
func (s *Store) Load() (*Snapshot, []string, error) {
	b, _, err := s.disk.ReadFile(s.Path(), MaxFileBytes)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil, nil
	}
	if err != nil {
		return nil, nil, err
	}
	out, lost, err := Decode(b)
	switch {
	case errors.Is(err, ErrNewerVersion):
		s.newer = true
		return nil, nil, fmt.Errorf("%s is left as it is: %w", s.Path(), err)
	case err != nil:
		aside, aerr := s.aside()
		if aerr != nil {
			return nil, nil, fmt.Errorf("%s can't be used, nor moved aside (%v): %w", s.Path(), aerr, err)
		}
		return nil, nil, fmt.Errorf("%s can't be used and was moved to %s: %w", s.Path(), aside, err)
	}
	return out, lost, nil
}

// aside moves a spoilt file away and keeps the last few such.
func (s *Store) aside() (string, error) {
	names, err := s.disk.ReadDirNames(s.folder)
	if err != nil {
		return "", err
	}
	var bad []int
	for _, n := range names {
		if k, ok := strings.CutPrefix(n, quarantinePrefix); ok {
			if i, err := strconv.Atoi(k); err == nil {
				bad = append(bad, i)
			}
		}
	}
	next := 1
	for _, i := range bad {
		next = max(next, i+1)
	}
	for _, i := range bad {
		if i <= next-maxQuarantined {
			_ = s.disk.Remove(filepath.Join(s.folder, quarantinePrefix+strconv.Itoa(i)))
		}
	}
	to := filepath.Join(s.folder, quarantinePrefix+strconv.Itoa(next))
	return to, s.disk.Rename(s.Path(), to)
}

// Save writes a file so that whoever reads finds the old one or the new one, whole, whatever stops in between. After an
// error nobody knows which, and the next Save writes another one.
func (s *Store) Save(b []byte) error {
	if s.newer {
		return fmt.Errorf("%s is of a newer version and is not written over", s.Path())
	}
	if !s.torn {
		return vfs.ReplaceFile(s.disk, s.Path(), func(string) ([]byte, error) { return b, nil })
	}
	_ = s.disk.Remove(s.Path())
	f, err := s.disk.Create(s.Path())
	if err != nil {
		return err
	}
	return errors.Join(vfs.WriteAll(f, b), f.Close())
}
