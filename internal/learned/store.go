package learned

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
)

// File names in the folder.
const (
	fileName = "learned.ash"
	tempName = "learned.ash.new"
	lockName = "learned.lock"
	asideIs  = "learned.ash.bad-"
	mostBad  = 3    // spoilt files that are kept for a look
	piece    = 4096 // bytes of one write
)

// Disk is the file system calls that a store makes, each of which can fail or be the last: a stand-in counts them.
type Disk interface {
	ReadFile(path string, most int) ([]byte, error)
	Create(path string) (File, error)
	Rename(from, to string) error
	Remove(path string) error
	SyncFolder(path string) error
	Names(folder string) ([]string, error)
}

// File is one that is being written.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// Real is the operating system's file system.
type Real struct{}

// ReadFile is Disk's.
func (Real) ReadFile(path string, most int) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(io.LimitReader(f, int64(most)+1))
}

// Create is Disk's.
func (Real) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
}

// Rename is Disk's.
func (Real) Rename(from, to string) error { return os.Rename(from, to) }

// Remove is Disk's.
func (Real) Remove(path string) error { return os.Remove(path) }

// SyncFolder is Disk's.
func (Real) SyncFolder(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// Names is Disk's.
func (Real) Names(folder string) (names []string, err error) {
	es, err := os.ReadDir(folder)
	for _, e := range es {
		names = append(names, e.Name())
	}
	return names, err
}

// Store is the folder in which one pooler keeps its file.
type Store struct {
	disk   Disk
	folder string
	lock   *os.File
	torn   bool // only for seeing the checker fail: write in place
	newer  bool // there is a file of a newer version, which is left alone
}

// Open takes the folder for this process: another pooler that has it is an error.
func Open(folder string) (*Store, error) {
	f, err := os.OpenFile(filepath.Join(folder, lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("state folder: %w", err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		return nil, fmt.Errorf("state folder %s: another pooler has it", folder)
	}
	return &Store{disk: Real{}, folder: folder, lock: f}, nil
}

// On returns a store on another file system, without a lock.
func On(d Disk, folder string) *Store { return &Store{disk: d, folder: folder} }

// Tear makes Save write in place, so that what checks half-written files is seen to fail.
func (s *Store) Tear() { s.torn = true }

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
	b, err := s.disk.ReadFile(s.Path(), MaxFile)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil, nil
	}
	if err != nil {
		return nil, nil, err
	}
	out, lost, err := Decode(b)
	switch {
	case errors.Is(err, ErrNewer):
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
	names, err := s.disk.Names(s.folder)
	if err != nil {
		return "", err
	}
	var bad []int
	for _, n := range names {
		if k, ok := strings.CutPrefix(n, asideIs); ok {
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
		if i <= next-mostBad {
			_ = s.disk.Remove(filepath.Join(s.folder, asideIs+strconv.Itoa(i)))
		}
	}
	to := filepath.Join(s.folder, asideIs+strconv.Itoa(next))
	return to, s.disk.Rename(s.Path(), to)
}

// Save writes a file so that whoever reads finds the old one or the new one, whole, whatever stops in between: under
// another name, synced, renamed, and the folder synced.
func (s *Store) Save(b []byte) error {
	if s.newer {
		return fmt.Errorf("%s is of a newer version and is not written over", s.Path())
	}
	path := filepath.Join(s.folder, tempName)
	if s.torn {
		path = s.Path()
	}
	f, err := s.disk.Create(path)
	if err != nil {
		return err
	}
	for at := 0; at < len(b) && err == nil; at += piece {
		_, err = f.Write(b[at:min(at+piece, len(b))])
	}
	if err == nil && !s.torn {
		err = f.Sync()
	}
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	if err != nil {
		if !s.torn {
			_ = s.disk.Remove(path)
		}
		return err
	}
	if s.torn {
		return nil
	}
	if err = s.disk.Rename(path, s.Path()); err != nil {
		return err
	}
	return s.disk.SyncFolder(s.folder)
}
