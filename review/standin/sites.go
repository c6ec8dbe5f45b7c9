package main

// team returns the settings of a team without GPUs.
func team(name string, cpus, cpusMax float64) map[string]any {
	return map[string]any{"name": name, "cpus": cpus, "cpus_max": cpusMax, "gpus": 0.0, "gpus_max": 0.0}
}

// studiekraft returns the settings of the first deployment, as BRIEF and DEPLOY give them, with one
// machine up at the start.
func studiekraft() *site {
	s := &site{
		zones:   []string{"norrland"},
		reportS: 3, leaseS: 24, cancelS: 49,
		state:    map[string]any{"rps": 80.0, "write_rps": 25.0, "value_kb": 16.0, "txn_ops": 20},
		cloudRPS: 5, listLagS: 8,
		limits:     map[string]any{"cores": 0.06, "ram_mb": 98.0, "fd_limit": 800},
		clockOffMs: 250,
		objectives: []map[string]any{
			{"kind": "deadline", "class": "merit", "share": 0.95, "times": 1.0},
			{"kind": "finished", "class": "betyg", "within_s": 90.0, "share": 0.85},
			{"kind": "guarantee", "within_s": 10.0, "share": 0.93},
		},
		frames: []frame{{
			Label: "nod-sexton", Cores: 16, MemoryGb: 128, LocalGb: 80, PullGbPerS: 1,
			Hourly: 0.84, LowPrice: 0.37, StartupS: 25, Beds: []string{"norrland"},
		}},
		free: map[pool]int{{"nod-sexton", "norrland", false}: 18, {"nod-sexton", "norrland", true}: 10},
	}
	for _, name := range []string{"antagning-00", "antagning-01", "antagning-02"} {
		s.teams = append(s.teams, team(name, 72, 224))
	}
	return s
}

// baltprom returns the settings of the second deployment, as BRIEF gives them.
func baltprom() *site {
	return &site{
		zones:   []string{"gdynia", "gdansk"},
		reportS: 1, leaseS: 10, cancelS: 30,
		state:    map[string]any{"rps": 120.0, "write_rps": 25.0, "value_kb": 8.0, "txn_ops": 12},
		cloudRPS: 5, listLagS: 4,
		limits:     map[string]any{"cores": 0.18, "ram_mb": 98.0, "fd_limit": 800},
		clockOffMs: 25,
		teams: []map[string]any{
			team("sprzedaz", 176, 440), team("planisci", 128, 440), team("finanse", 176, 368),
			team("port", 144, 512), team("poklad", 120, 440), team("raporty", 176, 584),
		},
		objectives: []map[string]any{
			{"kind": "deadline", "class": "taryfy", "share": 0.95, "times": 1.0},
			{"kind": "finished", "class": "zwroty", "within_s": 180.0, "share": 0.95},
			{"kind": "guarantee", "within_s": 5.0, "share": 0.92},
		},
		frames: []frame{
			{
				Label: "wezel-sredni", Cores: 32, MemoryGb: 64, LocalGb: 60, PullGbPerS: 0.25,
				Hourly: 1.28, LowPrice: 0.58, StartupS: 20, Beds: []string{"gdynia", "gdansk"},
			},
			{
				Label: "wezel-duzy", Cores: 64, MemoryGb: 256, LocalGb: 80, PullGbPerS: 0.25,
				Hourly: 3.11, LowPrice: 1.23, StartupS: 25, Beds: []string{"gdynia", "gdansk"},
			},
		},
		free: map[pool]int{
			{"wezel-sredni", "gdynia", false}: 6, {"wezel-sredni", "gdynia", true}: 4,
			{"wezel-sredni", "gdansk", false}: 8, {"wezel-sredni", "gdansk", true}: 4,
			{"wezel-duzy", "gdynia", false}: 1, {"wezel-duzy", "gdynia", true}: 3,
			{"wezel-duzy", "gdansk", false}: 2, {"wezel-duzy", "gdansk", true}: 4,
		},
	}
}
