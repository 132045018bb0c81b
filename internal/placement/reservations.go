package placement

import (
	"slices"
	"time"

	"yuccalanding.example/yuccalanding/pkg/workload"
)

// reservation holds places for the members of a gang that several owners
// start together.
type reservation struct {
	key    workload.Key
	until  time.Time
	places []*runningTask
}

// forget drops a place whose worker was removed.
func (v *reservation) forget(place *runningTask) {
	v.places = slices.DeleteFunc(v.places, func(other *runningTask) bool { return other == place })
}

// Reserve holds room for up to count tasks like the given one until the given
// time and returns for how many it holds room. It is how a gang over several
// owners collects commitments. An earlier reservation under the key is dropped.
func (e *Engine) Reserve(now time.Time, key workload.Key, task Task, count int, until time.Time) int {
	e.lapseReservations(now)
	e.ReleaseReservation(key)
	if len(e.reservations) >= MaxReservations || !until.After(now) || malformed(&task) != "" {
		return 0
	}
	v := &reservation{key: key, until: until}
	for len(v.places) < count {
		r := e.newRunning(task, now)
		entitled, allowed := e.entitlement(r.kind, &r.demand, r.runTime)
		if !allowed {
			break
		}
		s := e.searchFor(now, &task, r.kind, r.runTime)
		w, besideHold := e.findEntitled(&s, entitled)
		if w == nil {
			break
		}
		r.reservation, r.usesSpare = v, besideHold
		e.occupy(w, r)
		v.places = append(v.places, r)
	}
	if len(v.places) > 0 {
		e.reservations = append(e.reservations, v)
	}
	return len(v.places)
}

// Confirm starts tasks in the room that was reserved under their key and drops
// the rest of the reservation. Without a reservation for all of them, it
// starts none and leaves the reservation as it is.
func (e *Engine) Confirm(now time.Time, key workload.Key, tasks []Task) []Decision {
	e.lapseReservations(now)
	v := e.reservationOf(key)
	if v == nil || len(tasks) == 0 {
		return nil
	}
	var usable []*runningTask
	for _, place := range v.places {
		name := place.worker.worker.Name
		if !place.worker.leaving && (e.options.Excluded == nil || !e.options.Excluded(name)) {
			usable = append(usable, place)
		}
	}
	if len(usable) < len(tasks) || !e.confirmable(now, usable[0], tasks) {
		return nil
	}
	e.ReleaseReservation(key)
	decisions := make([]Decision, 0, len(tasks))
	for i, task := range tasks {
		e.Cancel(task.ID)
		e.startOn(now, usable[i].worker, task, usable[i].usesSpare)
		decisions = append(decisions, Decision{Verb: VerbStart, Task: task, Worker: usable[i].worker.worker.Name})
	}
	return decisions
}

// confirmable reports whether each task is new here, in time, and no larger
// than a reserved place.
func (e *Engine) confirmable(now time.Time, place *runningTask, tasks []Task) bool {
	seen := make(map[TaskID]bool, len(tasks))
	for i := range tasks {
		task, demand := &tasks[i], taskDemand(&tasks[i])
		late := !task.StartBy.IsZero() && now.After(task.StartBy)
		if late || seen[task.ID] || e.place[task.ID] != nil || malformed(task) != "" || !demand.fits(&place.demand) {
			return false
		}
		seen[task.ID] = true
	}
	return true
}

// ReleaseReservation drops the reservation under the key.
func (e *Engine) ReleaseReservation(key workload.Key) {
	v := e.reservationOf(key)
	if v == nil {
		return
	}
	e.reservations = slices.DeleteFunc(e.reservations, func(other *reservation) bool { return other == v })
	for _, place := range v.places {
		e.vacate(place)
		e.roomFreed(place.worker)
	}
	v.places = nil
}

func (e *Engine) reservationOf(key workload.Key) *reservation {
	for _, v := range e.reservations {
		if v.key == key {
			return v
		}
	}
	return nil
}

// lapseReservations drops the reservations whose time has come.
func (e *Engine) lapseReservations(now time.Time) {
	for i := 0; i < len(e.reservations); {
		if v := e.reservations[i]; now.Before(v.until) {
			i++
		} else {
			e.ReleaseReservation(v.key)
		}
	}
}
