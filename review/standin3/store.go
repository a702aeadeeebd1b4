package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits of the store, as the platform's settings give them.
const (
	recordBytes = 262144
	callBytes   = 2097152
	// defaultReadKB is the size of a read that names none.
	defaultReadKB = 1024
	// pageKeys and pageBytes bound a page of newest records.
	pageKeys, pageBytes = 500, 1 << 20
	// answerTime is how long the store takes for an answer.
	answerTime = 4 * time.Millisecond
	// keptResponses is the number of appends of a producer whose repetition gets the first response.
	keptResponses = 5
)

// store is the platform's log with topics of one partition. It keeps all records.
type store struct {
	mu       sync.Mutex
	topics   map[string]*topic
	appended chan struct{}
}

type topic struct {
	records   [][]byte
	producers map[string]*producer
}

type producer struct {
	epoch, seq uint64
	responses  map[uint64][]byte
}

func newStore() *store { return &store{topics: map[string]*topic{}, appended: make(chan struct{})} }

// put appends a keyed record as the operator does.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(s.topic(name), append(append([]byte{byte(len(key))}, key...), value...))
}

func (s *store) topic(name string) *topic {
	if s.topics[name] == nil {
		s.topics[name] = &topic{producers: map[string]*producer{}}
	}
	return s.topics[name]
}

func (s *store) add(t *topic, record []byte) {
	t.records = append(t.records, record)
	close(s.appended)
	s.appended = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	switch r.URL.Path {
	case "/-/log-append":
		s.append(w, r)
	case "/-/log-read":
		s.read(w, r)
	case "/-/log-newest":
		s.newest(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func queryUint(r *http.Request, name string) (uint64, bool) {
	v, err := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	return v, err == nil
}

// split returns the records of an append, or false if they break a limit.
func split(body []byte) (records [][]byte, ok bool) {
	if len(body) > callBytes {
		return nil, false
	}
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(body))
		if n > recordBytes || n > len(body)-4 {
			return nil, false
		}
		records = append(records, body[4:4+n])
		body = body[4+n:]
	}
	return records, true
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	records, ok := split(body)
	if !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	epoch, _ := queryUint(r, "epoch")
	seq, _ := queryUint(r, "seq")
	var p *producer
	if name := r.URL.Query().Get("producer"); name != "" {
		if p = t.producers[name]; p == nil {
			p = &producer{}
			t.producers[name] = p
		}
		switch {
		case epoch < p.epoch:
			reply(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		case epoch == p.epoch && p.responses[seq] != nil:
			_, _ = w.Write(p.responses[seq])
			return
		case epoch == p.epoch && seq != p.seq+1:
			reply(w, http.StatusConflict, map[string]any{"reason": "seq", "seq": p.seq + 1})
			return
		}
	}
	offset := len(t.records)
	if want, given := queryUint(r, "as_of"); given && want != uint64(offset) {
		reply(w, http.StatusPreconditionFailed, map[string]any{"end": offset})
		return
	}
	for _, record := range records {
		s.add(t, append([]byte(nil), record...))
	}
	response, _ := json.Marshal(map[string]any{"offset": offset, "end": len(t.records)})
	if p != nil {
		if epoch > p.epoch || p.responses == nil {
			p.responses = map[uint64][]byte{}
		}
		p.epoch, p.seq = epoch, seq
		p.responses[seq] = response
		delete(p.responses, seq-keptResponses)
	}
	_, _ = w.Write(response)
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	from, _ := queryUint(r, "from")
	waitMs, _ := queryUint(r, "wait_ms")
	maxKB, given := queryUint(r, "max_kb")
	if !given {
		maxKB = defaultReadKB
	}
	timer := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer timer.Stop()
	for expired := waitMs == 0; ; {
		s.mu.Lock()
		records, appended := s.topic(r.URL.Query().Get("topic")).records, s.appended
		s.mu.Unlock()
		if uint64(len(records)) > from || expired {
			_, _ = w.Write(encodePage(records, from, int(maxKB)<<10))
			return
		}
		select {
		case <-appended:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

// encodePage encodes records from an offset on: at least one, and further ones within a size.
func encodePage(records [][]byte, from uint64, size int) []byte {
	body := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	body = binary.BigEndian.AppendUint64(body, 0)
	for i := from; i < uint64(len(records)); i++ {
		if i > from && len(body)+4+len(records[i]) > size {
			break
		}
		body = binary.BigEndian.AppendUint32(body, uint32(len(records[i])))
		body = append(body, records[i]...)
	}
	return body
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := s.topic(r.URL.Query().Get("topic")).records
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	byKey := map[string]item{}
	for i, rec := range records {
		key, value := string(rec[1:1+rec[0]]), rec[1+rec[0]:]
		if len(value) == 0 {
			delete(byKey, key)
			continue
		}
		byKey[key] = item{key, base64.StdEncoding.EncodeToString(value), i}
	}
	after := r.URL.Query().Get("depends_on")
	all := []item{}
	for key, it := range byKey {
		if key > after {
			all = append(all, it)
		}
	}
	sort.Slice(all, func(i, k int) bool { return all[i].Key < all[k].Key })
	n, size := 0, 0
	for n < len(all) && n < pageKeys && (n == 0 || size+len(all[n].Value) <= pageBytes) {
		size += len(all[n].Value)
		n++
	}
	reply(w, http.StatusOK, map[string]any{"items": all[:n], "has_more": n < len(all), "end": len(records)})
}
