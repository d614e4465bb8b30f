package root

import (
	"kingcuprill/io/cli/command"
	configapply "kingcuprill/io/cli/config/apply"
	configcheck "kingcuprill/io/cli/config/check"
	configdiff "kingcuprill/io/cli/config/diff"
	configexport "kingcuprill/io/cli/config/export"
	"kingcuprill/io/cli/factory"
	keygrant "kingcuprill/io/cli/key/grant"
	keylist "kingcuprill/io/cli/key/list"
	keywithdraw "kingcuprill/io/cli/key/withdraw"
	organisationlist "kingcuprill/io/cli/organisation/list"
	organisationremove "kingcuprill/io/cli/organisation/remove"
	organisationset "kingcuprill/io/cli/organisation/set"
	quarantinelift "kingcuprill/io/cli/quarantine/lift"
	quarantinelist "kingcuprill/io/cli/quarantine/list"
	replicaadd "kingcuprill/io/cli/replica/add"
	replicalist "kingcuprill/io/cli/replica/list"
	replicapromote "kingcuprill/io/cli/replica/promote"
	replicaremove "kingcuprill/io/cli/replica/remove"
	reportburn "kingcuprill/io/cli/report/burn"
	requestexplain "kingcuprill/io/cli/request/explain"
	residencylist "kingcuprill/io/cli/residency/list"
	residencyremove "kingcuprill/io/cli/residency/remove"
	residencyset "kingcuprill/io/cli/residency/set"
	routelist "kingcuprill/io/cli/route/list"
	routeremove "kingcuprill/io/cli/route/remove"
	routeset "kingcuprill/io/cli/route/set"
	statusshow "kingcuprill/io/cli/status/show"
	targetlist "kingcuprill/io/cli/target/list"
	vmconfirmstopped "kingcuprill/io/cli/vm/confirmstopped"
	vmlist "kingcuprill/io/cli/vm/list"
	vmremove "kingcuprill/io/cli/vm/remove"
)

func groups(f *factory.Factory) []command.Group {
	return []command.Group{
		{Name: "organisation", Short: "Organisations and their limits", Commands: []*command.Command{organisationlist.New(f, nil), organisationremove.New(f, nil), organisationset.New(f, nil)}},
		{Name: "key", Short: "API keys of callers", Commands: []*command.Command{keygrant.New(f, nil), keylist.New(f, nil), keywithdraw.New(f, nil)}},
		{Name: "route", Short: "Routes to services", Commands: []*command.Command{routelist.New(f, nil), routeremove.New(f, nil), routeset.New(f, nil)}},
		{Name: "residency", Short: "Rules on the regions that may serve requests", Commands: []*command.Command{residencylist.New(f, nil), residencyremove.New(f, nil), residencyset.New(f, nil)}},
		{Name: "vm", Short: "VMs and the VM set", Commands: []*command.Command{vmconfirmstopped.New(f, nil), vmlist.New(f, nil), vmremove.New(f, nil)}},
		{Name: "replica", Short: "Replicas of the control log", Commands: []*command.Command{replicaadd.New(f, nil), replicalist.New(f, nil), replicapromote.New(f, nil), replicaremove.New(f, nil)}},
		{Name: "target", Short: "Targets", Commands: []*command.Command{targetlist.New(f, nil)}},
		{Name: "quarantine", Short: "Requests that crash targets", Commands: []*command.Command{quarantinelift.New(f, nil), quarantinelist.New(f, nil)}},
		{Name: "config", Short: "Whole configurations", Commands: []*command.Command{configapply.New(f, nil), configcheck.New(f, nil), configdiff.New(f, nil), configexport.New(f, nil)}},
		{Name: "request", Short: "Requests of callers", Commands: []*command.Command{requestexplain.New(f, nil)}},
		{Name: "status", Short: "State of the system", Commands: []*command.Command{statusshow.New(f, nil)}},
		{Name: "report", Short: "Reports", Commands: []*command.Command{reportburn.New(f, nil)}},
	}
}
