/*
 * Model of one task on workers that check fencing tokens. The holder of the newest claim, a
 * record in the store, is the leader; the epoch of the claim is the fencing token. The model
 * covers claims, polls of the workers, delayed starts, stops, leases, and results of ended runs,
 * which a worker deletes after they are persisted and acknowledged.
 *
 * Any host, any worker and the store may stop at any step, so pauses, partitions, crashes without
 * notice and outages need no transitions of their own. Time advances in ticks at arbitrary moments;
 * each timer is the number of ticks that remain. One assumption is also a timer: a former holder
 * that no worker or store has informed of its successor acts for at most GRACE ticks after the new
 * claim.
 *
 * Invariants: the task never runs on two workers at the same time, and it never starts after its
 * end was acknowledged, unless the lease of the worker on which it ended had expired before.
 * spec/check.sh explores the whole state space of the model, and searches each variant, from
 * which one rule is removed, for a counterexample. Each of these options removes the rule next to it:
 *
 *   NO_FENCE         a worker rejects orders with a token below the highest one that it received
 *   NO_GRACE_END     a former holder acts for at most GRACE ticks after the new claim
 *   NO_INITIAL_POLL  before a holder starts the task, each worker has replied to it or takeoverWait is over
 *   NO_WAIT          takeoverWait lasts TAKEOVER_WAIT ticks from the claim
 *   EARLY_ACK        a result is acknowledged only after it is persisted
 *   NO_STOP          before another start, a start without a reply is stopped or expires
 */

#define HOSTS 2
#ifndef EPOCHS
#define EPOCHS 3
#endif
#define WORKERS 2
#define NONE WORKERS
#ifndef RUNS
#define RUNS 3
#endif
#define LEASE 1
#define GRACE 1
#define TAKEOVER_WAIT (LEASE + GRACE + 1)
/* A start order is identified by its epoch, run and worker; a run by its epoch and number. */
#define ORDER(e, r, w) (((e) * RUNS + (r)) * WORKERS + (w))
#define RUN_ID(e, r) ((e) * RUNS + (r))

/* The store. */
byte epoch = 0;
bool persisted;

/* The workers. */
byte token[WORKERS];
byte lease[WORKERS];
byte highestRun[WORKERS];
bool running[WORKERS];
bool ended[WORKERS];
bool leaseExpired[WORKERS]; /* the lease expired after the end, so no holder relies on the result */
bool acknowledged;

/* The time until the deadline of each start that was sent and not executed yet. A worker rejects
 * a start after its deadline, so 0 stands for no start. */
byte startDeadline[ORDER(EPOCHS + 1, 0, 0)];

/* The hosts. */
byte claimEpoch[HOSTS];              /* the epoch of the host's claim; 0 if it has none or knows of a newer one */
byte grace[HOSTS];                   /* the remaining time for which a former holder may still act */
byte assignedWorker[HOSTS] = NONE;   /* the worker on which the holder assumes the task to be */
byte runNumber[HOSTS];
bool confirmed[HOSTS];               /* a poll showed that the task runs on the assigned worker */
bool knowsEnd[HOSTS];
bool polled[HOSTS * WORKERS];        /* the worker has replied to a poll of this holder since its claim */
/* Two timers for each holder and worker. takeoverWait is the remaining time until the worker, even if
 * it has not replied to a poll, cannot run tasks that former holders started. promisedLease is the
 * remaining time until the worker cannot run tasks that this holder started or whose lease it renewed. */
byte takeoverWait[HOSTS * WORKERS];
byte promisedLease[HOSTS * WORKERS];

#ifdef NO_FENCE
#define ACCEPTS(w, e) true
#else
#define ACCEPTS(w, e) (token[w] <= (e))
#endif
#define CAN_ACT(h) (claimEpoch[h] > 0 && (claimEpoch[h] == epoch || grace[h] > 0))

inline clearAssignment(h, w) { assignedWorker[h] = NONE; confirmed[h] = false }

inline claim(h) {
  atomic {
    epoch < EPOCHS ->
    grace[0] = (claimEpoch[0] > 0 && claimEpoch[0] == epoch -> GRACE : grace[0]);
    grace[1] = (claimEpoch[1] > 0 && claimEpoch[1] == epoch -> GRACE : grace[1]);
    epoch++; claimEpoch[h] = epoch; assignedWorker[h] = NONE; runNumber[h] = 0; confirmed[h] = false;
    knowsEnd[h] = persisted;
    polled[h * WORKERS] = false; polled[h * WORKERS + 1] = false;
#ifdef NO_WAIT
    takeoverWait[h * WORKERS] = 0; takeoverWait[h * WORKERS + 1] = 0;
#else
    takeoverWait[h * WORKERS] = TAKEOVER_WAIT; takeoverWait[h * WORKERS + 1] = TAKEOVER_WAIT;
#endif
    promisedLease[h * WORKERS] = 0; promisedLease[h * WORKERS + 1] = 0
  }
}

/* A poll: the worker stores the token and renews its lease, and the holder reads its inventory. */
inline poll(h, w) {
  atomic {
    CAN_ACT(h) ->
    if
    :: ACCEPTS(w, claimEpoch[h]) ->
      token[w] = claimEpoch[h]; polled[h * WORKERS + w] = true;
      if
      :: ended[w] -> knowsEnd[h] = true
      :: else
      fi;
      if
      :: running[w] ->
        assignedWorker[h] = w; confirmed[h] = true; lease[w] = LEASE; promisedLease[h * WORKERS + w] = LEASE + 1
      :: !running[w] && assignedWorker[h] == w && confirmed[h] -> clearAssignment(h, w)
      :: else
      fi
    :: else -> claimEpoch[h] = 0
    fi
  }
}

#ifdef NO_INITIAL_POLL
#define NO_OLD_RUNS(h, w) true
#else
#define NO_OLD_RUNS(h, w) (polled[(h) * WORKERS + (w)] || takeoverWait[(h) * WORKERS + (w)] == 0)
#endif

inline sendStart(h, w) {
  atomic {
    CAN_ACT(h) && assignedWorker[h] == NONE && !knowsEnd[h] && runNumber[h] + 1 < RUNS && polled[h * WORKERS + w] &&
      NO_OLD_RUNS(h, 0) && NO_OLD_RUNS(h, 1) ->
    runNumber[h]++; assignedWorker[h] = w; confirmed[h] = false;
    startDeadline[ORDER(claimEpoch[h], runNumber[h], w)] = LEASE; promisedLease[h * WORKERS + w] = LEASE + 1
  }
}

/* A worker executes a start, possibly with a delay. */
inline executeStart(e, r, w) {
  atomic {
    startDeadline[ORDER(e, r, w)] > 0 ->
    remaining = startDeadline[ORDER(e, r, w)]; startDeadline[ORDER(e, r, w)] = 0;
    if
    :: ACCEPTS(w, e) && RUN_ID(e, r) > highestRun[w] && !running[w] ->
      assert(!acknowledged);
      token[w] = e; highestRun[w] = RUN_ID(e, r); running[w] = true; lease[w] = (lease[w] > remaining -> lease[w] : remaining);
      assert(!(running[0] && running[1]))
    :: else
    fi
  }
}

/* A stop resolves an unconfirmed start, one without a reply. */
inline stopRun(h, w) {
  atomic {
    CAN_ACT(h) && assignedWorker[h] == w && !confirmed[h] ->
#ifdef NO_STOP
    clearAssignment(h, w)
#else
    if
    :: ACCEPTS(w, claimEpoch[h]) ->
      token[w] = claimEpoch[h]; running[w] = false;
      highestRun[w] = (highestRun[w] > RUN_ID(claimEpoch[h], runNumber[h]) -> highestRun[w] : RUN_ID(claimEpoch[h], runNumber[h]));
      if
      :: ended[w] -> knowsEnd[h] = true
      :: else
      fi;
      clearAssignment(h, w)
    :: else -> claimEpoch[h] = 0
    fi
#endif
  }
}

/* The lease of an unresponsive worker has expired, and so has a start that it has not executed. */
inline expireRun(h, w) {
  atomic {
    CAN_ACT(h) && assignedWorker[h] == w && promisedLease[h * WORKERS + w] == 0 ->
    clearAssignment(h, w)
  }
}

inline finishRun(w) { atomic { running[w] -> running[w] = false; ended[w] = true } }

inline persistEnd(h) { atomic { claimEpoch[h] > 0 && claimEpoch[h] == epoch && knowsEnd[h] -> persisted = true } }

inline acknowledgeEnd(h, w) {
  atomic {
#ifdef EARLY_ACK
    CAN_ACT(h) && knowsEnd[h] && ended[w] && ACCEPTS(w, claimEpoch[h]) ->
#else
    CAN_ACT(h) && knowsEnd[h] && persisted && ended[w] && ACCEPTS(w, claimEpoch[h]) ->
#endif
    acknowledged = acknowledged || !leaseExpired[w]; ended[w] = false; leaseExpired[w] = false
  }
}

#define DECREMENT(x) x = (x > 0 -> x - 1 : 0)

inline tick() {
  atomic {
    true ->
#ifndef NO_GRACE_END
    DECREMENT(grace[0]); DECREMENT(grace[1]);
#endif
    DECREMENT(lease[0]); DECREMENT(lease[1]);
    leaseExpired[0] = leaseExpired[0] || (ended[0] && lease[0] == 0);
    leaseExpired[1] = leaseExpired[1] || (ended[1] && lease[1] == 0);
    running[0] = running[0] && lease[0] > 0;
    running[1] = running[1] && lease[1] > 0;
    for (i : 0 .. ORDER(EPOCHS, RUNS - 1, 1)) { DECREMENT(startDeadline[i]) }
    i = 0;
    DECREMENT(takeoverWait[0]); DECREMENT(takeoverWait[1]); DECREMENT(takeoverWait[2]); DECREMENT(takeoverWait[3]);
    DECREMENT(promisedLease[0]); DECREMENT(promisedLease[1]); DECREMENT(promisedLease[2]); DECREMENT(promisedLease[3])
  }
}

active proctype cell() {
  byte h, w, e, r, i, remaining;
  do
  :: atomic {
      select(h : 0 .. HOSTS - 1); select(w : 0 .. WORKERS - 1);
      select(e : 1 .. EPOCHS); select(r : 1 .. RUNS - 1)
    };
    if
    :: claim(h)
    :: poll(h, w)
    :: sendStart(h, w)
    :: executeStart(e, r, w)
    :: stopRun(h, w)
    :: expireRun(h, w)
    :: finishRun(w)
    :: persistEnd(h)
    :: acknowledgeEnd(h, w)
    :: tick()
    fi;
    atomic { h = 0; w = 0; e = 0; r = 0; remaining = 0 }
  od
}
