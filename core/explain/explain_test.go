package explain

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestExplain reads the logs in testdata. Each file is named by the id of one
// request, and its first line is the expected conclusion.
func TestExplain(t *testing.T) {
	files, err := filepath.Glob("testdata/*.log")
	if err != nil || len(files) < 4 {
		t.Fatalf("files %v, error %v", files, err)
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		want, lines, _ := strings.Cut(string(data), "\n")
		r := Report{}
		id := strings.TrimSuffix(filepath.Base(file), ".log")
		if err := r.Collect(id, file, strings.NewReader(lines)); err != nil {
			t.Fatal(err)
		}
		r.Finish()
		if r.Conclusion != want {
			t.Errorf("%s: %q, want %q", file, r.Conclusion, want)
		}
		if r.Unreadable != strings.Count(lines, "unreadable") {
			t.Errorf("%s: %d unreadable lines", file, r.Unreadable)
		}
	}
}
