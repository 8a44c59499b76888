#!/usr/bin/env bash
# Mutation tests: removes one rule at a time from a copy of the code and runs the tests that guard
# it. They must fail; tests that still pass do not guard the rule.
set -uo pipefail
cd "$(dirname "$0")/.."
work_dir=$(mktemp -d)
trap 'rm -rf "$work_dir"' EXIT
git ls-files -co --exclude-standard | grep -E '\.go$|^go\.|\.chart$|testdata/' | xargs ls -d 2>/dev/null | xargs cp --parents -t "$work_dir"
survived=0

# mutant NAME FILE FROM TO PACKAGE TESTS: replaces the text FROM by TO in a file and runs the tests of
# a package that match TESTS, a regular expression. They must fail.
mutant() {
  cp "$work_dir/$2" "$work_dir/original"
  FROM=$3 TO=$4 perl -0pi -e 's/\Q$ENV{FROM}\E/$ENV{TO}/' "$work_dir/$2"
  if cmp -s "$work_dir/$2" "$work_dir/original"; then
    echo "NOT APPLIED: $1"
    survived=$((survived + 1))
  elif (cd "$work_dir" && timeout 60 go test -vet=off -timeout 50s -run "$6" "./$5" >"$work_dir/out" 2>&1); then
    echo "SURVIVED: $1"
    survived=$((survived + 1))
  elif grep -q 'build failed' "$work_dir/out"; then
    echo "NOT BUILT: $1"
    survived=$((survived + 1))
  else
    echo "KILLED: $1"
  fi
  cp "$work_dir/original" "$work_dir/$2"
}

cell=internal/node/starter
mutant "1 a worker gets no more tasks than its capacity" internal/core/placer/placer.go \
  'r.closed || !need.Size.Fits(r.free())' 'r.closed' $cell 'TestLostRepliesToStarts'
mutant "1 an upstream gets no more than its slots" internal/core/slotter/slotter.go \
  '&& u.busy < u.limit()' '' $cell 'TestUpstreamsGetNoMoreThanTheirSlots'
mutant "2 tasks of a lost worker restart only after its leases expired" internal/core/tracker/worker.go \
  'now.After(w.promised.Add(t.options.Skew)) &&' '!now.IsZero() &&' $cell 'TestTasksOfALostWorker'
mutant "2 a new claim holder polls the inventory before it places tasks" internal/core/tracker/tracker.go \
  'if w.shard == id && !w.read && !t.hasLapsed(now, w) {' 'if w == nil {' $cell 'TestTakeoverWithASilentWorker'
mutant "3 response parts of another attempt are dropped" internal/platform/assembler/assembler.go \
  'if p.Attempt != a.attempt {' 'if false {' $cell 'TestAnswerIsWhole'
mutant "3 a response without its last part is rejected" internal/platform/assembler/assembler.go \
  'if a.last < 0 || len(a.parts) != a.last+1 {' 'if len(a.parts) == 0 {' $cell 'TestAnswerIsWhole'
mutant "4 not_run is reported only after no host can send the request" internal/core/admitter/settle.go \
  'settledAt := r.lostAt.Add(a.options.Settle)' 'settledAt := r.lostAt.Add(-a.options.Settle)' $cell 'TestNotRunMeansNotRun'
mutant "5 an intent is recorded before the dispatch" internal/core/admitter/dispatch.go \
  'if r.repeatable || r.logged || r.held {' 'if true {' $cell 'TestOrderRunsOnceThoughItsHolderDies'
mutant "5 a lost reply is resolved by a query for the outcome" internal/core/admitter/settle.go \
  'if r.repeatable {
		r.mayHaveRun = true' 'if true {
		r.mayHaveRun = true' $cell 'TestLostReplyOfUpstream'
mutant "6 a leaving upstream gets no new requests" internal/core/slotter/slotter.go \
  'u.known && !u.leaving' 'u.known' $cell 'TestLeavingUpstream'
mutant "7 a host leaves only with nothing in flight" internal/node/starter/starter.go \
  'return n.listener.InFlight() == 0 && n.runner.Routes().Left' 'return true' $cell 'TestGracefulShutdown|TestShutdownTells'
mutant "8 a change applies only to the version that it names" internal/cell/applier/state.go \
  'if c.Replaces != present.Version {' 'if false {' $cell 'TestOfTwoRacingOperators'
mutant "8 a snapshot older than the state is ignored" internal/cell/applier/state.go \
  'if next.Next <= s.Next {' 'if false {' internal/cell/applier 'TestSnapshot'
core=internal/fleet/dispatcher
mutant "fence: a job is forgotten only after its end is persisted" $core/dispatcher.go \
  ' && r.Saver.IsKept(j)' '' $core 'TestJobs/a_job_whose_end'
mutant "fence: an unresponsive worker gets no lease" internal/fleet/settler/order.go \
  'if w.IsSynced && !w.IsFailing {' 'if w.IsSynced {' $core 'TestWorkers/the_runs_of_a_dead'
mutant "fence: the runs of a replaced worker are resolved" internal/fleet/watcher/look.go \
  'h.workerReplaced(w)' 'w.IsFailing = true' $core 'TestWorkers/the_runs_of_a_replaced'
mutant "fence: the incarnations in host list and inventory must agree" internal/fleet/minder/minder.go \
  'isOneLife := w.Info.Incarnation == 0 ||' 'isOneLife := true ||' $core 'TestWorkers/a_new_life'
mutant "fence: a new claim holder polls all workers of the roster" internal/fleet/watcher/watcher.go \
  'range roster.Members' 'range []journaler.Member{}' $core 'TestTakeover/a_worker_that_the_list'
mutant "fence: remaining runs of ended jobs use capacity" internal/fleet/settler/settler.go \
  'return entry.Job.Steps[ref.Step].Charge()' 'return describer.Resources{}' $core 'TestTakeover/what_is_left'
mutant "fence: replies that arrive out of order are ignored" internal/fleet/watcher/look.go \
  'inventory.Clock < w.HeardClock' 'false' $core 'TestWorkers/an_answer'
mutant "fence: results of ended runs are acknowledged after they are persisted" internal/fleet/saver/saver.go \
  'return s.taken + 1' 'return 0' $core 'TestTakeover/an_end_is'
mutant "fence: a failure is counted once" internal/fleet/tasker/tasker.go \
  '(*failures)[number] = true' '(*failures)[int64(len(*failures))+1000] = true' $core 'TestTakeover/a_failure'
mutant "fence: tasks wait for workers that have not replied yet" internal/fleet/minder/minder.go \
  'return !w.IsSynced && !w.IsSilent && !w.Lease.HasLapsed(now)' 'return false' $core 'TestTakeover/tasks_that_may'
mutant "fence: the runs on an unresponsive worker are persisted" internal/fleet/tasker/progress.go \
  't.Run != nil && isSilent(t.Run.Worker)' 'false' $core 'TestTakeover/a_successor'
mutant "fence: an unconfirmed start is stopped before a second start" internal/fleet/settler/order.go \
  '			w.IsDoubted = true
			s.Stop(r)' '			s.Settle(r)' $core 'TestWorkers/a_start_without'
mutant "fence: no task starts before the roster is persisted" internal/fleet/minder/minder.go \
  'w.IsListed && w.IsEnrolled &&' 'w.IsListed &&' $core 'TestWorkers/a_worker_gets'
mutant "fence: capacity is reserved for long-running tasks" internal/fleet/placer/placer.go \
  'if s.Spec.LongRunning {' 'if false {' $core 'TestAdvice/room_is_made'
mutant "fence: a former claim holder may still have running tasks" internal/fleet/dispatcher/dispatcher.go \
  'j.MayRunElsewhere = entry.HasProgress()' 'j.MayRunElsewhere = false' $core 'TestTakeover/tasks_that_may'
mutant "fence: no task starts before its job is persisted for a successor" internal/fleet/placer/placer.go \
  'return j.OpenBatch <= p.Saver.LastSaved()' 'return true' $core 'TestTakeover/a_job_that_no_holder'
mutant "fence: a worker that has left does not delay tasks" internal/fleet/minder/minder.go \
  ' && !w.HasLeft()' '' $core 'TestTakeover/workers_that_had'
mutant "sharing: speculative copies are only for steps that allow them" internal/fleet/tasker/tasker.go \
  's.Spec.Speculative && !s.Spec.Gang' '!s.Spec.Gang' $core 'TestCopies/a_task_that_allows'
mutant "sharing: a missed objective stops filler tasks" internal/fleet/pacer/pacer.go \
  'case worst >= breach:' 'case false:' internal/fleet/pacer 'TestNext'
mutant "sharing: a later claim holder restores the full share" internal/fleet/settler/settler.go \
  'Percent: tasker.UnknownPercent' 'Percent: tasker.FullPercent' $core 'TestPacing/a_later'
mutant "fence: a release does not hide a later claim" internal/fleet/journaler/journaler.go \
  'claim.Epoch <= s.Claim.Epoch && !isRelease' 'isRelease && false' internal/fleet/journaler 'TestClaims'
echo "mutants: $survived survived"
[ "$survived" = 0 ]
