package controller

import (
	"time"
)

// The following types are the records of the version in production, the first version with which later
// ones must work in one cluster. They have only the fields that a scripted node needs; the golden tests
// have all of them. Other fields of a record are ignored, as they are by that version.

// oldSpec is the specification of a job.
type oldSpec struct {
	ID        string  `json:"NameId"`
	Class     string  `json:"Jobclass"`
	Team      string  `json:"Owner"`
	Shape     string  `json:"Shape"`
	Priority  string  `json:"Precedence"`
	Tasks     int     `json:"Shoots"`
	CPUs      float64 `json:"Cores"`
	GPUs      float64 `json:"Cards"`
	MemoryGB  float64 `json:"MemoryGb"`
	Image     string  `json:"Rootstock"`
	ImageGB   float64 `json:"PullGb"`
	Spot      bool    `json:"Windfall,omitempty"`
	EstimateS float64 `json:"ExpectS"`
}

// oldActiveRecord is the record of an active job, under a/.
type oldActiveRecord struct {
	Spec     oldSpec   `json:"spec"`
	Accepted time.Time `json:"accepted"`
}

// oldTerminalRecord is the record of a job in a final phase, under f/.
type oldTerminalRecord struct {
	Phase string `json:"phase"`
	Tasks int    `json:"tasks"`
}

// oldCompletionRecord is a bitmap of the done tasks of a job, under p/. The key names the task of the
// first bit.
type oldCompletionRecord struct {
	Done []byte `json:"done"`
}

// oldShard is a part of the registry of machines, under m/.
type oldShard struct {
	Machines []oldMachineRecord `json:"machines"`
}

// oldMachineRecord is one machine of a shard.
type oldMachineRecord struct {
	Name     string  `json:"name"`
	Addr     string  `json:"addr"`
	Type     string  `json:"type"`
	Zone     string  `json:"zone"`
	Spot     bool    `json:"spot"`
	CPUs     float64 `json:"cpus"`
	GPUs     float64 `json:"gpus"`
	MemoryGB float64 `json:"memory_gb"`
}

// oldLeaseExtension lists the machines whose leases a follower renews on behalf of the leader, under
// keep/.
type oldLeaseExtension struct {
	Term  uint64   `json:"term"`
	Hosts []string `json:"hosts"`
}

// oldLeaderRecord is the value of the leader key.
type oldLeaderRecord struct {
	Node        string `json:"node"`
	Incarnation string `json:"incarnation"`
}

// oldTerm is the value of the term key.
type oldTerm struct {
	Number uint64 `json:"number"`
}

// oldPart is one record of a relayed batch, under relay/.
type oldPart struct {
	Batch uint64 `json:"batch"`
	Index int    `json:"index"`
	Of    int    `json:"of"`
	Data  []byte `json:"data"`
}
