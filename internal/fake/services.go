package fake

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"roadcleat/internal/core"
	"roadcleat/internal/model"
)

// Store is the state service.
type Store struct {
	w        *World
	rows     map[string]row
	revision uint64
	history  []core.Item
	leases   map[uint64]*lease
	nextID   uint64
	watches  []*openWatch

	// RPS, if set, is how many requests a second it takes from all controllers;
	// each keeps to its share, as the real client does.
	RPS float64
	// Slow is how long a transaction takes.
	Slow time.Duration
	// Late, if set, says how long a request is on its way, however long its sender
	// waits.
	Late func(node string, op core.Operation) time.Duration
	// Keep, if set, is how many changes it keeps for those who follow.
	Keep int
	lost uint64 // the newest change that it keeps no more

	down    time.Duration            // refuses everybody until then
	refused map[string]time.Duration // refuses one controller until then
	// Lose, if set, is asked for each transaction: its reply may be lost, and
	// it may be applied only after a while.
	Lose func(node string, t core.Txn) (lost bool, late time.Duration)
	// SlowRead, if set, says how much later than usual a read is carried out.
	SlowRead func(node, key string) time.Duration
	// OnExecuted are told of each transaction that was carried out or refused.
	OnExecuted []func(node string, t core.Txn, res core.CommitResult)
	late       lateWrites
}

type row struct {
	value    []byte
	revision uint64
	lease    uint64
}

type lease struct {
	life time.Duration
	ends time.Duration
}

type openWatch struct {
	node   string
	op     core.WatchKeys
	ends   time.Duration
	answer func(core.Result)
}

func newStore(w *World) *Store {
	s := &Store{w: w, rows: map[string]row{}, leases: map[uint64]*lease{}, refused: map[string]time.Duration{}}
	var tick func()
	tick = func() {
		s.expire()
		s.serve()
		w.After(20*time.Millisecond, tick)
	}
	tick()
	return s
}

// Outage refuses everybody for a while; then every lease has its full time.
func (s *Store) Outage(d time.Duration) {
	s.w.Log("%v state outage for %v", s.w.Now, d)
	s.w.extendFaults(d)
	s.down = max(s.down, s.w.Now+d)
	s.w.After(s.down-s.w.Now, func() {
		for _, l := range s.leases {
			l.ends = s.w.Now + l.life
		}
	})
}

// Refuse refuses one controller for a while.
func (s *Store) Refuse(node string, d time.Duration) {
	s.w.Log("%v state refuses %s for %v", s.w.Now, node, d)
	s.w.extendFaults(d)
	s.refused[node] = s.w.Now + d
}

func (s *Store) away(node string) bool { return s.w.Now < s.down || s.w.Now < s.refused[node] }

func (s *Store) expire() {
	if s.w.Now < s.down {
		return
	}
	var over []uint64
	for id, l := range s.leases {
		if s.w.Now > l.ends {
			over = append(over, id)
		}
	}
	slices.Sort(over)
	for _, id := range over {
		delete(s.leases, id)
		var keys []string
		for k, r := range s.rows {
			if r.lease == id {
				keys = append(keys, k)
			}
		}
		sort.Strings(keys)
		if len(keys) > 0 {
			s.revision++
			for _, k := range keys {
				s.change(k, nil, 0)
			}
		}
	}
}

func (s *Store) change(key string, value []byte, lease uint64) {
	if value == nil {
		delete(s.rows, key)
	} else {
		s.rows[key] = row{value, s.revision, lease}
	}
	s.history = append(s.history, core.Item{Key: key, Value: value, Revision: s.revision})
	if n := len(s.history); s.Keep > 0 && n > s.Keep {
		s.lost = s.history[n-s.Keep-1].Revision
		s.history = s.history[n-s.Keep:]
	}
}

// serve answers open watches that have something to say.
func (s *Store) serve() {
	var left []*openWatch
	for _, x := range s.watches {
		if s.away(x.node) {
			left = append(left, x)
			continue
		}
		if x.op.AfterRevision < s.lost {
			x.answer(core.WatchResult{Outcome: core.OutcomeRefused})
			continue
		}
		var changes []core.Item
		from := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > x.op.AfterRevision })
		for _, h := range s.history[from:] {
			if strings.HasPrefix(h.Key, x.op.Prefix) {
				changes = append(changes, h)
			}
		}
		if len(changes) == 0 && s.w.Now < x.ends {
			left = append(left, x)
			continue
		}
		x.answer(core.WatchResult{Outcome: core.OutcomeOK, Revision: s.revision, Changes: changes})
	}
	s.watches = left
}

func (s *Store) commit(node string, t core.Txn, answer func(core.Result)) {
	if s.away(node) {
		answer(core.CommitResult{Outcome: core.OutcomeNotSent})
		return
	}
	if lost, late := s.loses(node, t); lost {
		s.w.After(late, func() {
			if !s.away(node) {
				s.execute(node, t)
			}
		})
		return
	}
	answer(s.execute(node, t))
}

func (s *Store) execute(node string, t core.Txn) core.CommitResult {
	res := s.apply(t)
	for _, f := range s.OnExecuted {
		f(node, t, res)
	}
	return res
}

// loses says whether the reply to a transaction is lost, and how late it is applied.
func (s *Store) loses(node string, t core.Txn) (bool, time.Duration) {
	if s.Lose != nil {
		if lost, late := s.Lose(node, t); lost {
			return true, late
		}
	}
	return s.late.strikes(s.w)
}

func (s *Store) apply(t core.Txn) core.CommitResult {
	if len(t.Mutations) > s.w.Cfg.MaxTxnOps || len(t.Conditions) > 4*s.w.Cfg.MaxTxnOps {
		panic(fmt.Sprintf("transaction over the limit: %d changes, %d guards", len(t.Mutations), len(t.Conditions)))
	}
	s.expire()
	for _, a := range t.Mutations {
		if len(a.Value) > s.w.Cfg.MaxValueBytes {
			panic("value over the limit: " + a.Key)
		}
		if a.Lease != 0 && s.leases[a.Lease] == nil {
			return core.CommitResult{Outcome: core.OutcomeRefused, LeaseExpired: true}
		}
	}
	var failed []string
	for _, g := range t.Conditions {
		if s.rows[g.Key].revision != g.Revision {
			failed = append(failed, g.Key)
		}
	}
	if len(failed) > 0 {
		return core.CommitResult{Outcome: core.OutcomeRefused, FailedKeys: failed}
	}
	s.revision++
	for _, a := range t.Mutations {
		s.change(a.Key, a.Value, a.Lease)
		if strings.HasPrefix(a.Key, "quota/") {
			s.w.Log("%v store %s %s @%d", s.w.Now, a.Key, a.Value, s.revision)
		}
	}
	s.serve()
	return core.CommitResult{Outcome: core.OutcomeOK, Revision: s.revision}
}

func (s *Store) read(node, key string, answer func(core.Result)) {
	if s.SlowRead != nil {
		if d := s.SlowRead(node, key); d > 0 {
			s.w.After(d, func() { s.readNow(node, key, answer) })
			return
		}
	}
	s.readNow(node, key, answer)
}

func (s *Store) readNow(node, key string, answer func(core.Result)) {
	if s.away(node) {
		answer(core.ReadResult{Outcome: core.OutcomeNotSent})
		return
	}
	s.expire()
	r, ok := s.rows[key]
	answer(core.ReadResult{Outcome: core.OutcomeOK, Found: ok, Item: core.Item{Key: key, Value: r.value, Revision: r.revision}})
}

func (s *Store) list(node, prefix string, answer func(core.Result)) {
	if s.away(node) {
		answer(core.ListResult{Outcome: core.OutcomeNotSent})
		return
	}
	s.expire()
	res := core.ListResult{Outcome: core.OutcomeOK, Revision: s.revision}
	for k, r := range s.rows {
		if strings.HasPrefix(k, prefix) {
			res.Items = append(res.Items, core.Item{Key: k, Value: r.value, Revision: r.revision})
		}
	}
	sort.Slice(res.Items, func(i, j int) bool { return res.Items[i].Key < res.Items[j].Key })
	answer(res)
}

func (s *Store) watch(node string, op core.WatchKeys, answer func(core.Result)) {
	if s.away(node) {
		answer(core.WatchResult{Outcome: core.OutcomeNotSent})
		return
	}
	s.watches = append(s.watches, &openWatch{node, op, s.w.Now + op.Timeout, answer})
}

func (s *Store) grantLease(node string, life time.Duration, answer func(core.Result)) {
	if s.away(node) {
		answer(core.LeaseResult{Outcome: core.OutcomeNotSent})
		return
	}
	s.nextID++
	s.leases[s.nextID] = &lease{life, s.w.Now + life}
	answer(core.LeaseResult{Outcome: core.OutcomeOK, Lease: s.nextID})
}

func (s *Store) renewLease(node string, id uint64, answer func(core.Result)) {
	if s.away(node) {
		answer(core.RenewResult{Outcome: core.OutcomeNotSent})
		return
	}
	s.expire()
	l := s.leases[id]
	if l == nil {
		answer(core.RenewResult{Outcome: core.OutcomeRefused})
		return
	}
	l.ends = s.w.Now + l.life
	answer(core.RenewResult{Outcome: core.OutcomeOK})
}

// Cloud rents machines.
type Cloud struct {
	w       *World
	Types   []model.MachineType
	Room    map[string]int // machines left per "type/zone/spot"
	down    time.Duration
	granted map[string][]string
	next    int
	// LateRental, if set, delays a rental and loses its answer.
	LateRental func(op core.RentHosts) time.Duration
	// BootS, if set, gives each machine's boot time; negative: never up.
	BootS func(name string) float64
}

func newCloud(w *World) *Cloud {
	c := &Cloud{w: w, granted: map[string][]string{}, Room: map[string]int{},
		Types: []model.MachineType{
			{Name: "small", Capacity: model.Resources{Cores: 4, MemoryGB: 16}, CacheGB: 40, FetchGBPerSecond: 0.5, Price: 0.4, SpotPrice: 0.15, BootSeconds: 8, Zones: w.Cfg.Zones},
			{Name: "large", Capacity: model.Resources{Cores: 16, MemoryGB: 64}, CacheGB: 40, FetchGBPerSecond: 0.5, Price: 1.2, SpotPrice: 0.4, BootSeconds: 10, Zones: w.Cfg.Zones},
		}}
	for _, t := range c.Types {
		for _, z := range w.Cfg.Zones {
			c.Room[roomKey(t.Name, z, true)], c.Room[roomKey(t.Name, z, false)] = 2, 2
		}
	}
	return c
}

func roomKey(typ, zone string, spot bool) string { return fmt.Sprint(typ, "/", zone, "/", spot) }

// Outage refuses all calls for a while.
func (c *Cloud) Outage(d time.Duration) {
	c.w.extendFaults(d)
	c.down = c.w.Now + d
}

func (c *Cloud) away() bool { return c.w.Now < c.down }

func (c *Cloud) catalog(answer func(core.Result)) {
	if c.away() {
		answer(core.CatalogResult{Outcome: core.OutcomeNotSent})
		return
	}
	answer(core.CatalogResult{Outcome: core.OutcomeOK, Types: c.Types})
}

func (c *Cloud) handleRent(op core.RentHosts, answer func(core.Result)) {
	if c.away() {
		answer(core.RentResult{Outcome: core.OutcomeNotSent})
		return
	}
	if c.LateRental != nil {
		if d := c.LateRental(op); d > 0 {
			c.w.After(d, func() { c.rent(op) })
			return
		}
	}
	answer(c.rent(op))
}

func (c *Cloud) rent(op core.RentHosts) core.RentResult {
	if names, again := c.granted[op.Name]; again {
		return core.RentResult{Outcome: core.OutcomeOK, Hosts: names}
	}
	k := roomKey(op.Type, op.Zone, op.Spot)
	n := min(op.Count, c.Room[k])
	if n <= 0 {
		return core.RentResult{Outcome: core.OutcomeRefused}
	}
	c.Room[k] -= n
	var names []string
	for i := 0; i < n; i++ {
		names = append(names, c.add(op.Type, op.Zone, op.Spot))
	}
	c.granted[op.Name] = names
	return core.RentResult{Outcome: core.OutcomeOK, Hosts: names}
}

func (c *Cloud) add(typ, zone string, spot bool) string {
	name := fmt.Sprintf("vm-%06d", c.next)
	c.next++
	worker := newWorker(c.w, name, typ, zone, spot)
	c.w.Workers[name] = worker
	var boot float64
	for _, t := range c.Types {
		if t.Name == typ {
			boot = t.BootSeconds * (0.6 + 0.9*c.w.Rng.Float64())
		}
	}
	if c.BootS != nil {
		boot = c.BootS(name)
	}
	if boot >= 0 {
		c.w.After(time.Duration(boot*float64(time.Second)), worker.boot)
	}
	return name
}

func (c *Cloud) handleReturn(names []string, answer func(core.Result)) {
	if c.away() {
		answer(core.ReturnResult{Outcome: core.OutcomeNotSent})
		return
	}
	for _, n := range names {
		if k := c.w.Workers[n]; k != nil {
			c.Take(n)
		}
	}
	answer(core.ReturnResult{Outcome: core.OutcomeOK})
}

// Take removes a machine.
func (c *Cloud) Take(name string) {
	worker := c.w.Workers[name]
	if worker == nil || worker.deleted {
		return
	}
	worker.deleted = true
	worker.Die()
	c.Room[roomKey(worker.typ, worker.zone, worker.spot)]++
}

func (c *Cloud) list(answer func(core.Result)) {
	if c.away() {
		answer(core.HostsResult{Outcome: core.OutcomeNotSent})
		return
	}
	res := core.HostsResult{Outcome: core.OutcomeOK}
	lag := c.w.Cfg.ListLag
	for _, worker := range c.w.Workers {
		if worker.born > c.w.Now-lag || worker.deleted && worker.diedAt < c.w.Now-lag {
			continue
		}
		state := "running"
		if !worker.started {
			state = "booting"
		} else if worker.gone && worker.diedAt < c.w.Now-30*time.Second {
			state = "failed"
		}
		addr := ""
		if worker.started {
			addr = worker.name
		}
		res.Hosts = append(res.Hosts, model.ListedHost{Name: worker.name, Address: addr, Type: worker.typ, Zone: worker.zone, Spot: worker.spot,
			State: state, RentedSeconds: (c.w.Now - worker.born).Seconds()})
	}
	sort.Slice(res.Hosts, func(i, j int) bool { return res.Hosts[i].Name < res.Hosts[j].Name })
	answer(res)
}
