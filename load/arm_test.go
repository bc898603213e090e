package load_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"tarragonhollow.example/tarragonhollow/caller"
	"tarragonhollow.example/tarragonhollow/load"
)

// An arm whose prompts are already in the engines' caches because of another arm is
// measured as faster than it is, so the prompts of two arms must share only their prefixes.
func TestArmsSharePrefixesAlone(t *testing.T) {
	a, b := load.NewPrompts(1, 20, 5, 1, 100), load.NewPrompts(1, 20, 5, 1, 101)
	first, second := a.Next(), b.Next()
	if first[0] != second[0] {
		t.Fatal("the shared prefix differs between arms")
	}
	if first[1] == second[1] {
		t.Fatal("two arms drew the same question")
	}
}

func TestParseArm(t *testing.T) {
	arm, err := load.ParseArm("w3:kind=both,base=plain,batch_weight=0.3")
	if err != nil || !arm.Online || !arm.Batch || arm.Base != "plain" || len(arm.Settings) != 1 {
		t.Fatalf("%+v, %v", arm, err)
	}
	for _, bad := range []string{":kind=both", "a:kind=other", "a:no-value"} {
		if _, err := load.ParseArm(bad); err == nil {
			t.Fatalf("%q was accepted", bad)
		}
	}
}

// An arm's settings must be set in the right sections, replace the existing values, and be
// removed before the next arm. Otherwise arms are compared that do not differ.
func TestRunPublishesEachArmsSettings(t *testing.T) {
	fleet := &fakeFleet{text: "[profile prep-sheets]\nurgency = batch\nbatch_weight = 0\n\n[target-group ordering]\nkind = engine\n\n[target-group kitchen-tickets]\nkind = service\n"}
	server := httptest.NewServer(fleet)
	defer server.Close()
	cmd := load.Command()
	cmd.SetArgs([]string{"--daemon", server.URL, "--policy", "naive", "--rounds", "1", "--round", "1ms", "--settle", "0s",
		"--arm", "w:kind=online,batch_weight=1"})
	cmd.SetOut(&strings.Builder{})
	if err := cmd.ExecuteContext(context.Background()); err != nil {
		t.Fatal(err)
	}
	want := []string{
		strings.Replace(fleet.texts[0], "ordering]\n", "ordering]\nbatch_policy = naive\n", 1),
		strings.Replace(fleet.texts[0], "batch_weight = 0\n", "", 1),
		fleet.texts[0],
	}
	want[1] = strings.Replace(want[1], "[profile prep-sheets]\n", "[profile prep-sheets]\nbatch_weight = 1\n", 1)
	if got := strings.Join(fleet.texts[1:], "|"); got != strings.Join(want, "|") {
		t.Fatalf("published %s", got)
	}
}

// fakeFleet responds like a daemon and stores every published configuration.
type fakeFleet struct {
	mu    sync.Mutex
	text  string
	texts []string
}

func (f *fakeFleet) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.texts) == 0 {
		f.texts = append(f.texts, f.text)
	}
	f.serve(w, r)
}

func (f *fakeFleet) serve(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/v1/chat/completions":
		http.Error(w, `{"error":{"code":"not_ready"}}`, http.StatusServiceUnavailable)
	case r.URL.Path != "/admin/config":
		_, _ = io.WriteString(w, "{}")
	case r.Method == http.MethodPut:
		body, _ := io.ReadAll(r.Body)
		f.texts = append(f.texts, string(body))
		_, _ = io.WriteString(w, "{}")
	default:
		_ = json.NewEncoder(w).Encode(caller.Config{Text: f.text})
	}
}
