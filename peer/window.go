package peer

const (
	// window is the number of bytes of pieces that may be in flight or waiting for
	// the sink of one exchange. A slow sink stops only its own stream at this limit.
	window = 256 << 10
	// pieceOverhead is charged for each piece in addition to its data, so that empty
	// pieces also use up the window.
	pieceOverhead = 64
)

// windowCost returns the part of the window that a piece uses.
func windowCost(data []byte) int64 {
	return int64(len(data)) + pieceOverhead
}
