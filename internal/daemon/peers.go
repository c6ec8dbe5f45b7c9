package daemon

import (
	"context"
	"errors"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/controller"
	"example.org/ivytrestle/internal/peer"
)

// peerHandler answers other nodes' questions from the controller.
type peerHandler struct{ c *controller.Controller }

// peerWait bounds what another node waits for here.
const peerWait = 1200 * time.Millisecond

// Job implements peer.Handler.
func (h peerHandler) Job(ctx context.Context, id string) (*peer.JobStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, peerWait)
	defer cancel()
	st, err := h.c.PeerJob(ctx, id)
	if errors.Is(err, api.ErrUnknownJob) {
		return &peer.JobStatus{}, nil
	}
	if err != nil {
		return nil, err
	}
	return &peer.JobStatus{Known: true, Phase: st.Phase, Done: uint32(st.Done), Running: uint32(st.Running)}, nil
}

// Ping implements peer.Handler.
func (h peerHandler) Ping(ctx context.Context) (*peer.Pong, error) {
	ctx, cancel := context.WithTimeout(ctx, peerWait)
	defer cancel()
	st, err := h.c.Standing(ctx)
	if err != nil {
		return nil, err
	}
	return &peer.Pong{Term: st.Term, Leader: st.Leader, StoreOkMs: uint64(st.StoreOK.Milliseconds())}, nil
}

// Report implements peer.Handler.
func (h peerHandler) Report(ctx context.Context, r *peer.Report) (*peer.ReportAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, peerWait)
	defer cancel()
	rep := &api.Report{Machine: r.Machine, Addr: r.Addr, Type: r.Type, Zone: r.Zone, Spot: r.Spot,
		Session: r.Session, Seq: r.Seq, Term: r.Term, NoticeS: r.NoticeS, Tasks: make([]api.TaskReport, len(r.Tasks))}
	for i, t := range r.Tasks {
		rep.Tasks[i] = api.TaskReport{Task: t.Task, Attempt: t.Attempt, Phase: t.Phase, Cause: t.Cause, Saved: t.Saved}
	}
	ans, err := h.c.PassedReport(ctx, rep)
	if err != nil {
		return nil, err
	}
	out := &peer.ReportAnswer{Term: ans.Term, Orders: make([]*peer.Order, len(ans.Orders))}
	for i, o := range ans.Orders {
		out.Orders[i] = &peer.Order{Verb: o.Verb, Task: o.Task, Attempt: o.Attempt, GraceS: o.GraceS}
	}
	return out, nil
}

// Resigned implements peer.Handler.
func (h peerHandler) Resigned(ctx context.Context, r *peer.Resignation) error {
	return h.c.LeaderResigned(ctx, r.Node, r.Term)
}

// peers asks the other nodes.
type peers map[string]*peer.Client

func newPeers(list []config.Peer) peers {
	p := peers{}
	for _, n := range list {
		p[n.Node] = peer.NewClient(n.Addr)
	}
	return p
}

// Job implements controller.PeerAsker.
func (p peers) Job(ctx context.Context, node, id string) (api.JobState, error) {
	cl := p[node]
	if cl == nil {
		return api.JobState{}, api.ErrUnavailable
	}
	st, err := cl.Job(ctx, id)
	if err != nil {
		return api.JobState{}, err
	}
	if !st.Known {
		return api.JobState{}, api.ErrUnknownJob
	}
	return api.JobState{ID: id, Phase: st.Phase, Done: int(st.Done), Running: int(st.Running)}, nil
}

// Ping implements controller.PeerAsker.
func (p peers) Ping(ctx context.Context, node string) (controller.Standing, error) {
	cl := p[node]
	if cl == nil {
		return controller.Standing{}, api.ErrUnavailable
	}
	st, err := cl.Ping(ctx)
	if err != nil {
		return controller.Standing{}, err
	}
	return controller.Standing{Term: st.Term, Leader: st.Leader, StoreOK: time.Duration(st.StoreOkMs) * time.Millisecond}, nil
}

// Report implements controller.PeerAsker.
func (p peers) Report(ctx context.Context, node string, rep *api.Report) (api.ReportAnswer, error) {
	cl := p[node]
	if cl == nil {
		return api.ReportAnswer{}, api.ErrUnavailable
	}
	r := &peer.Report{Machine: rep.Machine, Addr: rep.Addr, Type: rep.Type, Zone: rep.Zone, Spot: rep.Spot,
		Session: rep.Session, Seq: rep.Seq, Term: rep.Term, NoticeS: rep.NoticeS, Tasks: make([]*peer.TaskReport, len(rep.Tasks))}
	for i, t := range rep.Tasks {
		r.Tasks[i] = &peer.TaskReport{Task: t.Task, Attempt: t.Attempt, Phase: t.Phase, Cause: t.Cause, Saved: t.Saved}
	}
	ans, err := cl.Report(ctx, r)
	if errors.Is(err, peer.ErrRefused) {
		return api.ReportAnswer{}, controller.ErrRefused
	}
	if errors.Is(err, peer.ErrUnable) {
		return api.ReportAnswer{}, &api.NotLeaderError{}
	}
	if err != nil {
		return api.ReportAnswer{}, err
	}
	out := api.ReportAnswer{Term: ans.Term, Orders: make([]api.Order, len(ans.Orders))}
	for i, o := range ans.Orders {
		out.Orders[i] = api.Order{Verb: o.Verb, Task: o.Task, Attempt: o.Attempt, GraceS: o.GraceS}
	}
	return out, nil
}

// Resign implements controller.PeerAsker.
func (p peers) Resign(ctx context.Context, node, self string, term uint64) error {
	cl := p[node]
	if cl == nil {
		return api.ErrUnavailable
	}
	return cl.Resign(ctx, &peer.Resignation{Node: self, Term: term})
}
