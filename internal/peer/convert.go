package peer

import "example.org/ivytrestle/internal/api"

// PackReport makes a message of a machine's report.
func PackReport(rep *api.Heartbeat) *Report {
	r := &Report{Machine: rep.Machine, Addr: rep.Addr, Type: rep.Type, Zone: rep.Zone, Spot: rep.Spot,
		Session: rep.AgentEpoch, Seq: rep.Seq, Term: rep.Term, NoticeS: rep.PreemptionNoticeS, Tasks: make([]*TaskReport, len(rep.Tasks))}
	for i, t := range rep.Tasks {
		r.Tasks[i] = &TaskReport{Task: t.Task, Attempt: t.Attempt, Phase: t.Phase, Cause: t.Cause, Saved: t.Saved}
	}
	return r
}

// Unpack is the reverse of PackReport.
func (r *Report) Unpack() *api.Heartbeat {
	rep := &api.Heartbeat{Machine: r.Machine, Addr: r.Addr, Type: r.Type, Zone: r.Zone, Spot: r.Spot,
		AgentEpoch: r.Session, Seq: r.Seq, Term: r.Term, PreemptionNoticeS: r.NoticeS, Tasks: make([]api.TaskStatus, len(r.Tasks))}
	for i, t := range r.Tasks {
		rep.Tasks[i] = api.TaskStatus{Task: t.Task, Attempt: t.Attempt, Phase: t.Phase, Cause: t.Cause, Saved: t.Saved}
	}
	return rep
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
