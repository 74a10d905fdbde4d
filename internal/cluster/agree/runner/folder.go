// Package runner runs a node of the agreement in a process: its folder, its messages, its time.
package runner

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"syscall"

	"github.com/cespare/xxhash/v2"
	pb "go.etcd.io/raft/v3/raftpb"
	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/proto"

	"ashstand/internal/cluster/agree"
)

const (
	fileName  = "agreed.json"
	lockName  = "agreed.lock"
	format    = 1
	maxFolder = 64 << 20
)

// Errors of a folder.
var (
	ErrCopy   = errors.New("the folder is a copy")
	ErrSpoilt = errors.New("the folder can't be read")
	ErrThere  = errors.New("the folder is in use")
)

// file is the folder's one file: a line with its checksum, then this. Birth says which file it was written as: a copy has
// another, whatever put it there, also one that was written over the file that is there.
type file struct {
	Format  int        `json:"format"`
	Birth   string     `json:"birth"`
	ID      uint64     `json:"id"`
	Hard    []byte     `json:"hard,omitempty"`
	Snap    []byte     `json:"snap,omitempty"`
	Entries [][]byte   `json:"entries,omitempty"`
	Held    agree.Held `json:"held"`
}

// Folder is where a node keeps what it must not forget. One process has it at a time.
type Folder struct {
	path string
	lock *os.File
}

// Open takes a folder, made if it is not there.
func Open(path string) (*Folder, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, err
	}
	l, err := os.OpenFile(filepath.Join(path, lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(l.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		l.Close()
		return nil, fmt.Errorf("%s: %w by another process", path, ErrThere)
	}
	return &Folder{path, l}, nil
}

// Close lets it go.
func (f *Folder) Close() { f.lock.Close() }

// Load reads what was kept; nil: nothing is there. With ErrCopy what was held is returned, but no identity: the true
// folder may have voted since. A spoilt file is moved aside.
func (f *Folder) Load() (*agree.Disk, error) {
	path := filepath.Join(f.path, fileName)
	in, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	} else if err != nil {
		return nil, err
	}
	defer in.Close()
	info, err := in.Stat()
	if err != nil {
		return nil, err
	}
	is, err := birth(in)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxFolder {
		return nil, fmt.Errorf("%s: %w: %d bytes", path, ErrSpoilt, info.Size())
	}
	b, err := io.ReadAll(in)
	if err != nil {
		return nil, err
	}
	d, was, err := decode(b)
	if err != nil {
		_ = os.Rename(path, path+".spoilt")
		return nil, fmt.Errorf("%s: %w: %w; it is moved aside", path, ErrSpoilt, err)
	}
	if was != is {
		return &agree.Disk{Held: d.Held}, fmt.Errorf("%s: %w: it was written as file %s and is %s", path, ErrCopy, was, is)
	}
	return d, nil
}

// birth names a file: its number, and when that was given to it, which no tool can set. A file system that does not tell
// the time leaves the number, which may be given again.
func birth(f *os.File) (string, error) {
	var s unix.Statx_t
	if err := unix.Statx(int(f.Fd()), "", unix.AT_EMPTY_PATH, unix.STATX_INO|unix.STATX_BTIME, &s); err != nil {
		return "", fmt.Errorf("%s: %w", f.Name(), err)
	}
	if s.Mask&unix.STATX_BTIME == 0 {
		return fmt.Sprint(s.Ino), nil
	}
	return fmt.Sprintf("%d born %d.%09d", s.Ino, s.Btime.Sec, s.Btime.Nsec), nil
}

// Save writes a node's state so that a stop at any moment leaves the old one or the new one, whole.
func (f *Folder) Save(d *agree.Disk) (err error) {
	path := filepath.Join(f.path, fileName)
	if err = os.Remove(path + ".new"); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err // what a stop left there would have the birth of that time
	}
	out, err := os.OpenFile(path+".new", os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			out.Close()
			_ = os.Remove(path + ".new")
		}
	}()
	is, err := birth(out)
	if err != nil {
		return err
	}
	b, err := encode(d, is)
	if err != nil {
		return err
	}
	if _, err = out.Write(b); err != nil {
		return err
	}
	if err = out.Sync(); err != nil {
		return err
	}
	if err = out.Close(); err != nil {
		return err
	}
	if err = os.Rename(path+".new", path); err != nil {
		return err
	}
	dir, err := os.Open(f.path)
	if err != nil {
		return err
	}
	defer dir.Close()
	return dir.Sync()
}

func encode(d *agree.Disk, birth string) ([]byte, error) {
	x := file{Format: format, Birth: birth, ID: d.ID, Held: d.Held}
	var err error
	put := func(m proto.Message) (b []byte) {
		if err == nil && m.ProtoReflect().IsValid() {
			b, err = proto.Marshal(m)
		}
		return b
	}
	x.Hard, x.Snap = put(d.Hard), put(d.Snap)
	for _, e := range d.Entries {
		x.Entries = append(x.Entries, put(e))
	}
	if err != nil {
		return nil, err
	}
	b, err := json.Marshal(x)
	if err != nil {
		return nil, err
	}
	return append([]byte(strconv.FormatUint(xxhash.Sum64(b), 16)+"\n"), b...), nil
}

func decode(b []byte) (*agree.Disk, string, error) {
	sum, rest, ok := bytes.Cut(b, []byte("\n"))
	if !ok || string(sum) != strconv.FormatUint(xxhash.Sum64(rest), 16) {
		return nil, "", errors.New("its checksum is another")
	}
	var x file
	if err := json.Unmarshal(rest, &x); err != nil {
		return nil, "", err
	}
	if x.Format != format {
		return nil, "", fmt.Errorf("format %d; this program reads %d", x.Format, format)
	}
	d := &agree.Disk{ID: x.ID, Held: x.Held}
	if x.Hard != nil {
		d.Hard = &pb.HardState{}
		if err := proto.Unmarshal(x.Hard, d.Hard); err != nil {
			return nil, "", err
		}
	}
	if x.Snap != nil {
		d.Snap = &pb.Snapshot{}
		if err := proto.Unmarshal(x.Snap, d.Snap); err != nil {
			return nil, "", err
		}
	}
	for _, b := range x.Entries {
		e := &pb.Entry{}
		if err := proto.Unmarshal(b, e); err != nil {
			return nil, "", err
		}
		d.Entries = append(d.Entries, e)
	}
	return d, x.Birth, nil
}

// Found writes a voter's first folder. One that holds something is left alone.
func Found(path, name string, voters []string) error {
	f, err := Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	if d, err := f.Load(); d != nil || err != nil {
		return fmt.Errorf("%s: something is kept there already; a voter that lost its folder starts without one and is taken in by the others", path)
	}
	return f.Save(agree.Found(name, voters))
}
