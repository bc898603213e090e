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
	"syscall"
	"time"
)

// answerVariable is the environment variable that holds the bytes with which the process
// answers each request, lastVariable those with which a process that leaves ends each answer, and
// pauseVariable the time between two events of a process that streams. They are set only in a process
// that this package started.
const (
	answerVariable = "TARRAGONHOLLOW_KILLABLE_TARGET_ANSWER"
	lastVariable   = "TARRAGONHOLLOW_KILLABLE_TARGET_LAST"
	pauseVariable  = "TARRAGONHOLLOW_KILLABLE_TARGET_PAUSE"
)

// Target is the process of a target.
type Target struct {
	// Address is IP:PORT.
	Address string
	command *exec.Cmd
	stdin   io.WriteCloser
	stdout  *bufio.Reader
	killed  sync.Once
}

// Start starts a process that answers each request with the given bytes and then leaves the
// connection open.
func Start(answer string) (*Target, error) { return start(answerVariable + "=" + answer) }

// StartLeaving starts a process that answers each request with the given bytes. When Leave is
// called it sends the last ones, closes the connections of its requests and exits in order.
func StartLeaving(answer, last string) (*Target, error) {
	return start(answerVariable+"="+answer, lastVariable+"="+last)
}

// StartStreaming starts a process that answers each request with the given bytes and then an event
// after each pause.
func StartStreaming(answer string, pause time.Duration) (*Target, error) {
	return start(answerVariable+"="+answer, pauseVariable+"="+pause.String())
}

func start(variables ...string) (*Target, error) {
	path, err := os.Executable()
	if err != nil {
		return nil, err
	}
	command := exec.Command(path)
	command.Env = append(os.Environ(), variables...)
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

// Leave lets a process that StartLeaving started end its answers and exit, and waits for its exit.
func (t *Target) Leave() error {
	if _, err := t.stdin.Write([]byte{'\n'}); err != nil {
		return err
	}
	return t.command.Wait()
}

// Pause suspends the process.
func (t *Target) Pause() error { return t.command.Process.Signal(syscall.SIGSTOP) }

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
	last, leaves := os.LookupEnv(lastVariable)
	pause, _ := time.ParseDuration(os.Getenv(pauseVariable)) // 0 if it is not set
	leaving := make(chan struct{})
	var answers sync.WaitGroup
	go func() {
		if _, err := os.Stdin.Read(make([]byte, 1)); err == nil && leaves {
			close(leaving)
			answers.Wait()
		}
		// The end of the test's process closes the pipe.
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
		go serve(conn, answer, func() {
			if pause > 0 {
				go stream(conn, pause)
			}
			if !leaves {
				return
			}
			answers.Add(1)
			go func() {
				defer answers.Done()
				<-leaving
				_, _ = io.WriteString(conn, last)
				_ = conn.Close()
			}()
		})
	}
}

// stream sends events until the connection ends.
func stream(conn net.Conn, pause time.Duration) {
	for n := 0; ; n++ {
		time.Sleep(pause)
		if _, err := fmt.Fprintf(conn, "id: %d\ndata: e\n\n", n); err != nil {
			return
		}
	}
}

// serve answers the requests of a connection, and calls answered behind each answer.
func serve(conn net.Conn, answer string, answered func()) {
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
		answered()
		fmt.Println("answered")
	}
}
