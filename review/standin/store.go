package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the platform's store, from the settings file in DEPLOY.md.
const (
	storePartitions   = 32
	storeAnswerTime   = 4 * time.Millisecond
	appendTime        = 2 * time.Millisecond
	appendBytesPerSec = 20e6
	maxRecordBytes    = 262144
	maxCallBytes      = 2097152
	maxPageItems      = 500
	maxPageBytes      = 1 << 20
	keptAppends       = 5
)

// store is a stand-in of the platform's metadata store: conditional and fenced appends,
// waiting reads, and the newest record of each key.
type store struct {
	mu         sync.Mutex
	partitions map[string]*partition
	busy       bool // answers every call with 503
	slowdown   int  // its answers take this many times as long
}

type partition struct {
	mu        sync.Mutex // held during an append: a partition processes one at a time
	records   []keyedRecord
	newest    map[string]int64
	producers map[string]*producer
	changed   chan struct{}
}

type keyedRecord struct {
	key   string
	value []byte
}

type producer struct {
	epoch, sequence int64
	fresh           bool // no append of this epoch yet
	last            []appendResult
}

type appendResult struct{ sequence, offset, end int64 }

func newStore() *store { return &store{partitions: map[string]*partition{}, slowdown: 1} }

func (s *store) setBusy(busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = busy
}

func (s *store) partition(topic, part string) *partition {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := topic + "/" + part
	p := s.partitions[name]
	if p == nil {
		p = &partition{newest: map[string]int64{}, producers: map[string]*producer{}, changed: make(chan struct{})}
		s.partitions[name] = p
	}
	return p
}

// put appends a record as the operator and the workers do. A nil value deletes the key.
func (s *store) put(topic, key string, value []byte) {
	p := s.partition(topic, "0")
	p.mu.Lock()
	defer p.mu.Unlock()
	p.add(keyedRecord{key, value})
	p.notify()
}

// add appends one record. The caller holds p.mu.
func (p *partition) add(r keyedRecord) {
	if len(r.value) == 0 {
		delete(p.newest, r.key)
	} else {
		p.newest[r.key] = int64(len(p.records))
	}
	p.records = append(p.records, r)
}

func (p *partition) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	busy, slowdown := s.busy, s.slowdown
	s.mu.Unlock()
	body, err := io.ReadAll(io.LimitReader(r.Body, maxCallBytes+1<<20))
	if err != nil {
		return
	}
	if busy {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(storeAnswerTime * time.Duration(slowdown))
	query := r.URL.Query()
	part, err := strconv.Atoi(query.Get("part"))
	if err != nil || part < 0 || part >= storePartitions || strings.HasPrefix(query.Get("topic"), "keyed.") && query.Get("topic") == "" {
		answer(w, http.StatusBadRequest, map[string]any{"error": "no such partition"})
		return
	}
	p := s.partition(query.Get("topic"), query.Get("part"))
	switch r.URL.Path {
	case "/yuccalanding/log-append":
		s.append(w, r, p, body, slowdown)
	case "/yuccalanding/log-read":
		s.read(w, r, p)
	case "/yuccalanding/log-newest":
		s.listNewest(w, r, p)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func number(r *http.Request, name string, missing int64) int64 {
	value, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return missing
	}
	return value
}

func splitRecords(body []byte) (records []keyedRecord, ok bool) {
	for len(body) > 0 {
		if len(body) < 5 {
			return nil, false
		}
		size := int(binary.BigEndian.Uint32(body))
		if size < 1 || size > maxRecordBytes || size > len(body)-4 {
			return nil, false
		}
		entry := body[4 : 4+size]
		keyEnd := 1 + int(entry[0])
		if keyEnd > size {
			return nil, false
		}
		records = append(records, keyedRecord{string(entry[1:keyEnd]), slices.Clone(entry[keyEnd:])})
		body = body[4+size:]
	}
	return records, true
}

func (s *store) append(w http.ResponseWriter, r *http.Request, p *partition, body []byte, slowdown int) {
	records, ok := splitRecords(body)
	if !ok || len(body) > maxCallBytes || strings.HasPrefix(r.URL.Query().Get("topic"), "keyed.op") || r.URL.Query().Get("topic") == "keyed.servers" {
		answer(w, http.StatusBadRequest, map[string]any{"error": "refused"})
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	took := appendTime*time.Duration(slowdown) + time.Duration(float64(len(body))/appendBytesPerSec*float64(time.Second))
	time.Sleep(took)
	end := int64(len(p.records))
	if at := number(r, "at", -1); at >= 0 && at != end {
		answer(w, http.StatusPreconditionFailed, map[string]any{"end": end})
		return
	}
	if name := r.URL.Query().Get("producer"); name != "" {
		epoch, sequence := number(r, "epoch", 0), number(r, "seq-no", 0)
		writer := p.producers[name]
		if writer == nil || epoch > writer.epoch {
			writer = &producer{epoch: epoch, fresh: true}
			p.producers[name] = writer
		}
		if epoch < writer.epoch {
			answer(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		}
		if len(records) > 0 {
			for _, earlier := range writer.last {
				if earlier.sequence == sequence {
					answer(w, http.StatusOK, map[string]any{"offset": earlier.offset, "end": earlier.end})
					return
				}
			}
			if !writer.fresh && sequence != writer.sequence+1 {
				answer(w, http.StatusConflict, map[string]any{"reason": "seq", "seq-no": writer.sequence + 1})
				return
			}
			writer.fresh, writer.sequence = false, sequence
			writer.last = append(writer.last, appendResult{sequence, end, end + int64(len(records))})
			writer.last = writer.last[max(0, len(writer.last)-keptAppends):]
		}
	}
	for _, one := range records {
		p.add(one)
	}
	if len(records) > 0 {
		p.notify()
	}
	answer(w, http.StatusOK, map[string]any{"offset": end, "end": len(p.records)})
}

func (s *store) read(w http.ResponseWriter, r *http.Request, p *partition) {
	from := max(0, number(r, "from", 0))
	deadline := time.After(time.Duration(number(r, "wait-ms", 0)) * time.Millisecond)
	for waited := number(r, "wait-ms", 0) <= 0; ; {
		p.mu.Lock()
		changed, end := p.changed, int64(len(p.records))
		if from < end || waited {
			body := binary.BigEndian.AppendUint64(nil, uint64(end))
			body = binary.BigEndian.AppendUint64(body, 0)
			for _, one := range p.records[min(from, end):] {
				body = binary.BigEndian.AppendUint32(body, uint32(1+len(one.key)+len(one.value)))
				body = append(append(append(body, byte(len(one.key))), one.key...), one.value...)
				if len(body) > maxPageBytes {
					break
				}
			}
			p.mu.Unlock()
			_, _ = w.Write(body)
			return
		}
		p.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waited = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) listNewest(w http.ResponseWriter, r *http.Request, p *partition) {
	p.mu.Lock()
	defer p.mu.Unlock()
	after := r.URL.Query().Get("after")
	var keys []string
	for key := range p.newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	items, size := []map[string]any{}, 0
	for _, key := range keys {
		value := p.records[p.newest[key]].value
		if len(items) == maxPageItems || size+len(value) > maxPageBytes {
			break
		}
		size += len(value)
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(value), "offset": p.newest[key]})
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "more-pages": len(items) < len(keys), "end": len(p.records)})
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		return // the caller has left
	}
}
