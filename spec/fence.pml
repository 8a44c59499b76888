/*
 * One task on workers that keep a fencing token: claims, looks, starts that are carried out
 * late, stops, leases, and ends that are forgotten once they are kept.
 *
 * Nothing forces a host, a worker or the store to take its next step, so freezes, cuts,
 * deaths without a word and outages need no steps of their own. Time passes in ticks,
 * whenever it likes; each timer is the time that is left. One assumption is a timer too: a
 * holder that a worker or the store has not told of its successor acts for at most GRACE
 * ticks after the claim.
 *
 * The invariants: the task never runs at two workers, and never starts after its end was
 * acknowledged, unless the lease of the worker where it ended had lapsed. spec/check.sh runs this to the end of its state space, and each variant, with
 * a rule taken out, until its counterexample.
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
#define WAIT (LEASE + GRACE + 1)
/* Orders are named by epoch, run and worker. */
#define ORDER(e, r, w) (((e) * RUNS + (r)) * WORKERS + (w))
#define HIGH(e, r) ((e) * RUNS + (r))

/* The store. */
byte epoch = 0;
bool kept;

/* The workers. */
byte token[WORKERS];
byte lease[WORKERS];
byte highest[WORKERS];
bool running[WORKERS];
bool ended[WORKERS];
bool stale[WORKERS];   /* the lease lapsed after the end, so nobody could rely on it */
bool acknowledged;

/* Starts that were sent and not carried out yet: what is left until their deadline. A start
 * past it is refused, so it counts as none. */
byte sent[ORDER(EPOCHS + 1, 0, 0)];

/* The hosts. */
byte mine[HOSTS];
byte grace[HOSTS];
byte at[HOSTS] = NONE;      /* where the holder takes the task to be */
byte number[HOSTS];
bool answered[HOSTS];
bool knowsEnd[HOSTS];
bool synced[HOSTS * WORKERS];
byte wait[HOSTS * WORKERS];    /* until a worker that was not heard can run nothing of others */
byte promised[HOSTS * WORKERS]; /* until a worker can run nothing of this holder */

#ifdef NO_FENCE
#define OBEYS(w, e) true
#else
#define OBEYS(w, e) (token[w] <= (e))
#endif
#define ACTS(h) (mine[h] > 0 && (mine[h] == epoch || grace[h] > 0))

inline settled(h, w) { at[h] = NONE; answered[h] = false }

inline claim(h) {
  atomic {
    epoch < EPOCHS ->
    grace[0] = (mine[0] > 0 && mine[0] == epoch -> GRACE : grace[0]);
    grace[1] = (mine[1] > 0 && mine[1] == epoch -> GRACE : grace[1]);
    epoch++; mine[h] = epoch; at[h] = NONE; number[h] = 0; answered[h] = false;
    knowsEnd[h] = kept;
    synced[h * WORKERS] = false; synced[h * WORKERS + 1] = false;
#ifdef NO_WAIT
    wait[h * WORKERS] = 0; wait[h * WORKERS + 1] = 0;
#else
    wait[h * WORKERS] = WAIT; wait[h * WORKERS + 1] = WAIT;
#endif
    promised[h * WORKERS] = 0; promised[h * WORKERS + 1] = 0
  }
}

/* A look: the worker takes the token, its lease is renewed, and its lists are read. */
inline look(h, w) {
  atomic {
    ACTS(h) ->
    if
    :: OBEYS(w, mine[h]) ->
      token[w] = mine[h]; synced[h * WORKERS + w] = true;
      if
      :: ended[w] -> knowsEnd[h] = true
      :: else
      fi;
      if
      :: running[w] ->
        at[h] = w; answered[h] = true; lease[w] = LEASE; promised[h * WORKERS + w] = LEASE + 1
      :: !running[w] && at[h] == w && answered[h] -> settled(h, w)
      :: else
      fi
    :: else -> mine[h] = 0
    fi
  }
}

#ifdef NO_SYNC
#define CLEAR(h, w) true
#else
#define CLEAR(h, w) (synced[(h) * WORKERS + (w)] || wait[(h) * WORKERS + (w)] == 0)
#endif

inline start(h, w) {
  atomic {
    ACTS(h) && at[h] == NONE && !knowsEnd[h] && number[h] + 1 < RUNS && synced[h * WORKERS + w] &&
      CLEAR(h, 0) && CLEAR(h, 1) ->
    number[h]++; at[h] = w; answered[h] = false;
    sent[ORDER(mine[h], number[h], w)] = LEASE; promised[h * WORKERS + w] = LEASE + 1
  }
}

/* A worker carries a start out, now or later. */
inline carry(e, r, w) {
  atomic {
    sent[ORDER(e, r, w)] > 0 ->
    left = sent[ORDER(e, r, w)]; sent[ORDER(e, r, w)] = 0;
    if
    :: OBEYS(w, e) && HIGH(e, r) > highest[w] && !running[w] ->
      assert(!acknowledged);
      token[w] = e; highest[w] = HIGH(e, r); running[w] = true; lease[w] = (lease[w] > left -> lease[w] : left);
      assert(!(running[0] && running[1]))
    :: else
    fi
  }
}

/* A start that was not answered is settled by a stop. */
inline stop(h, w) {
  atomic {
    ACTS(h) && at[h] == w && !answered[h] ->
#ifdef NO_STOP
    settled(h, w)
#else
    if
    :: OBEYS(w, mine[h]) ->
      token[w] = mine[h]; running[w] = false;
      highest[w] = (highest[w] > HIGH(mine[h], number[h]) -> highest[w] : HIGH(mine[h], number[h]));
      if
      :: ended[w] -> knowsEnd[h] = true
      :: else
      fi;
      settled(h, w)
    :: else -> mine[h] = 0
    fi
#endif
  }
}

/* A silent worker has lapsed, and so has a start that it has not carried out. */
inline lapse(h, w) {
  atomic {
    ACTS(h) && at[h] == w && promised[h * WORKERS + w] == 0 ->
    settled(h, w)
  }
}

inline finish(w) { atomic { running[w] -> running[w] = false; ended[w] = true } }

inline keep(h) { atomic { mine[h] > 0 && mine[h] == epoch && knowsEnd[h] -> kept = true } }

inline acknowledge(h, w) {
  atomic {
#ifdef EARLY_ACK
    ACTS(h) && knowsEnd[h] && ended[w] && OBEYS(w, mine[h]) ->
#else
    ACTS(h) && knowsEnd[h] && kept && ended[w] && OBEYS(w, mine[h]) ->
#endif
    acknowledged = acknowledged || !stale[w]; ended[w] = false; stale[w] = false
  }
}

#define DOWN(x) x = (x > 0 -> x - 1 : 0)

inline tick() {
  atomic {
    true ->
#ifndef NO_GRACE_END
    DOWN(grace[0]); DOWN(grace[1]);
#endif
    DOWN(lease[0]); DOWN(lease[1]);
    stale[0] = stale[0] || (ended[0] && lease[0] == 0);
    stale[1] = stale[1] || (ended[1] && lease[1] == 0);
    running[0] = running[0] && lease[0] > 0;
    running[1] = running[1] && lease[1] > 0;
    for (i : 0 .. ORDER(EPOCHS, RUNS - 1, 1)) { DOWN(sent[i]) }
    i = 0;
    DOWN(wait[0]); DOWN(wait[1]); DOWN(wait[2]); DOWN(wait[3]);
    DOWN(promised[0]); DOWN(promised[1]); DOWN(promised[2]); DOWN(promised[3])
  }
}

active proctype cell() {
  byte h, w, e, r, i, left;
  do
  :: atomic {
      select(h : 0 .. HOSTS - 1); select(w : 0 .. WORKERS - 1);
      select(e : 1 .. EPOCHS); select(r : 1 .. RUNS - 1)
    };
    if
    :: claim(h)
    :: look(h, w)
    :: start(h, w)
    :: carry(e, r, w)
    :: stop(h, w)
    :: lapse(h, w)
    :: finish(w)
    :: keep(h)
    :: acknowledge(h, w)
    :: tick()
    fi;
    atomic { h = 0; w = 0; e = 0; r = 0; left = 0 }
  od
}
