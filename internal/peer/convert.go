package peer

import "example.org/ivytrestle/internal/api"

// PackReport makes a message of a machine's report.
func PackReport(hb *api.Heartbeat) *Report {
	r := &Report{Machine: hb.Machine, Addr: hb.Addr, Type: hb.Type, Zone: hb.Zone, Spot: hb.Spot,
		Session: hb.AgentEpoch, Seq: hb.Seq, Term: hb.Term, NoticeS: hb.PreemptionNoticeS, Tasks: make([]*TaskReport, len(hb.Tasks))}
	for i, t := range hb.Tasks {
		r.Tasks[i] = &TaskReport{Task: t.Task, Attempt: t.Attempt, Phase: t.Phase, Cause: t.Cause, Saved: t.Saved}
	}
	return r
}

// Unpack is the reverse of PackReport.
func (r *Report) Unpack() *api.Heartbeat {
	hb := &api.Heartbeat{Machine: r.Machine, Addr: r.Addr, Type: r.Type, Zone: r.Zone, Spot: r.Spot,
		AgentEpoch: r.Session, Seq: r.Seq, Term: r.Term, PreemptionNoticeS: r.NoticeS, Tasks: make([]api.TaskStatus, len(r.Tasks))}
	for i, t := range r.Tasks {
		hb.Tasks[i] = api.TaskStatus{Task: t.Task, Attempt: t.Attempt, Phase: t.Phase, Cause: t.Cause, Saved: t.Saved}
	}
	return hb
}

// PackOrders makes messages of orders.
func PackOrders(orders []api.Command) []*Order {
	out := make([]*Order, len(orders))
	for i, o := range orders {
		out[i] = &Order{Verb: o.Verb, Task: o.Task, Attempt: o.Attempt, GraceS: o.GraceS}
	}
	return out
}

// UnpackOrders is the reverse of PackOrders.
func UnpackOrders(orders []*Order) []api.Command {
	out := make([]api.Command, len(orders))
	for i, o := range orders {
		out[i] = api.Command{Verb: o.Verb, Task: o.Task, Attempt: o.Attempt, GraceS: o.GraceS}
	}
	return out
}
