// Ivytrestle is a cluster scheduler: this program runs one of its controllers
// and speaks to them.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/daemon"
	"example.org/ivytrestle/internal/policy"
)

var version = "0.1.0"

type cli struct {
	Serve   serveCmd         `cmd:"" default:"withargs" help:"Run a controller."`
	Version kong.VersionFlag `help:"Print the version and exit."`
}

type serveCmd struct {
	Config string `required:"" type:"path" placeholder:"FILE" help:"The platform's settings file (JSON)."`
	Policy string `type:"path" placeholder:"FILE" help:"The operators' settings (Starlark)."`
}

func (s *serveCmd) Run() error {
	settings, err := config.Load(s.Config)
	if err != nil {
		return err
	}
	pol, err := policy.Load(s.Policy)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return daemon.Run(ctx, settings, pol, daemon.Logger(os.Stderr, os.Getenv("LOG_LEVEL")))
}

func main() {
	k := kong.Parse(&cli{}, kong.Name("ivytrestle"),
		kong.Description("A cluster scheduler for batch jobs."), kong.Vars{"version": version})
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "ivytrestle:", err)
		os.Exit(1)
	}
}
