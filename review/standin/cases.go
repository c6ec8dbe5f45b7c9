package main

import "time"

// scenarios holds the cases by name.
var scenarios = map[string]scenario{
	"limit-of-cards":      {cardsSite, playCards},
	"taken-while-booting": {takenSite, playTaken},
	"sick-machine":        {sickSite, playSick},
}

func cardsSite() *site {
	s := studiekraft()
	s.teams[0]["gpus"], s.teams[0]["gpus_max"] = 8.0, 8.0
	g8 := frame{
		Label: "g8", Cores: 96, Cards: 8, MemoryGb: 768, LocalGb: 200, PullGbPerS: 1,
		Hourly: 12, LowPrice: 4.5, StartupS: 45, Beds: []string{"norrland"},
	}
	s.frames = append(s.frames, g8)
	p := pool{"g8", "norrland", false}
	s.free[p] = 6
	s.upAtTheStart = []pool{p, p}
	return s
}

// muteSpell is how long the machine of the case limit-of-cards reaches no controller.
const muteSpell = 15 * time.Second

// playCards has a job that uses all cards of its team cancelled while the leader changes and the
// machine of the job reaches no controller. Another job of the team waits for these cards.
func playCards(w *world, trouble bool) bool {
	first, second := cardsJob("job-000001"), cardsJob("job-000002")
	if !w.submit(first) || !w.until(20*time.Second, func() bool { return w.cardsInUse(first.Owner) == 8 }) {
		w.broken("the first job does not run")
		return false
	}
	if !w.submit(second) {
		return false
	}
	w.sleep(6 * time.Second)
	if len(w.startsOf(second.NameID)) > 0 {
		w.broken("the second job started beside the first")
		return false
	}
	most := make(chan float64)
	go func() { most <- w.mostCards(first.Owner, 30*time.Second) }()
	ok := w.cancelAcrossCrash(first, trouble)
	used := <-most
	w.rec.add("the tasks of %s used up to %v cards at a time; its limit is 8", first.Owner, used)
	if ok && len(w.startsOf(second.NameID)) == 0 {
		w.broken("the second job did not start")
	}
	return used <= 8
}

// cancelAcrossCrash cancels a job at a node that doesn't lead. With trouble, the leader ends before and
// is back 5 s after its end, and the machines of the job reach no controller for a while.
func (w *world) cancelAcrossCrash(j *job, trouble bool) bool {
	leader := w.leader()
	if trouble {
		for _, s := range w.startsOf(j.NameID) {
			w.setMuteFor(w.cloud.find(s.host), muteSpell)
		}
		w.sleep(500 * time.Millisecond)
		w.kill(leader)
	}
	if told := w.abort((leader+1)%len(w.nodes), j.NameID); told.IsZero() {
		w.broken("the cancellation was not confirmed")
		return false
	}
	if trouble {
		w.sleep(5 * time.Second)
		if err := w.run(w.nodes[leader]); err != nil {
			w.broken("restart: %v", err)
			return false
		}
	}
	return true
}

// setMuteFor lets a machine reach no controller for a time, unless it is in such a spell.
func (w *world) setMuteFor(m *machine, spell time.Duration) {
	m.agent.mu.Lock()
	already := m.agent.mute
	m.agent.mu.Unlock()
	if already {
		return
	}
	m.agent.setMute(true)
	time.AfterFunc(spell, func() { m.agent.setMute(false) })
}

// cardsJob returns the job of PROTOCOL's example, with eight tasks.
func cardsJob(id string) *job {
	j := newJob(id, "train", "antagning-00", 8, 8, 64, 90)
	j.Cards, j.Windfall = 1, false
	return j
}

// The two pools of cheap machines of the case taken-while-booting.
var (
	cheapGdynia = pool{"wezel-sredni", "gdynia", true}
	cheapGdansk = pool{"wezel-sredni", "gdansk", true}
)

func takenSite() *site {
	s := baltprom()
	s.upAtTheStart = []pool{cheapGdynia}
	return s
}

// playTaken has a job wait for a cheap machine of its zone, which the cloud takes back while it boots.
func playTaken(w *world, trouble bool) bool {
	// Work for the machine that is up, which keeps its zone in use.
	if !w.submit(newJob("job-000001", "taryfy", "planisci", 8, 2, 2.5, 40)) {
		return false
	}
	bound := newJob("job-000002", "zwroty", "finanse", 4, 2, 1.8, 5)
	zone := "gdansk"
	bound.Bed = &zone
	if !w.submit(bound) {
		return false
	}
	var m *machine
	if !w.until(20*time.Second, func() bool { m = w.cloud.newest(cheapGdansk); return m != nil }) {
		w.broken("no cheap machine was rented in gdansk")
		return false
	}
	if trouble {
		w.sleep(3 * time.Second)
		w.rec.add("cloud: takes back %s, which still boots: one of two cheap machines", m.name)
		w.cloud.end(m)
	}
	begun := w.until(92*time.Second, func() bool { return len(w.startsOf("job-000002")) > 0 })
	w.poll(0, "job-000001")
	w.poll(1, "job-000002")
	if trouble {
		return begun
	}
	return begun && w.doneWithin("job-000002", 40*time.Second)
}

// doneWithin reports whether a job is done within a time.
func (w *world) doneWithin(id string, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); {
		if w.poll(0, id).Phase == "done" {
			return true
		}
		if !w.sleep(3 * time.Second) {
			return false
		}
	}
	return false
}

func sickSite() *site {
	s := studiekraft()
	s.upAtTheStart = []pool{{"nod-sexton", "norrland", true}}
	return s
}

// sickSpell is how long the machine of the case sick-machine fails what it starts.
const sickSpell = 8 * time.Second

// playSick has the only machine in use fail the tasks of a job for some seconds. Afterwards the
// machine is sound, and has room for the job until the end.
func playSick(w *world, trouble bool) bool {
	m := w.cloud.newest(w.site.upAtTheStart[0])
	if trouble {
		m.agent.setSick(true)
	}
	j := newJob("job-000001", "merit", "antagning-00", 4, 1, 6.6, 5)
	if !w.submit(j) {
		return false
	}
	if !trouble {
		return w.doneWithin(j.NameID, 60*time.Second)
	}
	w.sleep(sickSpell)
	m.agent.setSick(false)
	sound := time.Now()
	before := len(w.startsOf(j.NameID))
	if before == 0 {
		w.broken("no task started while the machine was sick")
		return false
	}
	waited := !w.until(91*time.Second, func() bool {
		cores, up := m.agent.room()
		if !up || cores < j.Cores*float64(j.Shoots) {
			w.broken("the machine had no room all the time")
			return true
		}
		return len(w.startsOf(j.NameID)) > before
	})
	state := w.poll(1, j.NameID)
	w.rec.add("since the machine is sound (%.2f), the job got %d starts", w.rec.since(sound),
		len(w.startsOf(j.NameID))-before)
	return !waited || state.Phase == "done"
}
