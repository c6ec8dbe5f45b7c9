package peer

import (
	"encoding/json"
	"fmt"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/loan"
)

// PackLoanRequest makes a message of what a home cell says of its loans.
func PackLoanRequest(req *loan.Request) (*LoanRequest, error) {
	out := &LoanRequest{Home: req.Home, Term: req.Term}
	for _, e := range req.Entries {
		entry := &LoanEntry{Job: e.Job, Epoch: uint64(e.Epoch), Want: uint32(e.Desired)}
		if e.Offer != nil {
			spec, err := json.Marshal(e.Offer.Spec)
			if err != nil {
				return nil, fmt.Errorf("loan of %s: %w", e.Job, err)
			}
			entry.Offer = &LoanOffer{Spec: spec, GrantCpus: e.Offer.Budget.CPUs, GrantGpus: e.Offer.Budget.GPUs, SinceMs: e.Offer.Since.UnixMilli()}
		}
		out.Entries = append(out.Entries, entry)
	}
	return out, nil
}

// Unpack is the reverse of PackLoanRequest.
func (r *LoanRequest) Unpack() (*loan.Request, error) {
	out := &loan.Request{Home: r.Home, Term: r.Term}
	for _, e := range r.Entries {
		entry := loan.Entry{Job: e.Job, Epoch: loan.Epoch(e.Epoch), Desired: loan.DesiredState(e.Want)}
		if o := e.Offer; o != nil {
			entry.Offer = &loan.Offer{Budget: loan.Budget{CPUs: o.GrantCpus, GPUs: o.GrantGpus}, Since: time.UnixMilli(o.SinceMs).UTC()}
			if err := json.Unmarshal(o.Spec, &entry.Offer.Spec); err != nil {
				return nil, fmt.Errorf("loan of %s: %w", e.Job, err)
			}
		}
		out.Entries = append(out.Entries, entry)
	}
	return out, nil
}

// PackLoanAnswer makes a message of how loans stand at their host.
func PackLoanAnswer(a *loan.Response) *LoanAnswer {
	out := &LoanAnswer{Host: a.Host, Term: a.Term, Refused: a.Refused,
		Advert: &LoanAdvert{Accepting: a.Advert.Accepting, Cpus: a.Advert.CPUs, Gpus: a.Advert.GPUs, CancelS: a.Advert.CancelS}}
	for _, t := range a.Advert.Types {
		out.Advert.Types = append(out.Advert.Types, &LoanMachineType{Name: t.Name, Cpus: t.CPUs, Gpus: t.GPUs, MemoryGb: t.MemoryGB, Zones: t.Zones, FetchGbs: t.FetchGBs})
	}
	for _, s := range a.States {
		state := &LoanState{Job: s.Job, Epoch: uint64(s.Epoch), Phase: uint32(s.Phase), Done: uint32(s.Done), Running: uint32(s.Running), Held: s.Pending, Reason: s.Reason}
		if !s.Ended.IsZero() {
			state.EndedMs = s.Ended.UnixMilli()
		}
		out.States = append(out.States, state)
	}
	return out
}

// Unpack is the reverse of PackLoanAnswer.
func (a *LoanAnswer) Unpack() *loan.Response {
	advert := a.GetAdvert()
	out := &loan.Response{Host: a.Host, Term: a.Term, Refused: a.Refused,
		Advert: loan.Advert{Accepting: advert.GetAccepting(), CPUs: advert.GetCpus(), GPUs: advert.GetGpus(), CancelS: advert.GetCancelS()}}
	for _, t := range advert.GetTypes() {
		out.Advert.Types = append(out.Advert.Types, api.MachineType{Name: t.Name, CPUs: t.Cpus, GPUs: t.Gpus, MemoryGB: t.MemoryGb, Zones: t.Zones, FetchGBs: t.FetchGbs})
	}
	for _, s := range a.States {
		state := loan.State{Job: s.Job, Epoch: loan.Epoch(s.Epoch), Phase: loan.Phase(s.Phase), Done: int(s.Done), Running: int(s.Running), Pending: s.Held, Reason: s.Reason}
		if s.EndedMs != 0 {
			state.Ended = time.UnixMilli(s.EndedMs).UTC()
		}
		out.States = append(out.States, state)
	}
	return out
}
