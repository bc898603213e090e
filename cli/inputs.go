package cli

import (
	"io"
	"os"
)

// readInputs opens the files one by one and calls read for each, or calls it once for in,
// as standard input, if there are no files. It stops at the first error.
func readInputs(files []string, in io.Reader, read func(name string, from io.Reader) error) error {
	if len(files) == 0 {
		return read("standard input", in)
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		err = read(name, f)
		_ = f.Close() // only read
		if err != nil {
			return err
		}
	}
	return nil
}
