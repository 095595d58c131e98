package main

import (
	"fmt"
	"strings"
)

// The target's size, and what is assumed of it beside the letter's figures.
const (
	nodes         = 1400
	domains       = 64
	nodesInDomain = 22.0
	sites         = 420
	blocks        = 120000
	lookUps       = 1.4e6
	changesADay   = 6300
	// classes and movingClasses are assumptions: the letter names no number.
	classes       = 100
	movingClasses = 10
	// Rates and sizes of the code as it is.
	ticks           = 2.0
	polls           = 2.0
	lists           = 1.0
	reports         = 1.0
	exchangesOut    = 3.0
	membersInOne    = 64
	rounds          = 1.0
	relaysInDomain  = 2.0
	livesPerTick    = 1
	publishesASec   = 1.0
	leaseCalls      = 2.0 / 1.0
	secondsADay     = 86400
	byteBudget      = 5000
	processorBudget = 1.0
	memoryBudget    = 256e6
	readBudget      = 2000
	writeBudget     = 300
	nanosPerPercent = 1e7
)

// need is one row of the table of a role.
type need struct {
	what   string
	amount float64
	unit   string
	budget float64
	how    string
}

func (n need) String() string {
	verdict := ""
	if n.budget > 0 {
		verdict = "within"
		if n.amount > n.budget {
			verdict = fmt.Sprintf("**over by %.1f times**", n.amount/n.budget)
		}
	}
	return fmt.Sprintf("| %s | %.3g %s | %s | %s |\n", n.what, n.amount, n.unit, verdict, n.how)
}

func table(title string, needs []need) string {
	var b strings.Builder
	fmt.Fprintf(&b, "\n### %s\n\n| need | at the target | budget | worked out from |\n|---|---|---|---|\n", title)
	for _, n := range needs {
		b.WriteString(n.String())
	}
	return b.String()
}

// roles returns the tables of what each role needs at the target.
func roles(b costBook) string {
	return table("Entry instance", entry(b)) + table("Relay, beside what an entry instance needs", relay(b)) +
		table("Planner, beside what a relay needs", planner(b)) + table("Platform", platform()) + table("Operator's client", client(b))
}

func exchangeBytes(b costBook) float64 {
	members := b.at("members in an exchange", membersInOne)
	steps := membersInOne * movingClasses * b["steps of one member"].slope
	return members + steps
}

func entry(b costBook) []need {
	lookUp := b.at("look-up of a block", blocks) + b.at("ranking of instances", nodesInDomain)
	memory := b.at("table of blocks", blocks) + b.at("table of members", nodes) +
		3*classes*b.at("applied placement of a class", domains) + classes*b.at("row of a plan", domains)
	tick := livesPerTick*b.at("list of live members", nodes) + b.at("directory for look-ups", nodes)
	change := classes*b.at("decoding of a plan", domains) + classes*b.at("copy of an applied placement", domains)
	perSecond := ticks*tick + publishesASec*classes*b.at("copy of an applied placement", domains) + change*changesADay/secondsADay
	sent := exchangesOut*exchangeBytes(b) + reports*b.at("report of demand", classes)
	return []need{
		{"look-up itself", lookUp, "ns", 1000, "look-up of a block, ranking of instances"},
		{"look-ups", lookUps / nodes, "a second", 0, "the letter's figures"},
		{"memory for control", memory / 1e6, "MB", memoryBudget / 1e6, "tables of blocks and members, three copies of the placements, rows of plans"},
		{"processor for control", perSecond / nanosPerPercent, "% of a core", processorBudget, "two ticks a second, one snapshot a second while classes move, 6300 changes a day"},
		{"bytes sent for control", sent / 1000, "KB a second", byteBudget / 1000.0, "three exchanges and one report a second"},
	}
}

func relay(b costBook) []need {
	change := b.at("row of a plan", domains)
	served := nodesInDomain * exchangeBytes(b)
	return []need{
		{"reads at the platform", polls + lists + 0.1, "a second", 0, "two polls, one list, the blocks each 10 s"},
		{"bytes of changes passed on", nodesInDomain * change * changesADay / secondsADay / 1000, "KB a second", byteBudget / 1000.0, "a changed plan to each node of the failure domain, shared by two relays at the most"},
		{"bytes answered in exchanges", served / 1000, "KB a second", byteBudget / 1000.0, "one exchange a second of each node of the failure domain"},
	}
}

func planner(b costBook) []need {
	quiet := b.at("round of placement, nothing to move", sites)
	busy := b.at("round of placement, one site drains", sites)
	perSecond := rounds * ((classes-movingClasses)*quiet + movingClasses*busy)
	return []need{
		{"processor for rounds", perSecond / nanosPerPercent, "% of a core", processorBudget, "one round a second for each class, a tenth of them moving"},
		{"bytes of reports received", domains * reports * b.at("report of demand", classes) / 1000, "KB a second", byteBudget / 1000.0, "one merged report a second of each failure domain"},
	}
}

func platform() []need {
	reads := domains * relaysInDomain * (polls + lists + 0.1 + 1)
	return []need{
		{"reads", reads, "a second", readBudget / 2, "two relays in each failure domain: polls, lists, blocks, lease"},
		{"writes for configuration and plans", changesADay/secondsADay + movingClasses*0.1 + 1, "a second", writeBudget / 2, "6300 changes a day, restated moves, renewals of the lease"},
		{"charges that fit", (writeBudget / 2) / 2, "a second", 0, "two writes for each charge in half of the writes"},
	}
}

func client(b costBook) []need {
	return []need{
		{"answer of status", (classes*200 + nodes*b.at("members in an exchange", 1) + sites*150) / 1000, "KB", 0, "classes, instances and pools, one object each"},
	}
}
