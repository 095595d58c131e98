package main

import (
	"fmt"
	"io"
	"os/user"

	"lovageyard.example/lovageyard/charge"
	"lovageyard.example/lovageyard/class"
)

type chargeCommands struct {
	List   chargeList   `cmd:"" help:"List the charges by state."`
	Show   chargeShow   `cmd:"" help:"Show one charge."`
	Settle chargeSettle `cmd:"" help:"Settle a charge of which it is not known whether it ran."`
}

type chargeList struct {
	State string `default:"unknown" enum:"claimed,recorded,released,unknown" help:"State to list: claimed, recorded, released or unknown."`
}

// Run lists the charges in one state, with their class, key and holder.
func (k *chargeList) Run(s *invocation) error {
	charges, err := s.client.Charges(s.context, charge.State(k.State))
	if err != nil {
		return err
	}
	return s.print(charges, func(w io.Writer) {
		table(w, "CLASS\tKEY\tSTATE\tCLAIMED\tHOLDER", func(w io.Writer) {
			for _, c := range charges {
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", c.Class, c.Key, c.State, timeText(c.ClaimedAt), c.Holder)
			}
		})
	})
}

type chargeShow struct {
	Class string `arg:"" help:"Class of the charge."`
	Key   string `arg:"" help:"The caller's key."`
}

// Run prints all fields of one charge; the settlement only if an operator has settled it.
func (k *chargeShow) Run(s *invocation) error {
	c, err := s.client.Charge(s.context, k.Class, k.Key)
	if err != nil {
		return err
	}
	return s.print(c, func(w io.Writer) {
		table(w, "FIELD\tVALUE", func(w io.Writer) {
			fmt.Fprintf(w, "class\t%s\nkey\t%s\nstate\t%s\nattempt\t%d\n", c.Class, c.Key, c.State, c.Attempt)
			fmt.Fprintf(w, "holder\t%s\nclaimed\t%s\nsend before\t%s\n", c.Holder, timeText(c.ClaimedAt), timeText(c.SendBefore))
			if c.SettledBy != "" {
				fmt.Fprintf(w, "settled by\t%s\nsettled\t%s\n", c.SettledBy, timeText(c.SettledAt))
			}
		})
	})
}

type chargeSettle struct {
	Class    string `arg:"" help:"Class of the charge."`
	Key      string `arg:"" help:"The caller's key."`
	Ran      bool   `xor:"fate" required:"" help:"It ran: a repeat is answered, and never sent."`
	NotRun   bool   `xor:"fate" required:"" help:"It did not run: a repeat may be sent."`
	Operator string `help:"Who settles it; the user's name without it."`
}

// Run records whether the charge ran. The operator's name defaults to the current user.
func (k *chargeSettle) Run(s *invocation) error {
	if k.Operator == "" {
		u, err := user.Current()
		if err != nil {
			return &class.FieldError{Field: "--operator", Accepted: "a name is needed"}
		}
		k.Operator = u.Username
	}
	settled, err := s.client.SettleCharge(s.context, k.Class, k.Key, k.Ran, k.Operator)
	if err != nil {
		return err
	}
	return s.print(settled, func(w io.Writer) {
		fmt.Fprintf(w, "charge %s of %s is %s, settled by %s\n", settled.Key, settled.Class, settled.State, settled.SettledBy)
	})
}
