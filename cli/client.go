package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"tarragonhollow.example/tarragonhollow/inifile"
)

const (
	defaultDaemon  = "http://127.0.0.1:8080"
	defaultTimeout = 30 * time.Second
	dialTimeout    = 3 * time.Second
)

// clientFlags are the flags of every command that sends a request to a daemon.
type clientFlags struct {
	daemon  string
	token   string
	caller  string
	timeout time.Duration
	json    bool
}

// addClientFlags binds the flags to a command and its children.
func (a *app) addClientFlags(cmd *cobra.Command) *cobra.Command {
	f := cmd.PersistentFlags()
	f.StringVar(&a.flags.daemon, "daemon", fromEnv(EnvDaemon, defaultDaemon), "base URL of a daemon (or "+EnvDaemon+")")
	f.StringVar(&a.flags.token, "token", "", "bearer token (or "+EnvToken+")")
	f.StringVar(&a.flags.caller, "caller", os.Getenv(EnvCaller), "caller's account or author of a change (or "+EnvCaller+")")
	f.DurationVar(&a.flags.timeout, "timeout", defaultTimeout, "how long to wait for the whole response; 0 means no limit")
	f.BoolVar(&a.flags.json, "json", false, "print the daemon's JSON unchanged")
	return cmd
}

// fromEnv returns the environment variable name, or fallback if it is empty.
func fromEnv(name, fallback string) string {
	if value := os.Getenv(name); value != "" {
		return value
	}
	return fallback
}

// call is one request to the daemon.
type call struct {
	method string
	path   string
	header map[string]string
	body   io.Reader
	// mutates is set if the request may change state in the daemon.
	mutates bool
}

// do sends a call and returns a response with a status below 400. The caller must close
// the response's body and then call the returned cancel function. Refusals and
// transport errors carry their exit codes.
func (a *app) do(cmd *cobra.Command, c call) (*http.Response, context.CancelFunc, error) {
	base, ok := inifile.CleanURL(a.flags.daemon)
	if !ok {
		return nil, nil, usageError("--daemon = %q; allowed: http://IP:PORT", a.flags.daemon)
	}
	ctx, cancel := a.withTimeout(cmd.Context())
	req, err := http.NewRequestWithContext(ctx, c.method, base+c.path, c.body)
	if err != nil {
		cancel()
		return nil, nil, usageError("%v", err)
	}
	a.setHeaders(req, c.header)
	resp, err := httpClient().Do(req)
	if err != nil {
		cancel()
		return nil, nil, transportError(a.flags.daemon, c.mutates, err)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		defer cancel()
		defer resp.Body.Close()
		return nil, nil, a.refusalError(resp)
	}
	return resp, cancel, nil
}

// fetch is like do, but reads and returns the whole body of the response.
func (a *app) fetch(cmd *cobra.Command, c call) ([]byte, *http.Response, error) {
	resp, cancel, err := a.do(cmd, c)
	if err != nil {
		return nil, nil, err
	}
	defer cancel()
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, nil, transportError(a.flags.daemon, c.mutates, err)
	}
	return body, resp, nil
}

// withTimeout returns the context of one call, limited by --timeout if that is set.
func (a *app) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if a.flags.timeout <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, a.flags.timeout)
}

// setHeaders sets the headers that all calls have and those in header.
func (a *app) setHeaders(req *http.Request, header map[string]string) {
	token := a.flags.token
	if token == "" {
		token = os.Getenv(EnvToken)
	}
	// On callers' paths the daemon would take the bearer token for the account, and a
	// job submitted with it could not be read without it.
	if token != "" && strings.HasPrefix(req.URL.Path, "/admin/") {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	if a.flags.caller != "" {
		req.Header.Set("Tarragon-Caller", a.flags.caller)
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
}

// httpClient returns a client without proxies or redirects: a daemon is
// addressed by its IP, and a token must not follow a redirect elsewhere.
func httpClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:       (&net.Dialer{Timeout: dialTimeout}).DialContext,
			DisableKeepAlives: true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// transportError returns err with the exit code that reports whether the daemon may have
// received the request. After a failed dial it has not. After any later failure a change
// may have taken effect although the response is lost, and a script must not assume
// that it has not.
func transportError(daemon string, mutates bool, err error) error {
	var op *net.OpError
	dialed := !(errors.As(err, &op) && op.Op == "dial")
	if mutates && dialed {
		return exitWith(ExitUnknown, fmt.Errorf("no answer from %s: it may have taken effect; run the same command again: %w", daemon, err))
	}
	return exitWith(ExitUnreachable, fmt.Errorf("no daemon answered at %s: %w", daemon, err))
}
