package duty

// Wake sends a token to c to wake the loop that receives from it. It never blocks: if a
// token is still pending, that one suffices. c must have a capacity of one.
func Wake(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
