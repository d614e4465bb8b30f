package follow

import (
	"time"

	"kingcuprill/core/instance"
	"kingcuprill/io/codec"
	"kingcuprill/rpc/vm"
)

// unknownRegion is the group of rows without a known data centre: targets that have
// left and never reported here. All entry VMs get them.
const unknownRegion = ""

// sendsRegion reports whether a poll gets only the targets of its entry VM's region.
//
// Entry VMs send requests to targets of their own region only. At hundreds of entry
// VMs and targets, rows of all targets from every control VM are most of the traffic
// between regions.
func (s *Server) sendsRegion(request *vm.FollowRequest) bool {
	return request.GetOnlyRegion() && s.Targets.Group != nil
}

// targetChanges returns channels that are closed at the next change of a target that
// the poll gets. The second one is nil if the first one covers all.
func (s *Server) targetChanges(request *vm.FollowRequest) (changed, unknown <-chan struct{}) {
	if !s.sendsRegion(request) {
		_, changed = s.Targets.Version()
		return changed, nil
	}
	_, changed = s.Targets.GroupVersion(request.GetEntry().GetRegion())
	_, unknown = s.Targets.GroupVersion(unknownRegion)
	return changed, unknown
}

// targetsVersion returns the version of the last change of a target that the poll
// gets.
func (s *Server) targetsVersion(request *vm.FollowRequest) uint64 {
	if !s.sendsRegion(request) {
		version, _ := s.Targets.Version()
		return version
	}
	own, _ := s.Targets.GroupVersion(request.GetEntry().GetRegion())
	unknown, _ := s.Targets.GroupVersion(unknownRegion)
	return max(own, unknown)
}

// addTargets adds the rows that have changed since a version, and the counts of the
// targets whose rows the poll doesn't get.
func (s *Server) addTargets(answer *vm.FollowResponse, request *vm.FollowRequest, since uint64) {
	now := time.Now()
	rows, version := s.Targets.Since(since)
	answer.TargetsVersion = version
	filtered := s.sendsRegion(request)
	own := request.GetEntry().GetRegion()
	for _, row := range rows {
		if region := s.region(row); filtered && region != own && region != unknownRegion {
			continue
		}
		answer.Targets = append(answer.Targets, codec.FromRegistration(row, now))
	}
	if filtered {
		answer.Counts = s.counts(own, now)
	}
}

func (s *Server) region(row instance.Registration) string {
	if s.Targets.Group == nil {
		return unknownRegion
	}
	return s.Targets.Group(row)
}

// counts returns how many targets of each service and data centre outside a region
// can take requests.
func (s *Server) counts(except string, now time.Time) (counts []*vm.TargetCount) {
	type key struct{ service, dataCentre, version string }
	byKey := map[key]*vm.TargetCount{}
	rows, _ := s.Targets.Since(0)
	for _, row := range rows {
		if s.region(row) == except || row.State != instance.Ready || now.Before(row.ColdUntil) {
			continue
		}
		k := key{row.Service, row.DataCentre, row.Version}
		if byKey[k] == nil {
			byKey[k] = &vm.TargetCount{Service: row.Service, DataCentre: row.DataCentre, Version: row.Version}
			counts = append(counts, byKey[k])
		}
		byKey[k].Count++
	}
	return counts
}

// entryChanges returns a channel that is closed at the next change of an entry VM, nil
// if the poll doesn't get them.
func (s *Server) entryChanges(request *vm.FollowRequest) (changed <-chan struct{}) {
	if request.GetNoEntries() {
		return nil
	}
	_, changed = s.entries.Version()
	return changed
}
