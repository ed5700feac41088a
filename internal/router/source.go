package router

// Source is a seeded source of random numbers. It is part of a controller's
// state, so that the same messages produce the same decisions.
type Source struct {
	State uint64
}

// Uint64 returns the next 64 random bits (SplitMix64).
func (s *Source) Uint64() uint64 {
	s.State += 0x9e3779b97f4a7c15
	bits := s.State
	bits = (bits ^ bits>>30) * 0xbf58476d1ce4e5b9
	bits = (bits ^ bits>>27) * 0x94d049bb133111eb
	return bits ^ bits>>31
}

// IntN returns a number in [0, n). The modulo bias is below 2^-32 for the list
// lengths that occur.
func (s *Source) IntN(n int) int {
	return int(s.Uint64() % uint64(n))
}

// Float64 returns a number in [0, 1).
func (s *Source) Float64() float64 {
	return float64(s.Uint64()>>11) / (1 << 53)
}
