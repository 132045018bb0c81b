package peer

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

const (
	// MaxFrameBytes limits the memory that one frame takes.
	MaxFrameBytes = 4 << 20

	// frameHeaderBytes is the size of the length that precedes each frame.
	frameHeaderBytes = 4
)

var errMalformed = errors.New("malformed")

// appendFrame appends the length of a frame, in 4 bytes and big-endian, and the
// frame. An empty frame is a heartbeat.
func appendFrame(buffer, frame []byte) []byte {
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(len(frame)))
	return append(buffer, frame...)
}

// readFrame reads one frame; an empty one is a heartbeat. It returns
// errMalformed for a length above MaxFrameBytes, io.EOF if the stream ends
// between two frames, io.ErrUnexpectedEOF if it ends within the bytes of a frame
// or its header, and otherwise the error of the reader.
func readFrame(reader io.Reader) ([]byte, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(header[:])
	if length > MaxFrameBytes {
		return nil, fmt.Errorf("%w: frame length of %d bytes is above the limit", errMalformed, length)
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
