package main

import (
	"fmt"
	"strings"
)

// The target's size, and what is assumed of it beside that.
const (
	nodes         = 1400
	domains       = 64
	nodesInDomain = 22.0
	sites         = 420
	blocks        = 120000
	lookUps       = 1.4e6
	changesADay   = 6300
	// classes and movingClasses are assumptions: the target names no number.
	classes       = 100
	movingClasses = 10
	services      = 40
	// Rates and sizes of the code as it is.
	ticks           = 2.0
	polls           = 2.0
	lists           = 1.0
	blockReads      = 0.1
	reportSeconds   = 5.0
	exchangesOut    = 3.0
	membersInOne    = 16.0
	stepsInOne      = membersInOne / 2 * movingClasses
	relaysInDomain  = 2.0
	planCandidates  = 2.0
	rounds          = 1.0
	publishesASec   = 1.0
	secondsADay     = 86400.0
	byteBudget      = 5.0
	processorBudget = 1.0
	memoryBudget    = 256.0
	readBudget      = 2000.0
	writeBudget     = 300.0
	nanosPerPercent = 1e7
	bytesPerKB      = 1e3
	bytesPerMB      = 1e6
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
	return b.at("members in an exchange", membersInOne) + stepsInOne*b["steps of one member"].slope
}

func entry(b costBook) []need {
	lookUp := b.at("look-up of a block", blocks) + b.at("ranking of instances", nodesInDomain)
	memory := b.at("table of blocks", blocks) + b.at("table of members", nodes) +
		3*classes*b.at("applied placement of a class", domains) + classes*b.at("row of a plan in memory", domains)
	change := b.at("decoding of a plan", domains) + b.at("copy of an applied placement", domains)
	perSecond := exchangesOut*b.at("choice of members to pass on", nodes) +
		publishesASec*(movingClasses*b.at("copy of an applied placement", domains)+b.at("directory for look-ups", nodes)) +
		change*changesADay/secondsADay
	sent := exchangesOut*exchangeBytes(b) + b.at("report of demand", classes)/reportSeconds
	return []need{
		{"look-up itself", lookUp, "ns", 1000, "look-up of a block, ranking of instances"},
		{"look-ups", lookUps / nodes, "a second", 0, "the target's figures"},
		{"memory for control", memory / bytesPerMB, "MB", memoryBudget, "tables of blocks and members, three copies of the placements, rows of plans"},
		{"processor for control", perSecond / nanosPerPercent, "% of a core", processorBudget, "three exchanges a second, one snapshot a second while classes move, 6300 changes a day"},
		{"bytes sent for control", sent / bytesPerKB, "KB a second", byteBudget, "three exchanges a second, a report each 5 s"},
	}
}

func relay(b costBook) []need {
	change := b.at("row of a plan", domains)
	served := nodesInDomain * exchangeBytes(b)
	merged := planCandidates * b.at("report of demand", classes) / reportSeconds
	return []need{
		{"reads at the platform", polls + lists + blockReads, "a second", 0, "two polls, one list, the blocks each 10 s"},
		{"bytes of changes passed on", nodesInDomain / relaysInDomain * change * changesADay / secondsADay / bytesPerKB, "KB a second", byteBudget, "a changed plan to each node of the failure domain, shared by two relays"},
		{"bytes answered in exchanges", served / bytesPerKB, "KB a second", byteBudget, "one exchange a second of each node of the failure domain"},
		{"bytes of merged reports", merged / bytesPerKB, "KB a second", byteBudget, "each class to two candidates, each 5 s"},
	}
}

func planner(b costBook) []need {
	quiet := b.at("round of placement, nothing to move", sites)
	busy := b.at("round of placement, one site drains", sites)
	perSecond := rounds * ((classes-movingClasses)*quiet + movingClasses*busy) / services
	return []need{
		{"processor for rounds", perSecond / nanosPerPercent, "% of a core", processorBudget, "one round a second for each class of one service, a tenth of them moving"},
		{"bytes of reports received", domains * b.at("report of demand", classes/float64(services)) / reportSeconds / bytesPerKB, "KB a second", byteBudget, "one merged report of each failure domain each 5 s"},
	}
}

func platform() []need {
	reads := domains*relaysInDomain*(polls+lists+blockReads) + services*planCandidates*rounds
	writes := changesADay/secondsADay + movingClasses*0.1 + services*rounds
	return []need{
		{"reads", reads, "a second", readBudget / 2, "two relays in each failure domain: polls, lists, blocks; two candidates for each lease"},
		{"writes for configuration and plans", writes, "a second", writeBudget / 2, "6300 changes a day, restated moves, a renewal a second of each service's lease"},
		{"charges that fit", (writeBudget/2 - writes) / 2, "a second", 0, "two writes for each charge in what is left of half of the writes"},
	}
}

func client(b costBook) []need {
	const classBytes, poolBytes = 200, 150
	bytes := classes*classBytes + nodes*b.at("members in an exchange", 1) + sites*poolBytes
	return []need{
		{"answer of status", bytes / bytesPerKB, "KB", 0, "classes, instances and pools, one object each"},
	}
}
