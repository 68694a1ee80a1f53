// Package scenariorunner runs a fault scenario: it starts relay processes among fakes of the systems
// around them, injects the faults of the scenario file, passes what it observes on the sockets to
// the judge, and reports the result.
package scenariorunner

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"

	"dahliarudder/internal/fakes"
	"dahliarudder/internal/scenario"
	"dahliarudder/internal/settings"
)

// Runner runs a scenario file.
type Runner struct {
	File     *scenario.File
	Dir      string // the directory of the file; relative paths in the file start here
	Program  string // path of the relay program
	WorkDir  string // directory for the relays' files and logs
	Progress func(format string, args ...any)
}

// Settings returns the configuration that the file names, with the patches of the file and the
// variant applied, and the settings decoded from it.
func (r *Runner) Settings(v scenario.Variant) (map[string]json.RawMessage, *settings.Settings, error) {
	path := r.resolvePath(r.File.Config)
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, fmt.Errorf("%w: config: %w", scenario.ErrInvalid, err)
	}
	merged := json.RawMessage(text)
	for _, patch := range []json.RawMessage{r.File.Patch, v.Patch} {
		if merged, err = scenario.MergePatch(merged, patch); err != nil {
			return nil, nil, fmt.Errorf("%w: %s: %w", scenario.ErrInvalid, path, err)
		}
	}
	config := map[string]json.RawMessage{}
	if err := json.Unmarshal(merged, &config); err != nil {
		return nil, nil, fmt.Errorf("%w: %s: %w", scenario.ErrInvalid, path, err)
	}
	decoded, err := settings.Decode(config["settings"])
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %s: %w", scenario.ErrInvalid, path, err)
	}
	if len(decoded.Classes) == 0 {
		return nil, nil, fmt.Errorf("%w: %s: settings name no classes", scenario.ErrInvalid, path)
	}
	return config, decoded, r.File.CheckZones(site(decoded).Zones)
}

// resolvePath resolves a path of the scenario file relative to the file's directory.
func (r *Runner) resolvePath(path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(r.Dir, path)
}

// site returns the part of the settings that a plan is drawn from.
func site(decoded *settings.Settings) scenario.Site {
	s := scenario.Site{}
	for _, c := range decoded.Classes {
		s.ClassWeights = append(s.ClassWeights, c.PriorityWeight)
	}
	for _, t := range decoded.Tenants {
		s.TenantShares = append(s.TenantShares, t.Share)
	}
	for _, z := range decoded.Zones {
		s.Zones = append(s.Zones, string(z))
	}
	if len(s.Zones) == 0 {
		s.Zones = []string{""}
	}
	return s
}

// slowStart returns the capacity ramp of starting members that the settings define.
func slowStart(decoded *settings.Settings) scenario.SlowStart {
	return scenario.SlowStart{From: decoded.Guarantees.SlowStartMinCapacity, For: settings.Duration(decoded.Guarantees.SlowStartDuration)}
}

// RunAll runs every variant with every seed as often as the file says. For each seed and repetition
// it runs the variants in turn. If the context ends, it returns the results so far.
func (r *Runner) RunAll(ctx context.Context) (all []*Result, err error) {
	// An address of its own keeps this process apart from concurrent ones on the same machine.
	fakes.Host = fmt.Sprintf("127.%d.%d.1", 64+rand.IntN(128), rand.IntN(256))
	repetitions := r.File.Repetitions * r.File.Seeds
	for k := range repetitions {
		seed := r.File.Seed + uint64(k%r.File.Seeds)
		for _, v := range r.File.Variants {
			if ctx.Err() != nil {
				return all, nil
			}
			r.Progress("%s, repetition %d of %d, seed %d: %d relays, %d members\n", v.Name, k+1, repetitions, seed,
				r.File.Relays.Count, r.File.Members.Count)
			x, err := r.RunVariant(ctx, v, k+1, seed)
			if err != nil {
				return all, err
			}
			all = append(all, x)
		}
	}
	return all, nil
}

// RunVariant runs one variant once. If the context ends, it returns the measurements so far, marked
// as invalid.
func (r *Runner) RunVariant(ctx context.Context, v scenario.Variant, repetition int, seed uint64) (*Result, error) {
	x, err := r.newRun(ctx, v, repetition, seed)
	if err != nil {
		return nil, err
	}
	defer x.shutdown()
	if err := x.setUp(); err != nil {
		return nil, err
	}
	if err := x.waitReady(ctx); err != nil {
		return nil, err
	}
	x.restartClock()
	x.execute(ctx)
	if x.File.CheckLeaks && ctx.Err() == nil {
		x.checkLeaks(ctx)
	}
	out := x.result(v, repetition)
	if ctx.Err() != nil {
		out.Invalid = "the run was interrupted"
	}
	return out, nil
}
