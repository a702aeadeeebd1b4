package scheduler

import (
	"fmt"
	"slices"
	"sort"

	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/DataDog/sketches-go/ddsketch/store"
	"github.com/fxamacker/cbor/v2"

	"github.com/verbenakeel/verbenakeel/errdefs"
	"github.com/verbenakeel/verbenakeel/record"
)

// learnedVersion is the schema version of what ExportLearned returns.
const learnedVersion = 1

// maxExported bounds the classes in an export, newest first, so that a snapshot stays small.
const maxExported = 1024

// learned is what ExportLearned encodes.
type learned struct {
	Version int            `cbor:"1,keyasint"`
	Classes []learnedClass `cbor:"2,keyasint"`
}

// learnedClass is one class. Sketches are in their own encoding; empty if there is none.
type learnedClass struct {
	Customer string         `cbor:"1,keyasint"`
	Class    string         `cbor:"2,keyasint,omitempty"`
	Kind     record.JobKind `cbor:"3,keyasint"`
	CPU      []byte         `cbor:"4,keyasint,omitempty"`
	Memory   []byte         `cbor:"5,keyasint,omitempty"`
	Run      []byte         `cbor:"6,keyasint,omitempty"`
	Measured int            `cbor:"7,keyasint,omitempty"`
	Runs     int            `cbor:"8,keyasint,omitempty"`
	UsedMs   int64          `cbor:"9,keyasint,omitempty"`
	Levels   []learnedLevel `cbor:"10,keyasint,omitempty"`
	Harms    []learnedHarm  `cbor:"11,keyasint,omitempty"`
}

// learnedLevel is the undisturbed latency of a service at one load.
type learnedLevel struct {
	Bucket  int     `cbor:"1,keyasint"`
	Adds    int     `cbor:"2,keyasint"`
	Level   float64 `cbor:"3,keyasint"`
	Low     float64 `cbor:"4,keyasint"`
	High    float64 `cbor:"5,keyasint"`
	Latency []byte  `cbor:"6,keyasint,omitempty"`
}

// learnedHarm is the harm of the class at Index of the export to a service; -1 stands for the load of the worker.
type learnedHarm struct {
	Index int     `cbor:"1,keyasint"`
	Harm  float32 `cbor:"2,keyasint"`
}

// ExportLearned returns what was learned of classes, for a snapshot. The same state gives the same bytes. The health
// of workers is not included: it is learned again within seconds, and a replaced worker must not inherit it.
func (s *State) ExportLearned() ([]byte, error) {
	classes := make([]*class, 0, len(s.classes))
	for _, c := range s.classes {
		if c.measured > 0 || c.runs > 0 {
			classes = append(classes, c)
		}
	}
	sort.Slice(classes, func(a, b int) bool {
		x, y := classes[a], classes[b]
		if x.usedMs != y.usedMs {
			return x.usedMs > y.usedMs
		}
		return keyLess(x.key, y.key)
	})
	classes = classes[:min(len(classes), maxExported)]
	index := make(map[int32]int, len(classes))
	for i, c := range classes {
		index[c.id] = i
	}
	out := learned{Version: learnedVersion}
	for _, c := range classes {
		out.Classes = append(out.Classes, exportClass(c, index))
	}
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		return nil, fmt.Errorf("export learned state: %w", err)
	}
	data, err := mode.Marshal(out)
	if err != nil {
		return nil, fmt.Errorf("export learned state: %w", err)
	}
	return data, nil
}

func keyLess(a, b classKey) bool {
	switch {
	case a.customer != b.customer:
		return a.customer < b.customer
	case a.class != b.class:
		return a.class < b.class
	default:
		return a.kind < b.kind
	}
}

func exportClass(c *class, index map[int32]int) learnedClass {
	out := learnedClass{Customer: c.key.customer, Class: c.key.class, Kind: c.key.kind, CPU: exportSketch(c.cpu),
		Memory: exportSketch(c.memory), Run: exportSketch(c.run), Measured: c.measured, Runs: c.runs, UsedMs: c.usedMs}
	if c.levels != nil {
		for b := range c.levels {
			if l := &c.levels[b]; l.adds > 0 {
				out.Levels = append(out.Levels, learnedLevel{b, l.adds, l.level, l.low, l.high, exportSketch(l.latency)})
			}
		}
	}
	for id, h := range c.harmedBy {
		i, ok := index[int32(id)]
		if id == int(loadClass.id) {
			i, ok = -1, true
		}
		if ok && h >= 0 {
			out.Harms = append(out.Harms, learnedHarm{i, h})
		}
	}
	slices.SortFunc(out.Harms, func(a, b learnedHarm) int { return a.Index - b.Index })
	return out
}

func exportSketch(sk *ddsketch.DDSketch) []byte {
	if sk == nil {
		return nil
	}
	var b []byte
	sk.Encode(&b, false)
	return b
}

// ImportLearned replaces what was learned of the classes in data, which ExportLearned returned. An error leaves the
// state as it was. Empty data is accepted and changes nothing.
func (s *State) ImportLearned(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	var in learned
	if err := cbor.Unmarshal(data, &in); err != nil {
		return fmt.Errorf("import learned state: %w", errdefs.New(errdefs.Invalid, err.Error(),
			"start without it; sizes and interference are learned again"))
	}
	if in.Version != learnedVersion {
		return errdefs.New(errdefs.Incompatible, fmt.Sprintf("learned state has schema %d, this program reads %d", in.Version, learnedVersion),
			"start without it; sizes and interference are learned again")
	}
	if len(in.Classes) > maxClasses {
		return errdefs.New(errdefs.Invalid, fmt.Sprintf("learned state has %d classes, at most %d are read", len(in.Classes), maxClasses),
			"start without it; sizes and interference are learned again")
	}
	read := make([]*class, len(in.Classes))
	for i := range in.Classes {
		c, err := importClass(&in.Classes[i], len(in.Classes))
		if err != nil {
			return fmt.Errorf("import learned state of class %q of %q: %w", in.Classes[i].Class, in.Classes[i].Customer,
				errdefs.New(errdefs.Invalid, err.Error(), "start without it; sizes and interference are learned again"))
		}
		read[i] = c
	}
	s.adoptLearned(read, in.Classes)
	return nil
}

// importClass reads one class. Harm is adopted later, when all classes have ids.
func importClass(in *learnedClass, n int) (*class, error) {
	c := &class{measured: max(in.Measured, 0), runs: max(in.Runs, 0), usedMs: in.UsedMs}
	var err error
	if c.cpu, err = importSketch(in.CPU); err != nil {
		return nil, err
	}
	if c.memory, err = importSketch(in.Memory); err != nil {
		return nil, err
	}
	if c.run, err = importSketch(in.Run); err != nil {
		return nil, err
	}
	for _, l := range in.Levels {
		if l.Bucket < 0 || l.Bucket >= loadBuckets || !(l.Level >= 0 && l.Low >= 0 && l.High >= l.Low) {
			return nil, fmt.Errorf("latency level of bucket %d is out of range", l.Bucket)
		}
		if c.levels == nil {
			c.levels = new([loadBuckets]loadLevel)
		}
		sk, err := importSketch(l.Latency)
		if err != nil {
			return nil, err
		}
		c.levels[l.Bucket] = loadLevel{latency: sk, adds: max(l.Adds, 0), level: l.Level, low: l.Low, high: l.High}
	}
	for _, h := range in.Harms {
		if h.Index < -1 || h.Index >= n || !(h.Harm >= 0 && h.Harm <= maxSlow) {
			return nil, fmt.Errorf("harm of class %d is out of range", h.Index)
		}
	}
	return c, nil
}

func importSketch(data []byte) (sk *ddsketch.DDSketch, err error) {
	if len(data) == 0 {
		return nil, nil
	}
	// The decoder of the library panics on some malformed input.
	defer func() {
		if r := recover(); r != nil {
			sk, err = nil, fmt.Errorf("malformed sketch: %v", r)
		}
	}()
	sk, err = ddsketch.DecodeDDSketch(data, func() store.Store { return store.NewCollapsingLowestDenseStore(sketchBins) }, nil)
	if err != nil {
		return nil, err
	}
	if count := sk.GetCount(); !(count > 0 && count < 1e9) {
		return nil, fmt.Errorf("sketch counts %v values", count)
	}
	return sk, nil
}

// adoptLearned puts read classes in place of the present ones of the same key.
func (s *State) adoptLearned(read []*class, in []learnedClass) {
	placed := make([]*class, len(read))
	for i, r := range read {
		c := s.classOf(r.usedMs, &record.Job{Customer: in[i].Customer, Class: in[i].Class, Kind: in[i].Kind})
		c.cpu, c.memory, c.run, c.levels = r.cpu, r.memory, r.run, r.levels
		c.measured, c.runs, c.harmedBy = r.measured, r.runs, nil
		c.refreshSize()
		c.refreshRun()
		placed[i] = c
	}
	for i, c := range placed {
		for _, h := range in[i].Harms {
			from := loadClass
			if h.Index >= 0 {
				from = placed[h.Index]
			}
			c.setHarm(from, float64(h.Harm))
		}
	}
	for _, w := range s.order {
		w.stale = true
	}
}
