package vfs

import (
	"errors"
	"io/fs"
	"path/filepath"
)

// TemporarySuffix is added to the name under which ReplaceFile writes before it renames.
const TemporarySuffix = ".new"

// maxWriteBytes is the longest single write: a page of the usual file systems, the smallest unit that can be torn.
const maxWriteBytes = 4096

// ReplaceFile replaces a file so that a crash at any moment leaves either the old one or the new one complete: it writes
// under another name, syncs, renames and syncs the directory. content receives the identity of the file that is being
// written, "" if the file system has none.
//
// After an error either of both may be there, even if only a sync failed. Reading the file back proves nothing: a kernel
// marks pages that it failed to write as clean, so a read returns them from memory for as long as they are cached, and
// the next sync of that file succeeds because nothing is left to write. Only another file, written completely and synced
// without an error, is known to be durable. So each call writes a new file: what an earlier call left under the other
// name is removed and never written to.
func ReplaceFile(d FS, path string, content func(identity string) ([]byte, error)) error {
	temporary := path + TemporarySuffix
	if err := d.Remove(temporary); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	f, err := d.Create(temporary)
	if err != nil {
		return err
	}
	if err = writeSynced(f, content); err == nil {
		err = f.Close()
	}
	if err == nil {
		err = d.Rename(temporary, path)
	}
	if err != nil {
		_ = f.Close() // the error that came first is the one to report
		_ = d.Remove(temporary)
		return err
	}
	return d.SyncDir(filepath.Dir(path))
}

func writeSynced(f File, content func(identity string) ([]byte, error)) error {
	identity, err := f.Identity()
	if err != nil {
		return err
	}
	b, err := content(identity)
	if err != nil {
		return err
	}
	if err = WriteAll(f, b); err != nil {
		return err
	}
	return f.Sync()
}

// WriteAll writes in pieces of at most one page, so that an injected fault can fall between them.
func WriteAll(f File, b []byte) error {
	for start := 0; start < len(b); start += maxWriteBytes {
		if _, err := f.Write(b[start:min(start+maxWriteBytes, len(b))]); err != nil {
			return err
		}
	}
	return nil
}
