package h1

import (
	"bufio"
	"bytes"
	"net/http"
)

// CheckAnswer returns an error if the bytes do not begin with the head of a final answer to a request
// with the method, behind those of informational ones. It is for readers of answers that accept more.
func CheckAnswer(received []byte, method string) error {
	r := bufio.NewReader(bytes.NewReader(received))
	for {
		h, err := readAnswerHead(r, method, func(int64) error { return nil })
		if err != nil || h.status >= http.StatusOK || h.status == http.StatusSwitchingProtocols {
			return err
		}
	}
}
