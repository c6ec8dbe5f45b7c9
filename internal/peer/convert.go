package peer

import "example.org/ivytrestle/internal/api"

// HeartbeatToProto converts a heartbeat to a Report.
func HeartbeatToProto(hb *api.Heartbeat) *Report {
	r := &Report{
		Machine: hb.Machine,
		Addr:    hb.Addr,
		Type:    hb.Type,
		Zone:    hb.Zone,
		Spot:    hb.Spot,
		Session: hb.AgentEpoch,
		Seq:     hb.Seq,
		Term:    hb.Token,
		NoticeS: hb.PreemptionNoticeS,
		Tasks:   make([]*TaskReport, len(hb.Tasks)),
	}
	for i, t := range hb.Tasks {
		r.Tasks[i] = &TaskReport{Task: t.Task, Attempt: t.Attempt, Phase: t.Phase, Cause: t.Cause, Saved: t.Saved}
	}
	return r
}

// ToHeartbeat is the inverse of HeartbeatToProto.
func (r *Report) ToHeartbeat() *api.Heartbeat {
	hb := &api.Heartbeat{
		Machine:           r.Machine,
		Addr:              r.Addr,
		Type:              r.Type,
		Zone:              r.Zone,
		Spot:              r.Spot,
		AgentEpoch:        r.Session,
		Seq:               r.Seq,
		Token:             r.Term,
		PreemptionNoticeS: r.NoticeS,
		Tasks:             make([]api.TaskStatus, len(r.Tasks)),
	}
	for i, t := range r.Tasks {
		hb.Tasks[i] = api.TaskStatus{Task: t.Task, Attempt: t.Attempt, Phase: t.Phase, Cause: t.Cause, Saved: t.Saved}
	}
	return hb
}

// CommandsToProto converts commands to Orders.
func CommandsToProto(commands []api.Command) []*Order {
	out := make([]*Order, len(commands))
	for i, c := range commands {
		out[i] = &Order{Verb: c.Verb, Task: c.Task, Attempt: c.Attempt, GraceS: c.GraceS}
	}
	return out
}

// CommandsFromProto is the inverse of CommandsToProto.
func CommandsFromProto(orders []*Order) []api.Command {
	out := make([]api.Command, len(orders))
	for i, o := range orders {
		out[i] = api.Command{Verb: o.Verb, Task: o.Task, Attempt: o.Attempt, GraceS: o.GraceS}
	}
	return out
}
