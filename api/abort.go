package api

// Abort cuts every connection at once, as the loss of the host would.
func (s *Server) Abort() { _ = s.http.Close() }
