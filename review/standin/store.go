package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storeAnswer is the time that the store takes for an answer.
const storeAnswer = 4 * time.Millisecond

// store is a stand-in of the platform's store: a log whose topics have one partition each.
type store struct {
	rec *record

	mu       sync.Mutex
	topics   map[string]*topic
	appended chan struct{}
	down     bool
	// lastConditional is the machine whose append under a condition was last accepted.
	lastConditional string
}

// topic is a partition. Offsets count from the first record that was ever appended.
type topic struct {
	first int64
	// hidden is the offset from which reads that wait hear nothing yet, 0 if they hear of all records. Other reads see all.
	hidden    int64
	records   [][]byte
	newest    map[string]keyed
	producers map[string]*producer
}

type keyed struct {
	value  []byte
	offset int64
}

type producer struct {
	epoch, seq uint64
	responses  map[uint64][]byte
}

func newStore(rec *record) *store {
	return &store{rec: rec, topics: map[string]*topic{}, appended: make(chan struct{})}
}

func (t *topic) end() int64 { return t.first + int64(len(t.records)) }

// visibleEnd is the end that a read sees.
func (t *topic) visibleEnd(waits bool) int64 {
	if waits && t.hidden > 0 {
		return t.hidden
	}
	return t.end()
}

func (s *store) topic(name string) *topic {
	if s.topics[name] == nil {
		s.topics[name] = &topic{newest: map[string]keyed{}, producers: map[string]*producer{}}
	}
	return s.topics[name]
}

// setDown makes the store refuse every call with 503, or serve again.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	s.down = down
	s.mu.Unlock()
	s.rec.printf("store: down %t", down)
}

// conditionalWriter returns the machine that last wrote to the store under a condition.
func (s *store) conditionalWriter() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastConditional
}

// put appends a keyed record, as the operator does.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(s.topic(name), append(append([]byte{byte(len(key))}, key...), value...))
}

// loseHistory makes reads of a topic that wait hear nothing for a time, in which a change is made, and then deletes its records.
// The newest record of each key stays.
func (s *store) loseHistory(name string, quiet time.Duration, change func()) {
	s.mu.Lock()
	t := s.topic(name)
	t.hidden = t.end()
	s.mu.Unlock()
	s.rec.printf("store: readers of %s hear nothing", name)
	change()
	time.Sleep(quiet)
	s.mu.Lock()
	t.first, t.records, t.hidden = t.end(), nil, 0
	close(s.appended)
	s.appended = make(chan struct{})
	s.mu.Unlock()
	s.rec.printf("store: the records of %s are deleted, the newest of each key stay", name)
}

func (s *store) add(t *topic, data []byte) {
	if len(data) > 0 && int(data[0]) < len(data) {
		key, value := string(data[1:1+data[0]]), data[1+data[0]:]
		if len(value) == 0 {
			delete(t.newest, key)
		} else {
			t.newest[key] = keyed{value, t.end()}
		}
	}
	t.records = append(t.records, data)
	close(s.appended)
	s.appended = make(chan struct{})
}

// handler returns the handler of the calls of one machine.
func (s *store) handler(machine string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeAnswer)
		s.mu.Lock()
		down := s.down
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		status, body := http.StatusNotFound, []byte(nil)
		switch r.URL.Path {
		case "/-/log-append":
			status, body = s.append(machine, r)
		case "/-/log-read":
			status, body = s.read(r)
		case "/-/log-newest":
			status, body = s.newestPage(r)
		}
		w.WriteHeader(status)
		_, _ = w.Write(body)
	})
}

func query(r *http.Request, name string) (uint64, bool) {
	v, err := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	return v, err == nil
}

func (s *store) append(machine string, r *http.Request) (int, []byte) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return http.StatusServiceUnavailable, nil
	}
	t := s.topic(r.URL.Query().Get("topic"))
	epoch, _ := query(r, "epoch")
	seq, _ := query(r, "seq")
	var p *producer
	if name := r.URL.Query().Get("producer"); name != "" {
		if p = t.producers[name]; p == nil {
			p = &producer{responses: map[uint64][]byte{}}
			t.producers[name] = p
		}
		switch {
		case epoch < p.epoch:
			return http.StatusConflict, encode(map[string]any{"reason": "fenced"})
		case epoch == p.epoch && p.responses[seq] != nil:
			return http.StatusOK, p.responses[seq]
		case epoch == p.epoch && seq != p.seq+1:
			return http.StatusConflict, encode(map[string]any{"reason": "seq", "seq": p.seq + 1})
		}
	}
	expected, conditional := query(r, "as_of")
	if conditional && int64(expected) != t.end() {
		return http.StatusPreconditionFailed, encode(map[string]any{"end": t.end()})
	}
	offset := t.end()
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		s.add(t, append([]byte(nil), body[4:4+n]...))
		body = body[4+n:]
	}
	response := encode(map[string]any{"offset": offset, "end": t.end()})
	if p != nil {
		if epoch > p.epoch {
			p.responses = map[uint64][]byte{}
		}
		p.epoch, p.seq = epoch, seq
		p.responses[seq] = response
		delete(p.responses, seq-5)
	}
	if conditional {
		s.lastConditional = machine
		s.rec.printf("store: append of %s under a condition accepted", machine)
	}
	return http.StatusOK, response
}

func (s *store) read(r *http.Request) (int, []byte) {
	from, _ := query(r, "from")
	wait, _ := query(r, "wait_ms")
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for expired := wait == 0; ; {
		s.mu.Lock()
		t := s.topic(r.URL.Query().Get("topic"))
		status, body, appended := http.StatusOK, []byte(nil), s.appended
		switch {
		case s.down:
			status = http.StatusServiceUnavailable
		case int64(from) < t.first:
			status, body = http.StatusGone, encode(map[string]any{"first": t.first})
		case int64(from) < t.visibleEnd(wait > 0) || expired:
			body = t.page(r, int64(from), wait > 0)
		}
		s.mu.Unlock()
		if status != http.StatusOK || body != nil {
			return status, body
		}
		select {
		case <-appended:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return http.StatusServiceUnavailable, nil
		}
	}
}

// page encodes the records from an offset on, as many as the call asks for.
func (t *topic) page(r *http.Request, from int64, waits bool) []byte {
	limit := uint64(1024)
	if kb, ok := query(r, "max_kb"); ok {
		limit = kb
	}
	body := binary.BigEndian.AppendUint64(nil, uint64(t.visibleEnd(waits)))
	body = binary.BigEndian.AppendUint64(body, uint64(t.first))
	for i := max(from-t.first, 0); i < t.visibleEnd(waits)-t.first; i++ {
		if len(body) > 16 && len(body)+len(t.records[i]) > int(limit)<<10 {
			break
		}
		body = binary.BigEndian.AppendUint32(body, uint32(len(t.records[i])))
		body = append(body, t.records[i]...)
	}
	return body
}

// newestPage returns the newest record of at most 500 keys.
func (s *store) newestPage(r *http.Request) (int, []byte) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	after := r.URL.Query().Get("depends_on")
	items := []item{}
	for key, rec := range t.newest {
		if key > after {
			items = append(items, item{key, base64.StdEncoding.EncodeToString(rec.value), rec.offset})
		}
	}
	sort.Slice(items, func(i, k int) bool { return items[i].Key < items[k].Key })
	more := len(items) > 500
	if more {
		items = items[:500]
	}
	return http.StatusOK, encode(map[string]any{"items": items, "has_more": more, "end": t.end()})
}

// encode returns v as JSON.
func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

// serve serves a handler on a listener until the listener is closed.
func serve(ln net.Listener, h http.Handler) *http.Server {
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(ln) }()
	return server
}
