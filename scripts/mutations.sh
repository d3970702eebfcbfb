#!/usr/bin/env bash
# Mutation test: disables one mechanism at a time and checks that a test fails.
# Works on a copy of the committed tree and prints one line for each mechanism.
set -uo pipefail
cd "$(dirname "$0")/.." || exit 1
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
missed=0

# mutate NAME FILE FROM TO PACKAGE TEST [FLAG] replaces the fixed string FROM by
# TO in FILE and expects that TEST fails in PACKAGE.
mutate() {
  rm -rf "$copy/tree"
  mkdir "$copy/tree"
  git archive HEAD | tar -x -C "$copy/tree"
  if ! FROM=$3 TO=$4 perl -0pi -e 'BEGIN{$f=$ENV{FROM};$t=$ENV{TO}} $n=s/\Q$f\E/$t/; END{exit !$n}' "$copy/tree/$2"; then
    echo "$1: text not found in $2"
    missed=1
    return
  fi
  if ! (cd "$copy/tree" && go test -vet=off -run xxx "./$5" >"$copy/log" 2>&1); then
    echo "$1: does not compile"
    sed -n 1,5p "$copy/log"
    missed=1
  elif (cd "$copy/tree" && go test -vet=off "./$5" -run "$6" ${7:+$7} >"$copy/log" 2>&1); then
    echo "$1: NOT NOTICED by $6"
    missed=1
  else
    echo "$1: noticed by $6"
  fi
}

r=internal/reducer
all=TestRandomFaultSchedules
mutate "7 two of three witnesses" internal/claimer/claimer.go 'func quorum(n int) int { return n/2 + 1 }' 'func quorum(int) int { return 1 }' internal/claimer TestSchedules
mutate "7 restarted witnesses cover nothing" internal/claimer/coverage.go 'return r != nil && r.complete && r.memberSince != 0 && r.memberSince <= version' 'return r == nil || r.memberSince <= version' internal/claimer TestSchedules
mutate "6 unclaimed keys are not called not run" $r/request.go 'unclaimed := req.Once &&' 'unclaimed := false &&' $r $all
mutate "4 a stale view dispatches nothing" internal/detector/detector.go 'func (d *Detector) IsFresh(now time.Time) bool {' 'func (d *Detector) IsFresh(now time.Time) bool {
	return true' $r 'TestPaused|TestMinority'
mutate "4 old grants are dropped" $r/ask.go 'maxGrantAge = time.Second' 'maxGrantAge = time.Hour' $r "TestPaused|TestOldGrant"
mutate "4 endpoints that are out get no grants" $r/view.go 'return dc != nil && dc.OutOfService' 'return dc != nil && false' $r $all
mutate "9 versions never go back" $r/view.go 'if r.catalogue != nil && c.Version <= r.catalogue.Version {' 'if r.catalogue != nil && c.Version == r.catalogue.Version {' $r $all
mutate "3 cold limit" internal/placer/pool.go 'return p.coldShare(e.conf.ColdSlots)' 'return e.conf.Slots' $r $all
mutate "3 leases share the cold limit" internal/placer/pool.go 'return p.coldShare(e.conf.ColdSlots)' 'return e.conf.ColdSlots' $r $all -schedules=1000
mutate "3 the next home is told what is cold" $r/observation.go 'cold: slices.Contains(l.Cold, name)' 'cold: false' $r $all -schedules=1000
mutate "10 one run of a fingerprint at a time" $r/request.go 'if req.Model == "" || r.proven.has(req.Fingerprint) {' 'if true {' $r TestCrashingRequestAtOnce
mutate "10 marks" $r/peer.go 'if !r.marker.Apply(now, m) {' 'if true {' $r $all -schedules=600
mutate "8 records are handed over" $r/reducer.go 'r.applyClaimerOutputs(now, r.claimer.Leave(now))
	if r.claimer.Drained() {' 'if true {' $r TestLeaveCutsNothing
mutate "8 requests end before the exit" $r/reducer.go '|| len(r.requests) > 0 {' '{' $r TestLeaveCutsNothing
mutate "orders stay within the download limit" internal/reconciler/reconciler.go 'if loading >= limit {' 'if false {' internal/reconciler TestDownloadsAreLimited
mutate "orders do no harm late" internal/reconciler/reconciler.go 'if !e.conf.Fences {' 'if false {' internal/reconciler TestLateOrderIsHarmless
exit $missed
