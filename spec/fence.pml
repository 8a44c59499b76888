/*
 * Model of one task on workers that check fencing tokens. The holder of the newest claim, a
 * record in the store, is the leader; the epoch of the claim is the fencing token. The model
 * covers claims, appends under a claim, polls of the workers, delayed starts, stops, leases, and
 * results of ended runs, which a worker deletes after they are persisted and acknowledged.
 *
 * Any holder, any worker and the store may stop at any step, so pauses, partitions, crashes without
 * notice and outages need no transitions of their own; nor do orders and appends that are rejected.
 * A holder never learns of its successor: it may go on for as long as the rules let it, at any
 * workers. Each claim has a holder of its own, so a host that claims again is a holder that stopped
 * and a new one. Time advances in ticks at arbitrary moments; each timer is the number of ticks
 * that remain.
 *
 * Invariants: the task never runs on two workers at the same time, and it never starts after its
 * end was acknowledged, unless the lease of the worker on which it ended had expired before.
 * spec/check.sh explores the whole state space of the model, and searches each variant, from
 * which one rule is removed, for a counterexample. Each of these options removes the rule next to it:
 *
 *   NO_FENCE            a worker rejects orders with a token below the highest one that it received
 *   NO_AUTHORITY        a holder grants no lease that ends later than AUTHORITY ticks after its last append
 *   NO_CONFIRMATION     a run whose lease has expired counts as lost only after a later append
 *   NO_CONFIRMED_WAIT   the end of takeoverWait counts only after a later append
 *   NO_INITIAL_POLL     before a holder starts the task, each worker has replied to it or takeoverWait is over
 *   NO_WAIT             takeoverWait lasts AUTHORITY ticks from the last record of a former holder
 *   EARLY_ACK           a result is acknowledged only after it is persisted
 *   NO_ACK_TOKEN        a worker stores the token of an acknowledgement, which a poll carries
 *   NO_STOP             before another start, a start without a reply is stopped or expires
 */

#ifndef EPOCHS
#define EPOCHS 3
#endif
#define WORKERS 2
#define NONE WORKERS
/* A holder sends at most RUNS - 1 starts. */
#ifndef RUNS
#define RUNS 2
#endif
/* A run outlasts a tick, and so can be renewed after one, only if LEASE is at least 2. */
#ifndef LEASE
#define LEASE 2
#endif
#ifndef AUTHORITY
#define AUTHORITY 3
#endif
/* A start order is identified by its epoch, run and worker; a run by its epoch and number. */
#define ORDER(e, r, w) (((e) * RUNS + (r)) * WORKERS + (w))
#define RUN_ID(e, r) ((e) * RUNS + (r))
#define POLL(e, w) ((e) * WORKERS + (w))

/* The store. */
byte epoch = 0;        /* of the newest claim */
bool persisted;
byte lastRecord;       /* the time until AUTHORITY ticks have passed since the last claim or append */

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

/* The holders, each identified by the epoch of its claim. */
byte authority[EPOCHS + 1];               /* the remaining time for which it may grant leases */
byte assignedWorker[EPOCHS + 1] = NONE;   /* the worker on which the holder assumes the task to be */
byte runNumber[EPOCHS + 1];
bool confirmed[EPOCHS + 1];               /* a poll showed that the task runs on the assigned worker */
bool knowsEnd[EPOCHS + 1];
bool polled[POLL(EPOCHS + 1, 0)];         /* the worker has replied to a poll of this holder */
/* The remaining time until a worker without a reply cannot run tasks that former holders started,
 * and until the assigned worker cannot run what this holder started or renewed there. Each has a
 * flag: an append of this holder has succeeded after that time. */
byte takeoverWait[EPOCHS + 1];
bool waitOver[EPOCHS + 1];
byte promisedLease[EPOCHS + 1];
bool runLost[EPOCHS + 1];

#ifdef NO_FENCE
#define ACCEPTS(w, e) true
#else
#define ACCEPTS(w, e) (token[w] <= (e))
#endif
#define HAS_CLAIMED(e) ((e) <= epoch)
#define GRANT(e) (authority[e] < LEASE -> authority[e] : LEASE)

inline clearAssignment(e) {
  assignedWorker[e] = NONE; confirmed[e] = false; promisedLease[e] = 0; runLost[e] = false
}

/* The next holder claims. The claim counts as its first append. */
inline claim() {
  atomic {
    epoch < EPOCHS ->
    epoch++; knowsEnd[epoch] = persisted; authority[epoch] = AUTHORITY;
#ifndef NO_WAIT
    takeoverWait[epoch] = lastRecord;
#endif
    waitOver[epoch] = (takeoverWait[epoch] == 0);
    lastRecord = AUTHORITY
  }
}

/* An append succeeds only under the newest claim. It may carry the result of the task. */
inline append(e) {
  atomic {
    e == epoch ->
    authority[e] = AUTHORITY; lastRecord = AUTHORITY;
    waitOver[e] = (takeoverWait[e] == 0);
    runLost[e] = (assignedWorker[e] != NONE && promisedLease[e] == 0);
    if
    :: knowsEnd[e] -> persisted = true
    :: true
    fi
  }
}

/* A poll: the worker stores the token, and the holder reads its inventory and, while it has
 * authority, renews the lease. */
inline poll(e, w) {
  atomic {
    HAS_CLAIMED(e) && ACCEPTS(w, e) ->
    token[w] = e; polled[POLL(e, w)] = true;
    if
    :: ended[w] -> knowsEnd[e] = true
    :: else
    fi;
    if
    :: running[w] ->
      assignedWorker[e] = w; confirmed[e] = true;
      if
      :: authority[e] > 0 -> lease[w] = GRANT(e); promisedLease[e] = GRANT(e); runLost[e] = false
      :: else
      fi
    :: !running[w] && assignedWorker[e] == w && confirmed[e] -> clearAssignment(e)
    :: else
    fi
  }
}

#ifdef NO_INITIAL_POLL
#define NO_OLD_RUNS(e, w) true
#elif defined(NO_CONFIRMED_WAIT)
#define NO_OLD_RUNS(e, w) (polled[POLL(e, w)] || takeoverWait[e] == 0)
#else
#define NO_OLD_RUNS(e, w) (polled[POLL(e, w)] || waitOver[e])
#endif

inline sendStart(e, w) {
  atomic {
    HAS_CLAIMED(e) && authority[e] > 0 && assignedWorker[e] == NONE && !knowsEnd[e] && runNumber[e] + 1 < RUNS &&
      polled[POLL(e, w)] && NO_OLD_RUNS(e, 0) && NO_OLD_RUNS(e, 1) ->
    runNumber[e]++; assignedWorker[e] = w; confirmed[e] = false; runLost[e] = false;
    startDeadline[ORDER(e, runNumber[e], w)] = GRANT(e); promisedLease[e] = GRANT(e)
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
    fi;
    remaining = 0
  }
}

/* A stop resolves an unconfirmed start, one without a reply. */
inline stopRun(e, w) {
  atomic {
#ifdef NO_STOP
    HAS_CLAIMED(e) && assignedWorker[e] == w && !confirmed[e] ->
#else
    HAS_CLAIMED(e) && assignedWorker[e] == w && !confirmed[e] && ACCEPTS(w, e) ->
    token[w] = e; running[w] = false;
    highestRun[w] = (highestRun[w] > RUN_ID(e, runNumber[e]) -> highestRun[w] : RUN_ID(e, runNumber[e]));
    if
    :: ended[w] -> knowsEnd[e] = true
    :: else
    fi;
#endif
    clearAssignment(e)
  }
}

/* The lease of an unresponsive worker has expired, and so has a start that it has not executed. */
inline expireRun(e) {
  atomic {
    HAS_CLAIMED(e) && authority[e] > 0 && assignedWorker[e] != NONE &&
#ifdef NO_CONFIRMATION
      promisedLease[e] == 0 ->
#else
      runLost[e] ->
#endif
    clearAssignment(e)
  }
}

inline finishRun(w) { atomic { running[w] -> running[w] = false; ended[w] = true } }

inline acknowledgeEnd(e, w) {
  atomic {
#ifdef EARLY_ACK
    HAS_CLAIMED(e) && knowsEnd[e] && ended[w] && ACCEPTS(w, e) ->
#else
    HAS_CLAIMED(e) && knowsEnd[e] && persisted && ended[w] && ACCEPTS(w, e) ->
#endif
#ifndef NO_ACK_TOKEN
    token[w] = e;
#endif
    acknowledged = acknowledged || !leaseExpired[w]; ended[w] = false; leaseExpired[w] = false
  }
}

#define DECREMENT(x) x = (x > 0 -> x - 1 : 0)

inline tick() {
  d_step {
    DECREMENT(lease[0]); DECREMENT(lease[1]);
    leaseExpired[0] = leaseExpired[0] || (ended[0] && lease[0] == 0);
    leaseExpired[1] = leaseExpired[1] || (ended[1] && lease[1] == 0);
    running[0] = running[0] && lease[0] > 0;
    running[1] = running[1] && lease[1] > 0;
    DECREMENT(lastRecord);
    for (i : 0 .. ORDER(EPOCHS, RUNS - 1, 1)) { DECREMENT(startDeadline[i]) }
    for (i : 1 .. EPOCHS) {
#ifndef NO_AUTHORITY
      DECREMENT(authority[i]);
#endif
      DECREMENT(takeoverWait[i]); DECREMENT(promisedLease[i])
    }
    i = 0
  }
}

inline holderStep(e) {
  if
  :: append(e)
  :: poll(e, 0)
  :: poll(e, 1)
  :: sendStart(e, 0)
  :: sendStart(e, 1)
  :: stopRun(e, 0)
  :: stopRun(e, 1)
  :: expireRun(e)
  :: acknowledgeEnd(e, 0)
  :: acknowledgeEnd(e, 1)
  :: executeStart(e, 1, 0)
  :: executeStart(e, 1, 1)
#if RUNS > 2
  :: executeStart(e, 2, 0)
  :: executeStart(e, 2, 1)
#endif
  fi
}

#if EPOCHS < 2 || EPOCHS > 3 || RUNS < 2 || RUNS > 3
#error "holderStep and cell list the steps of 2 or 3 holders with 1 or 2 starts each"
#endif

active proctype cell() {
  byte i, remaining;
  do
  :: claim()
  :: finishRun(0)
  :: finishRun(1)
  :: tick()
  :: holderStep(1)
  :: holderStep(2)
#if EPOCHS > 2
  :: holderStep(3)
#endif
  od
}
