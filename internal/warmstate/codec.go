package warmstate

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
	jsoniter "github.com/json-iterator/go"
)

var json = jsoniter.ConfigCompatibleWithStandardLibrary

// FormatVersion is the version of the file format that is written. Files of older versions can be read; a
// file of a newer version is left unchanged.
const FormatVersion = 2

// The limits of a file: its size in bytes, its hosts, and the sections of its directory.
const (
	MaxFileBytes = 16 << 20
	maxHosts     = 20000
	maxSections  = 16
)

// The layout of a file, all numbers big-endian:
//
//	magic(8) version(2) sections(2) { tag(4) offset(4) length(4) xxhash(8) }... xxhash(8) of all before
//	the sections, each JSON
//	the directory again, from magic to its hash, then its length(4) and trailer(8)
//
// Each section has its own checksum, so that damage to one section does not affect the others. The directory
// is stored twice, so that damage to one copy does not make the whole file unreadable.
const (
	magic   = "ASHLEARN"
	trailer = "NRAELHSA"

	versionOffset = len(magic)
	countOffset   = versionOffset + 2
	headBytes     = countOffset + 2
	entryBytes    = 20
	checksumBytes = 8
	footerBytes   = 4 + len(trailer)
)

// directoryName is the name under which Decode reports that the first directory is lost.
const directoryName = "directory"

// The tags of the sections.
const (
	tagHeader     = "head"
	tagHosts      = "host"
	tagClasses    = "clas" //nolint:misspell // four bytes of the file format
	tagIdleResets = "wear"
	tagEndpoints  = "list"
)

// section is one part of a file.
type section struct {
	tag string
	// sinceVersion is the format version that introduced the section.
	sinceVersion uint16
	// value returns a pointer to the part of the snapshot that the section holds.
	value func(s *Snapshot) any
	// present reports whether the snapshot has anything to write for the section.
	present func(s *Snapshot) bool
	// discard clears that part of the snapshot.
	discard func(s *Snapshot)
}

func always(*Snapshot) bool { return true }

// sections lists the sections in the order in which they are written.
var sections = []section{
	{
		tag: tagHeader, sinceVersion: 1,
		value:   func(s *Snapshot) any { return &s.Header },
		present: always,
		discard: func(s *Snapshot) { s.Header = Header{} },
	},
	{
		tag: tagHosts, sinceVersion: 1,
		value:   func(s *Snapshot) any { return &s.Hosts },
		present: always,
		discard: func(s *Snapshot) { s.Hosts = nil },
	},
	{
		tag: tagClasses, sinceVersion: 1,
		value:   func(s *Snapshot) any { return &s.Classes },
		present: always,
		discard: func(s *Snapshot) { s.Classes = nil },
	},
	{
		tag: tagIdleResets, sinceVersion: 2,
		value:   func(s *Snapshot) any { return &s.IdleResets },
		present: func(s *Snapshot) bool { return s.IdleResets != nil },
		discard: func(s *Snapshot) { s.IdleResets = nil },
	},
	{
		tag: tagEndpoints, sinceVersion: 2,
		value:   func(s *Snapshot) any { return &s.Endpoints },
		present: func(s *Snapshot) bool { return s.Endpoints != nil },
		discard: func(s *Snapshot) { s.Endpoints = nil },
	},
}

// entry locates a section in the file. It takes 20 bytes in the directory.
type entry struct {
	tag      string
	offset   uint32
	length   uint32
	checksum uint64
}

func (e entry) append(b []byte) []byte {
	b = append(b, e.tag...)
	b = binary.BigEndian.AppendUint32(b, e.offset)
	b = binary.BigEndian.AppendUint32(b, e.length)
	return binary.BigEndian.AppendUint64(b, e.checksum)
}

func decodeEntry(b []byte) entry {
	return entry{
		tag:      string(b[:4]),
		offset:   binary.BigEndian.Uint32(b[4:]),
		length:   binary.BigEndian.Uint32(b[8:]),
		checksum: binary.BigEndian.Uint64(b[12:]),
	}
}

// content returns the bytes of a section in a file; false if they are missing or do not match the checksum.
func (e entry) content(file []byte) ([]byte, bool) {
	end := uint64(e.offset) + uint64(e.length)
	if end > uint64(len(file)) {
		return nil, false
	}
	b := file[e.offset:end]
	return b, xxhash.Sum64(b) == e.checksum
}

// Encode encodes a snapshot as a file. It returns a *LimitError if the snapshot exceeds a limit.
func Encode(s *Snapshot) ([]byte, error) { return encode(s, FormatVersion) }

func encode(s *Snapshot, version uint16) ([]byte, error) {
	if len(s.Hosts) > maxHosts {
		return nil, &LimitError{What: "hosts", Count: len(s.Hosts), Limit: maxHosts}
	}
	var tags []string
	var bodies [][]byte
	for _, section := range sections {
		if version < section.sinceVersion || !section.present(s) {
			continue
		}
		body, err := json.Marshal(section.value(s))
		if err != nil {
			return nil, err
		}
		tags, bodies = append(tags, section.tag), append(bodies, body)
	}
	directory := encodeDirectory(version, tags, bodies)
	file := bytes.Join(append([][]byte{directory}, bodies...), nil)
	file = append(file, directory...)
	file = binary.BigEndian.AppendUint32(file, uint32(len(directory)))
	file = append(file, trailer...)
	if len(file) > MaxFileBytes {
		return nil, &LimitError{What: "bytes", Count: len(file), Limit: MaxFileBytes}
	}
	return file, nil
}

func encodeDirectory(version uint16, tags []string, bodies [][]byte) []byte {
	b := binary.BigEndian.AppendUint16([]byte(magic), version)
	b = binary.BigEndian.AppendUint16(b, uint16(len(tags)))
	offset := headBytes + entryBytes*len(tags) + checksumBytes
	for i, body := range bodies {
		e := entry{tag: tags[i], offset: uint32(offset), length: uint32(len(body)), checksum: xxhash.Sum64(body)}
		b = e.append(b)
		offset += len(body)
	}
	return binary.BigEndian.AppendUint64(b, xxhash.Sum64(b))
}

// decodeDirectory reads the directory at the start of b.
func decodeDirectory(b []byte) (version uint16, entries []entry, err error) {
	if len(b) < headBytes || string(b[:len(magic)]) != magic {
		return 0, nil, &FormatError{Reason: "it does not begin as such a file does", Err: ErrMalformed}
	}
	version = binary.BigEndian.Uint16(b[versionOffset:])
	count := int(binary.BigEndian.Uint16(b[countOffset:]))
	end := headBytes + entryBytes*count
	if count > maxSections || len(b) < end+checksumBytes || xxhash.Sum64(b[:end]) != binary.BigEndian.Uint64(b[end:]) {
		return version, nil, &FormatError{Reason: "its directory does not match its checksum", Err: ErrMalformed}
	}
	for i := range count {
		entries = append(entries, decodeEntry(b[headBytes+entryBytes*i:]))
	}
	return version, entries, nil
}

// decodeSecondDirectory reads the directory at the end of a file.
func decodeSecondDirectory(file []byte) (version uint16, entries []entry, err error) {
	end := len(file) - footerBytes
	if end < 0 || string(file[end+4:]) != trailer {
		return 0, nil, ErrMalformed
	}
	length := int(binary.BigEndian.Uint32(file[end:]))
	if length > end {
		return 0, nil, ErrMalformed
	}
	return decodeDirectory(file[end-length : end])
}

// Decode decodes a file of this version or an older one. lost names the sections that cannot be read; the
// others are still returned. A file whose header cannot be read is malformed, because its owner and its age
// are unknown. The error is a *FormatError, which wraps ErrMalformed or ErrNewerVersion.
func Decode(file []byte) (s *Snapshot, lost []string, err error) {
	if len(file) > MaxFileBytes {
		return nil, nil, &FormatError{Reason: fmt.Sprintf("%d bytes exceed the maximum size of a file", len(file)), Err: ErrMalformed}
	}
	version, entries, err := decodeDirectory(file)
	if err != nil {
		secondVersion, secondEntries, secondErr := decodeSecondDirectory(file)
		if secondErr != nil {
			return nil, nil, err
		}
		version, entries = secondVersion, secondEntries
		lost = append(lost, directoryName)
	}
	if err := checkVersion(version); err != nil {
		return nil, nil, err
	}
	s, lostSections := decodeSections(file, entries)
	lost = append(lost, lostSections...)
	if !(s.Header.WrittenAt > 0) { // the header may also be missing or lost
		return nil, lost, &FormatError{Reason: "its header cannot be read", Err: ErrMalformed}
	}
	migrate(s, version)
	removeInvalid(s)
	return s, lost, nil
}

func checkVersion(version uint16) error {
	switch {
	case version > FormatVersion:
		return &FormatError{Reason: fmt.Sprintf("its version is %d, %d is the newest known", version, FormatVersion), Err: ErrNewerVersion}
	case version < 1:
		return &FormatError{Reason: fmt.Sprintf("there is no version %d", version), Err: ErrMalformed}
	}
	return nil
}

// decodeSections decodes the known sections. Of several sections with the same tag it uses the first.
func decodeSections(file []byte, entries []entry) (s *Snapshot, lost []string) {
	s = &Snapshot{}
	decoded := map[string]bool{}
	for _, e := range entries {
		section, known := sectionByTag(e.tag)
		if !known || decoded[e.tag] {
			continue
		}
		decoded[e.tag] = true
		content, ok := e.content(file)
		if !ok || json.Unmarshal(content, section.value(s)) != nil {
			lost = append(lost, e.tag)
			section.discard(s)
		}
	}
	return s, lost
}

func sectionByTag(tag string) (section, bool) {
	for _, s := range sections {
		if s.tag == tag {
			return s, true
		}
	}
	return section{}, false
}
