package peer

import (
	"encoding/json"
	"fmt"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/loan"
)

// LoanRequestToProto converts the loan entries of a home cell to a LoanRequest.
func LoanRequestToProto(req *loan.Request) (*LoanRequest, error) {
	out := &LoanRequest{Home: req.Home, Term: req.Term}
	for _, e := range req.Entries {
		entry := &LoanEntry{Job: e.Job, Epoch: uint64(e.Epoch), Want: uint32(e.Desired)}
		if e.Offer != nil {
			spec, err := json.Marshal(e.Offer.Spec)
			if err != nil {
				return nil, fmt.Errorf("encode spec of loan %s: %w", e.Job, err)
			}
			entry.Offer = &LoanOffer{
				Spec:      spec,
				GrantCpus: e.Offer.Budget.CPUs,
				GrantGpus: e.Offer.Budget.GPUs,
				SinceMs:   e.Offer.Since.UnixMilli(),
			}
		}
		out.Entries = append(out.Entries, entry)
	}
	return out, nil
}

// ToLoanRequest is the inverse of LoanRequestToProto.
func (r *LoanRequest) ToLoanRequest() (*loan.Request, error) {
	out := &loan.Request{Home: r.Home, Term: r.Term}
	for _, e := range r.Entries {
		entry := loan.Entry{Job: e.Job, Epoch: loan.Epoch(e.Epoch), Desired: loan.DesiredState(e.Want)}
		if o := e.Offer; o != nil {
			entry.Offer = &loan.Offer{
				Budget: loan.Budget{CPUs: o.GrantCpus, GPUs: o.GrantGpus},
				Since:  time.UnixMilli(o.SinceMs).UTC(),
			}
			if err := json.Unmarshal(o.Spec, &entry.Offer.Spec); err != nil {
				return nil, fmt.Errorf("loan of %s: %w", e.Job, err)
			}
		}
		out.Entries = append(out.Entries, entry)
	}
	return out, nil
}

// LoanResponseToProto converts a host's response to a LoanAnswer.
func LoanResponseToProto(a *loan.Response) *LoanAnswer {
	advert := &LoanAdvert{
		Accepting: a.Advert.Accepting,
		Cpus:      a.Advert.CPUs,
		Gpus:      a.Advert.GPUs,
		CancelS:   a.Advert.CancelS,
	}
	for _, t := range a.Advert.Types {
		advert.Types = append(advert.Types, &LoanMachineType{
			Name:     t.Name,
			Cpus:     t.CPUs,
			Gpus:     t.GPUs,
			MemoryGb: t.MemoryGB,
			Zones:    t.Zones,
			FetchGbs: t.FetchGBs,
		})
	}
	out := &LoanAnswer{Host: a.Host, Term: a.Term, Refused: a.Refused, Advert: advert}
	for _, s := range a.States {
		state := &LoanState{
			Job:     s.Job,
			Epoch:   uint64(s.Epoch),
			Phase:   uint32(s.Phase),
			Done:    uint32(s.Done),
			Running: uint32(s.Running),
			Held:    s.Pending,
			Reason:  s.Reason,

			RunningUnknown: s.RunningUnknown,
		}
		if !s.Ended.IsZero() {
			state.EndedMs = s.Ended.UnixMilli()
		}
		out.States = append(out.States, state)
	}
	return out
}

// ToLoanResponse is the inverse of LoanResponseToProto.
func (a *LoanAnswer) ToLoanResponse() *loan.Response {
	in := a.GetAdvert()
	advert := loan.Advert{
		Accepting: in.GetAccepting(),
		CPUs:      in.GetCpus(),
		GPUs:      in.GetGpus(),
		CancelS:   in.GetCancelS(),
	}
	for _, t := range in.GetTypes() {
		advert.Types = append(advert.Types, api.MachineType{
			Name:     t.Name,
			CPUs:     t.Cpus,
			GPUs:     t.Gpus,
			MemoryGB: t.MemoryGb,
			Zones:    t.Zones,
			FetchGBs: t.FetchGbs,
		})
	}
	out := &loan.Response{Host: a.Host, Term: a.Term, Refused: a.Refused, Advert: advert}
	for _, s := range a.States {
		state := loan.State{
			Job:     s.Job,
			Epoch:   loan.Epoch(s.Epoch),
			Phase:   loan.Phase(s.Phase),
			Done:    int(s.Done),
			Running: int(s.Running),
			Pending: s.Held,
			Reason:  s.Reason,

			RunningUnknown: s.RunningUnknown,
		}
		if s.EndedMs != 0 {
			state.Ended = time.UnixMilli(s.EndedMs).UTC()
		}
		out.States = append(out.States, state)
	}
	return out
}
