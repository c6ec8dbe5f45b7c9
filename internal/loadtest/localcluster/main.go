// Localcluster simulates the environment of a controller on the loopback interface: a key-value
// store, a cloud and the machines that the cloud launches. It writes a settings file for one
// controller, so that ivytrestle can be tried on a single computer.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/loadtest"
)

const (
	zone = "local"
	// countsInterval is how often the counts of events are printed.
	countsInterval = 10 * time.Second
	// leaseIntervals is the number of heartbeat intervals of a task lease, if that is more than
	// minLease.
	leaseIntervals = 5
	minLease       = 10 * time.Second
	// maxCancelTime is the time within which a cancellation must take effect, beyond a lease.
	maxCancelTime = 20 * time.Second
)

type cli struct {
	Settings string        `arg:"" help:"The settings file to write."`
	API      string        `default:"127.0.0.1:8080" placeholder:"HOST:PORT" help:"Address for users and machines."`
	Peers    string        `default:"127.0.0.1:8081" placeholder:"HOST:PORT" help:"Address for other controllers."`
	Machines int           `default:"4" help:"How many machines the cloud has."`
	TaskTime time.Duration `default:"5s" help:"About how long each task runs."`

	HeartbeatInterval time.Duration   `default:"1s" help:"The heartbeat interval; above 2s, starts are sent directly."`
	CopyDelays        []time.Duration `help:"After which times a copy of each command batch arrives again."`
}

// Run starts the simulation and writes the settings file. It returns only if this fails.
func (c *cli) Run() error {
	settings := c.settings()
	machineType := api.MachineType{
		Name:      "local-16",
		CPUs:      16,
		MemoryGB:  64,
		CacheGB:   80,
		FetchGBs:  1,
		Price:     1,
		SpotPrice: 0.4,
		BootS:     2,
		Zones:     []string{zone},
	}
	env, err := loadtest.NewLaunching(machineType, c.Machines, loadtest.Plan{
		API:               c.API,
		HeartbeatInterval: settings.Site.Workers.HeartbeatInterval(),
		TaskDuration:      c.TaskTime,
		CopyDelays:        c.CopyDelays,
	})
	if err != nil {
		return err
	}
	settings.Services = config.Services{Cloud: env.CloudAddr, State: env.KVAddr}
	raw, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(c.Settings, append(raw, '\n'), 0o644); err != nil {
		return err
	}
	fmt.Printf("controller settings written to %s; interrupt to stop the simulation\n", c.Settings)
	for range time.Tick(countsInterval) {
		fmt.Printf("%+v\n", env.Counts())
	}
	return nil
}

// settings returns the settings of a single controller, without the addresses of the simulated
// services.
func (c *cli) settings() config.Settings {
	lease := max(minLease, leaseIntervals*c.HeartbeatInterval)
	return config.Settings{
		Node:       "local-0",
		Zone:       zone,
		APIAddr:    c.API,
		PeerListen: c.Peers,
		Site: config.SiteInfo{
			Teams: []config.Team{{Name: "demo", CPUs: 16, LimitCPUs: 64}},
			Workers: config.Workers{
				HeartbeatS: c.HeartbeatInterval.Seconds(),
				LeaseS:     lease.Seconds(),
				CancelS:    (lease + maxCancelTime).Seconds(),
			},
			State:  config.KVLimits{RPS: 80, WriteRPS: 25, ValueKB: 16, TxnOps: 20},
			Cloud:  config.CloudLimits{RPS: 5, ListLagS: 4},
			Limits: config.Limits{Cores: 1, RAMMB: 98, FDLimit: 800},
		},
	}
}

func main() {
	k := kong.Parse(&cli{},
		kong.Name("localcluster"),
		kong.Description("Simulates a cloud, a key-value store and machines on this computer."))
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "localcluster:", err)
		os.Exit(1)
	}
}
