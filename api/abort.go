package api

// Abort closes every connection at once, as a failure of the host would.
func (s *Server) Abort() { _ = s.http.Close() }
