// Package killabletarget is a target for tests that runs in a process of its own: only the end
// of a process shows how the kernel closes its sockets. The process is the test's own
// executable, started again.
package killabletarget

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
)

// answerVariable is the environment variable that holds the bytes with which the process
// answers each request. It is set only in a process that Start started.
const answerVariable = "TARRAGONHOLLOW_KILLABLE_TARGET_ANSWER"

// Target is the process of a target.
type Target struct {
	// Address is IP:PORT.
	Address string
	command *exec.Cmd
	stdin   io.Closer
	stdout  *bufio.Reader
	killed  sync.Once
}

// Start starts a process that answers each request with the given bytes and then leaves the
// connection open.
func Start(answer string) (*Target, error) {
	path, err := os.Executable()
	if err != nil {
		return nil, err
	}
	command := exec.Command(path)
	command.Env = append(os.Environ(), answerVariable+"="+answer)
	command.Stderr = os.Stderr
	stdin, err := command.StdinPipe()
	if err != nil {
		return nil, err
	}
	stdout, err := command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := command.Start(); err != nil {
		return nil, err
	}
	t := &Target{command: command, stdin: stdin, stdout: bufio.NewReader(stdout)}
	address, err := t.stdout.ReadString('\n')
	if err != nil {
		t.Kill()
		return nil, fmt.Errorf("the target has not started: %w", err)
	}
	t.Address = strings.TrimSpace(address)
	return t, nil
}

// AwaitAnswer waits until the process has answered one more request.
func (t *Target) AwaitAnswer() error {
	_, err := t.stdout.ReadString('\n')
	return err
}

// Kill kills the process with SIGKILL and waits for its end.
func (t *Target) Kill() {
	t.killed.Do(func() {
		_ = t.command.Process.Kill()
		_ = t.command.Wait()
		_ = t.stdin.Close()
	})
}

// init serves in a process that Start started, before the tests would run.
func init() {
	answer, ok := os.LookupEnv(answerVariable)
	if !ok {
		return
	}
	go func() {
		// The end of the test's process closes the pipe.
		_, _ = io.Copy(io.Discard, os.Stdin)
		os.Exit(0)
	}()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	fmt.Println(listener.Addr())
	for {
		conn, err := listener.Accept()
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		go serve(conn, answer)
	}
}

// serve answers the requests of a connection.
func serve(conn net.Conn, answer string) {
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
		fmt.Println("answered")
	}
}
