package peer

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

const (
	// MaxFrameBytes bounds the memory that one frame takes.
	MaxFrameBytes = 4 << 20

	frameHeader = 4
)

var errMalformed = errors.New("malformed")

// appendFrame appends the length, big-endian in 4 bytes, and the frame. An
// empty frame is a heartbeat.
func appendFrame(buffer, frame []byte) []byte {
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(len(frame)))
	return append(buffer, frame...)
}

// readFrame reads one frame; an empty one is a heartbeat. The error is
// errMalformed for a length beyond MaxFrameBytes, io.EOF at the end between
// frames, and otherwise that of the reader.
func readFrame(reader io.Reader) ([]byte, error) {
	var header [frameHeader]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(header[:])
	if length > MaxFrameBytes {
		return nil, fmt.Errorf("%w: a frame of %d bytes", errMalformed, length)
	}
	frame := make([]byte, length)
	if _, err := io.ReadFull(reader, frame); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	return frame, nil
}
