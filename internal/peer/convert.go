package peer

import "example.org/ivytrestle/internal/api"

// PackReport converts a heartbeat to its message.
func PackReport(hb *api.Heartbeat) *Report {
	r := &Report{
		Machine: hb.Machine,
		Addr:    hb.Addr,
		Type:    hb.Type,
		Zone:    hb.Zone,
		Spot:    hb.Spot,
		Session: hb.AgentEpoch,
		Seq:     hb.Seq,
		Term:    hb.Term,
		NoticeS: hb.PreemptionNoticeS,
		Tasks:   make([]*TaskReport, len(hb.Tasks)),
	}
	for i, t := range hb.Tasks {
		r.Tasks[i] = &TaskReport{Task: t.Task, Attempt: t.Attempt, Phase: t.Phase, Cause: t.Cause, Saved: t.Saved}
	}
	return r
}

// Unpack is the inverse of PackReport.
func (r *Report) Unpack() *api.Heartbeat {
	hb := &api.Heartbeat{
		Machine:           r.Machine,
		Addr:              r.Addr,
		Type:              r.Type,
		Zone:              r.Zone,
		Spot:              r.Spot,
		AgentEpoch:        r.Session,
		Seq:               r.Seq,
		Term:              r.Term,
		PreemptionNoticeS: r.NoticeS,
		Tasks:             make([]api.TaskStatus, len(r.Tasks)),
	}
	for i, t := range r.Tasks {
		hb.Tasks[i] = api.TaskStatus{Task: t.Task, Attempt: t.Attempt, Phase: t.Phase, Cause: t.Cause, Saved: t.Saved}
	}
	return hb
}

// PackOrders converts commands to their messages.
func PackOrders(commands []api.Command) []*Order {
	out := make([]*Order, len(commands))
	for i, c := range commands {
		out[i] = &Order{Verb: c.Verb, Task: c.Task, Attempt: c.Attempt, GraceS: c.GraceS}
	}
	return out
}

// UnpackOrders is the inverse of PackOrders.
func UnpackOrders(orders []*Order) []api.Command {
	out := make([]api.Command, len(orders))
	for i, o := range orders {
		out[i] = api.Command{Verb: o.Verb, Task: o.Task, Attempt: o.Attempt, GraceS: o.GraceS}
	}
	return out
}
