package peer

const (
	// window is how many bytes of pieces may be under way or waiting for the sink
	// of one exchange. A slow sink stops its own stream at this point and no
	// other.
	window = 256 << 10
	// pieceOverhead is charged for each piece besides its data, so that empty
	// pieces fill the window too.
	pieceOverhead = 64
)

// cost returns what a piece takes of the window.
func cost(data []byte) int64 {
	return int64(len(data)) + pieceOverhead
}
