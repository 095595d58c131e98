package main

import (
	"fmt"
	"io"
	"time"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/operator"
)

type moveCommands struct {
	List moveList `cmd:"" help:"List the moves under way."`
}

type moveList struct {
	All bool `help:"List classes at rest too."`
}

// Run lists the moves under way, with --all also the classes that don't move.
func (m *moveList) Run(s *invocation) error {
	status, err := s.client.Status(s.context)
	if err != nil {
		return err
	}
	moves := []operator.MoveStatus{}
	for _, move := range status.Moves {
		if m.All || move.Move.State != "" {
			moves = append(moves, move)
		}
	}
	return s.print(moves, func(w io.Writer) {
		table(w, "CLASS\tSTATE\tLEFT\tENDS\tEMPTY BY\tIN TIME\tREASON", func(w io.Writer) {
			for _, move := range moves {
				writeMove(w, move)
			}
		})
	})
}

func writeMove(w io.Writer, m operator.MoveStatus) {
	state := m.Move.State
	if state == "" {
		state = lovageyard.MoveDone
	}
	fmt.Fprintf(w, "%s\t%s\t%.0f%%\t%s\t%s\t%v\t%s\n", m.Class, state, 100*m.Move.Remaining,
		timeText(m.Move.EndsAt), timeText(m.Move.EmptyBy), m.Move.InTime, m.Move.Reason)
}

// timeText formats a time, and the zero time as "-".
func timeText(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.Format(time.RFC3339)
}

type instanceCommands struct {
	List instanceList `cmd:"" help:"List the entry instances."`
}

type instanceList struct{}

// Run lists the entry instances that the contacted one knows.
func (instanceList) Run(s *invocation) error {
	status, err := s.client.Status(s.context)
	if err != nil {
		return err
	}
	return s.print(status.Instances, func(w io.Writer) {
		table(w, "INSTANCE\tFAILURE DOMAIN\tREGION\tSTATE\tVERSION\tCALLERS\tOPERATORS", func(w io.Writer) {
			for _, i := range status.Instances {
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\t%s\n", i.Name, i.FailureDomain, i.Region, i.State,
					i.Version, i.CallerAddress, i.OperatorAddress)
			}
		})
	})
}

type explainCommand struct {
	Class  string `required:"" help:"Name of the class."`
	Client string `required:"" help:"IP address of the client."`
}

// Run prints the site that a client's requests are routed to, and the plan that decides it.
func (e *explainCommand) Run(s *invocation) error {
	x, err := s.client.Explain(s.context, e.Class, e.Client)
	if err != nil {
		return err
	}
	return s.print(x, func(w io.Writer) {
		table(w, "FIELD\tVALUE", func(w io.Writer) {
			fmt.Fprintf(w, "block\t%s\nhome\t%s\nbucket\t%d\n", x.Block, x.Home, x.Bucket)
			fmt.Fprintf(w, "site\t%s\nmoving to\t%s\nmoved\t%.3f\nmoving now\t%v\n", x.Site, x.MovingTo, x.Moved, x.Moving)
			fmt.Fprintf(w, "planned site\t%s\nplan step\t%d\nmove\t%s\nreason\t%s\n", x.PlannedSite, x.PlanStep, x.Move, x.Reason)
		})
	})
}

type statusCommand struct{}

// Run prints the status of one entry instance, with its planners and its pools of servers by site.
func (statusCommand) Run(s *invocation) error {
	status, err := s.client.Status(s.context)
	if err != nil {
		return err
	}
	return s.print(status, func(w io.Writer) {
		fmt.Fprintf(w, "instance %s (%s, %s) %s, configuration version %d\n",
			status.Instance, status.FailureDomain, status.Region, status.State, status.Version)
		for _, p := range status.Planners {
			fmt.Fprintf(w, "planner of %s: %s\n", p.Service, p.Holder)
		}
		table(w, "SERVICE\tSITE\tSERVERS\tTAKE WORK\tSLOTS\tIN FLIGHT HERE\tQUEUED HERE\tMEAN MS", func(w io.Writer) {
			for _, p := range status.Pools {
				fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%.1f\n", p.Service, p.Site, p.Servers, p.Available,
					p.Slots, p.InFlight, p.Queued, p.MeanMs)
			}
		})
	})
}
