package launch

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
)

// builds holds the paths of the binaries that this process built, by package.
var builds struct {
	sync.Mutex
	dir   string
	paths map[string]string
}

// Build builds a main package, once per process, and returns the path of the binary. The package is an import path, or a
// path relative to the working directory that starts with a dot. It is built with -race if this process was. Call
// RemoveBuilds at the end of TestMain.
func Build(pkg string) (string, error) {
	builds.Lock()
	defer builds.Unlock()
	if path, ok := builds.paths[pkg]; ok {
		return path, nil
	}
	if builds.dir == "" {
		dir, err := os.MkdirTemp("", "verbenakeel-build-")
		if err != nil {
			return "", fmt.Errorf("create build directory: %w", err)
		}
		builds.dir, builds.paths = dir, map[string]string{}
	}
	path := filepath.Join(builds.dir, fmt.Sprintf("%d-%s", len(builds.paths), filepath.Base(pkg)))
	args := []string{"build", "-o", path}
	if raceEnabled {
		args = append(args, "-race")
	}
	if out, err := exec.Command("go", append(args, pkg)...).CombinedOutput(); err != nil {
		return "", fmt.Errorf("build %s: %w\n%s", pkg, err, out)
	}
	builds.paths[pkg] = path
	return path, nil
}

// RemoveBuilds removes the binaries that Build built.
func RemoveBuilds() {
	builds.Lock()
	defer builds.Unlock()
	if builds.dir != "" {
		_ = os.RemoveAll(builds.dir)
	}
	builds.dir, builds.paths = "", nil
}
