package main

import "time"

// scenarios holds the cases by name.
var scenarios = map[string]scenario{
	"taken-while-booting": {takenSite, playTaken},
	"sick-machine":        {sickSite, playSick},
	"start-after-cancel":  {cutSite, playCut},
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

func cutSite() *site {
	s := baltprom()
	for range 2 {
		s.upAtTheStart = append(s.upAtTheStart,
			pool{"wezel-sredni", "gdynia", false}, pool{"wezel-sredni", "gdansk", false})
	}
	return s
}

// answerInFlight is how long after the user was told a start still counts as in flight: the report
// that asked for it may have been on its way.
const answerInFlight = 500 * time.Millisecond

// playCut cuts the leader from the state service and the other controllers while a job is cancelled
// at another node. The workers still reach the leader.
func playCut(w *world, trouble bool) bool {
	j := newJob("job-000001", "archiwum", "raporty", 306, 1, 1.9, 15)
	j.vary = 0.5
	if !w.submit(j) {
		return false
	}
	// The first tasks end one after another, and others follow them.
	if !w.until(40*time.Second, func() bool { return len(w.startsOf(j.NameID)) > 160 }) {
		w.broken("the job did not get far")
		return false
	}
	leader := w.leader()
	if trouble {
		w.rec.add("%s is cut from the state service and the other controllers", w.nodes[leader].name)
		w.nodes[leader].state.set(true)
		w.nodes[leader].peers.set(true)
	}
	told := w.abort((leader+1)%len(w.nodes), j.NameID)
	if told.IsZero() {
		w.broken("the cancellation was not confirmed")
		return false
	}
	w.sleep(15 * time.Second)
	w.nodes[leader].state.set(false)
	w.nodes[leader].peers.set(false)
	late := 0
	for _, s := range w.startsOf(j.NameID) {
		if s.asked.After(told.Add(answerInFlight)) {
			late++
		}
	}
	w.rec.add("told at %.2f; %d starts of the cancelled job were asked for more than %v later",
		w.rec.since(told), late, answerInFlight)
	return late == 0
}
