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

// learnedVersion is the schema version of the data that ExportLearned returns.
const learnedVersion = 1

// maxExported bounds the classes in an export, most recently used first, so that a snapshot stays small.
const maxExported = 1024

// learned is the document that ExportLearned encodes.
type learned struct {
	Version int            `cbor:"1,keyasint"`
	Classes []learnedClass `cbor:"2,keyasint"`
}

// learnedClass holds the estimates of one class. Sketches are in the encoding of their library; empty if there is none.
type learnedClass struct {
	Customer  string            `cbor:"1,keyasint"`
	Class     string            `cbor:"2,keyasint,omitempty"`
	Kind      record.JobKind    `cbor:"3,keyasint"`
	CPU       []byte            `cbor:"4,keyasint,omitempty"`
	Memory    []byte            `cbor:"5,keyasint,omitempty"`
	Run       []byte            `cbor:"6,keyasint,omitempty"`
	Measured  int               `cbor:"7,keyasint,omitempty"`
	Runs      int               `cbor:"8,keyasint,omitempty"`
	UsedMs    int64             `cbor:"9,keyasint,omitempty"`
	Baselines []learnedBaseline `cbor:"10,keyasint,omitempty"`
	Slowdowns []learnedSlowdown `cbor:"11,keyasint,omitempty"`
}

// learnedBaseline is the latency of a service without interference at one load level.
type learnedBaseline struct {
	Bucket   int     `cbor:"1,keyasint"`
	Adds     int     `cbor:"2,keyasint"`
	Baseline float64 `cbor:"3,keyasint"`
	Low      float64 `cbor:"4,keyasint"`
	High     float64 `cbor:"5,keyasint"`
	Latency  []byte  `cbor:"6,keyasint,omitempty"`
}

// learnedSlowdown is the slowdown of a service by the class at Index of the export; -1 stands for the load of the
// worker.
type learnedSlowdown struct {
	Index    int     `cbor:"1,keyasint"`
	Slowdown float32 `cbor:"2,keyasint"`
}

// ExportLearned returns the estimates for classes of tasks, for a snapshot. The same state gives the same bytes. The
// health of workers is not included: it is established again within seconds, and a replaced worker must not inherit it.
func (s *State) ExportLearned() ([]byte, error) {
	classes := make([]*class, 0, len(s.classes))
	for _, c := range s.classes {
		if c.measured > 0 || c.runs > 0 {
			classes = append(classes, c)
		}
	}
	sort.Slice(classes, func(a, b int) bool {
		x, y := classes[a], classes[b]
		if x.lastUsedMs != y.lastUsedMs {
			return x.lastUsedMs > y.lastUsedMs
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
		Memory: exportSketch(c.memory), Run: exportSketch(c.run), Measured: c.measured, Runs: c.runs, UsedMs: c.lastUsedMs}
	if c.baselines != nil {
		for b := range c.baselines {
			if l := &c.baselines[b]; l.adds > 0 {
				out.Baselines = append(out.Baselines, learnedBaseline{b, l.adds, l.baseline, l.low, l.high, exportSketch(l.latency)})
			}
		}
	}
	for id, h := range c.slowdownBy {
		i, ok := index[int32(id)]
		if id == int(loadClass.id) {
			i, ok = -1, true
		}
		if ok && h >= 0 {
			out.Slowdowns = append(out.Slowdowns, learnedSlowdown{i, h})
		}
	}
	slices.SortFunc(out.Slowdowns, func(a, b learnedSlowdown) int { return a.Index - b.Index })
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

// ImportLearned replaces the estimates of the classes in data, which ExportLearned returned. An error leaves the state
// unchanged. Empty data is accepted and changes nothing.
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
	s.replaceLearned(read, in.Classes)
	return nil
}

// importClass decodes one class. Slowdowns are set later, when all classes have ids.
func importClass(in *learnedClass, n int) (*class, error) {
	c := &class{measured: max(in.Measured, 0), runs: max(in.Runs, 0), lastUsedMs: in.UsedMs}
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
	for _, l := range in.Baselines {
		if l.Bucket < 0 || l.Bucket >= loadBuckets || !(l.Baseline >= 0 && l.Low >= 0 && l.High >= l.Low) {
			return nil, fmt.Errorf("baseline latency of load bucket %d is out of range", l.Bucket)
		}
		if c.baselines == nil {
			c.baselines = new([loadBuckets]loadBaseline)
		}
		sk, err := importSketch(l.Latency)
		if err != nil {
			return nil, err
		}
		c.baselines[l.Bucket] = loadBaseline{latency: sk, adds: max(l.Adds, 0), baseline: l.Baseline, low: l.Low, high: l.High}
	}
	for _, h := range in.Slowdowns {
		if h.Index < -1 || h.Index >= n || !(h.Slowdown >= 0 && h.Slowdown <= maxSlowdown) {
			return nil, fmt.Errorf("slowdown by class %d is out of range", h.Index)
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

// replaceLearned replaces the estimates of the present classes by the imported ones of the same key.
func (s *State) replaceLearned(read []*class, in []learnedClass) {
	placed := make([]*class, len(read))
	for i, r := range read {
		c := s.classOf(r.lastUsedMs, &record.Job{Customer: in[i].Customer, Class: in[i].Class, Kind: in[i].Kind})
		c.cpu, c.memory, c.run, c.baselines = r.cpu, r.memory, r.run, r.baselines
		c.measured, c.runs, c.slowdownBy = r.measured, r.runs, nil
		c.refreshSize()
		c.refreshRun()
		placed[i] = c
	}
	for i, c := range placed {
		for _, h := range in[i].Slowdowns {
			from := loadClass
			if h.Index >= 0 {
				from = placed[h.Index]
			}
			c.setSlowdown(from, float64(h.Slowdown))
		}
	}
	for _, w := range s.workerOrder {
		w.stale = true
	}
}
