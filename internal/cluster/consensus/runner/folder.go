// Package runner runs a node of the agreement in a process: its folder, its messages, its time.
package runner

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"path/filepath"
	"strconv"

	"github.com/cespare/xxhash/v2"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"ashstand/internal/cluster/consensus"
	"ashstand/internal/vfs"
)

const (
	fileName  = "agreed.json"
	lockName  = "agreed.lock"
	format    = 1
	maxFolder = 64 << 20
)

// Errors of a folder.
var (
	ErrCopy       = errors.New("the folder is a copy")
	ErrMalformed  = errors.New("the folder can't be read")
	ErrInUse      = errors.New("the folder is in use")
	ErrNotDurable = errors.New("what the folder holds can't be written again, so it may not be there later")
)

// file is the folder's one file: a line with its checksum, then this. Birth says which file it was written as: a copy has
// another, whatever put it there, also one that was written over the file that is there.
type file struct {
	Format  int                    `json:"format"`
	Birth   string                 `json:"birth"`
	ID      uint64                 `json:"id"`
	Hard    []byte                 `json:"hard,omitempty"`
	Snap    []byte                 `json:"snap,omitempty"`
	Entries [][]byte               `json:"entries,omitempty"`
	Held    consensus.VersionState `json:"held"`
}

// Storage is where a node keeps what it must not forget. One process has it at a time.
type Storage struct {
	disk vfs.FS
	path string
	lock io.Closer
	sure bool // what is there was written and synced by this process, and nothing has failed since
}

// OpenStorage takes a folder, made if it is not there.
func OpenStorage(d vfs.FS, path string) (*Storage, error) {
	if err := d.MkdirAll(path); err != nil {
		return nil, err
	}
	l, err := d.Lock(filepath.Join(path, lockName))
	if errors.Is(err, vfs.ErrLocked) {
		return nil, fmt.Errorf("%s: %w by another process: %w", path, ErrInUse, err)
	} else if err != nil {
		return nil, err
	}
	return &Storage{disk: d, path: path, lock: l}, nil
}

// Close lets it go.
func (f *Storage) Close() { _ = f.lock.Close() }

// Load reads what was kept; nil: nothing is there. With ErrCopy what was held is returned, but no identity: the true
// folder may have voted since. A spoilt file is moved aside. What is returned with an identity is surely kept: unless this
// process has written it, it is written once more, since who wrote it may have been told that it was not synced
// (disk.Replace says why reading it back does not show that). With ErrNotDurable that failed, and no node may run on it.
func (f *Storage) Load() (*consensus.PersistentState, error) {
	path := filepath.Join(f.path, fileName)
	b, is, err := f.disk.ReadFile(path, maxFolder)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	} else if err != nil {
		return nil, err
	}
	if is == "" {
		return nil, fmt.Errorf("%s: the file system does not tell which file it is", path)
	}
	if len(b) > maxFolder {
		return nil, fmt.Errorf("%s: %w: more than %d bytes", path, ErrMalformed, maxFolder)
	}
	d, was, err := decode(b)
	if err != nil {
		f.sure = false
		_ = f.disk.Rename(path, path+".spoilt")
		return nil, fmt.Errorf("%s: %w: %w; it is moved aside", path, ErrMalformed, err)
	}
	if was != is {
		return &consensus.PersistentState{Versions: d.Versions}, fmt.Errorf("%s: %w: it was written as file %s and is %s", path, ErrCopy, was, is)
	}
	if !f.sure {
		if err := f.Save(d); err != nil {
			return d, fmt.Errorf("%s: %w: %w", path, ErrNotDurable, err)
		}
	}
	return d, nil
}

// Save writes a node's state so that a stop at any moment leaves the old one or the new one, whole. After an error nobody
// knows which.
func (f *Storage) Save(d *consensus.PersistentState) error {
	f.sure = false
	err := vfs.ReplaceFile(f.disk, filepath.Join(f.path, fileName), func(birth string) ([]byte, error) { return encode(d, birth) })
	f.sure = err == nil
	return err
}

func encode(d *consensus.PersistentState, birth string) ([]byte, error) {
	x := file{Format: format, Birth: birth, ID: d.ID, Held: d.Versions}
	var err error
	put := func(m proto.Message) (b []byte) {
		if err == nil && m.ProtoReflect().IsValid() {
			b, err = proto.Marshal(m)
		}
		return b
	}
	x.Hard, x.Snap = put(d.HardState), put(d.Snapshot)
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

func decode(b []byte) (*consensus.PersistentState, string, error) {
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
	d := &consensus.PersistentState{ID: x.ID, Versions: x.Held}
	if x.Hard != nil {
		d.HardState = &pb.HardState{}
		if err := proto.Unmarshal(x.Hard, d.HardState); err != nil {
			return nil, "", err
		}
	}
	if x.Snap != nil {
		d.Snapshot = &pb.Snapshot{}
		if err := proto.Unmarshal(x.Snap, d.Snapshot); err != nil {
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

// Bootstrap writes a voter's first folder. One that holds something is left alone.
func Bootstrap(on vfs.FS, path, name string, voters []string) error {
	f, err := OpenStorage(on, path)
	if err != nil {
		return err
	}
	defer f.Close()
	if d, err := f.Load(); d != nil || err != nil {
		return fmt.Errorf("%s: something is kept there already; a voter that lost its folder starts without one and is taken in by the others", path)
	}
	return f.Save(consensus.InitialState(name, voters))
}
