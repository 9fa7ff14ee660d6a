/* Callers' own keys: one key whose home slot A is given from process 1 to its
 * successor 2 while process 1 goes on, cut off or not. Peers B and D sit in the
 * two other slots; each is a requester too, and the caller sends the key to
 * both within the retry window.
 *
 * Time passes in ticks without end; what the model keeps are ages, counted up
 * to where they no longer matter. All clocks run alike. Every process may stop
 * at any point for any time, or for good: that is a pause, a late wake or a
 * crash. A message that was sent may arrive at any time, any number of times,
 * or never: delay, copies, loss, partition. A beat's answer that was under way
 * for long is only worth the time at which the beat was sent (BEAT_ECHO), so
 * beats are modelled as exchanged at once or lost.
 *
 * Checked: the key runs at most once. -DNO_GUARD_X takes guard X out.
 * -DPLATFORM_LIST: the lease condition is a reading of the platform's list
 * that is at most LAG ticks behind. -DPEER_RESTARTS: each peer may once be
 * replaced by a process that remembers nothing. Releases and attempts are in
 * tickets.pml: the home's table is the same.
 */
#define LEASE  1
#define WINDOW 1 /* a caller repeats its key so long after it first sent it */
#ifdef PEER_RESTARTS
#define AGE    0 /* kept small, for that run has the most states */
#else
#define AGE    1 /* and a request may be so old when it claims */
#endif
#define SPAN   (WINDOW + AGE + LEASE)
#define LAG    1

#ifdef PLATFORM_LIST
#ifdef NO_GUARD_LIST_LAG
#define WAIT LEASE
#else
#define WAIT (LEASE + LAG)
#endif
#else
#ifdef NO_GUARD_MEMORY_START
#define WAIT 0
#else
#define WAIT LEASE
#endif
#endif

#define LONG   (WAIT + SPAN + 1) /* no age matters beyond */
#define NOBODY 7

#define HOME(h, p) ((h) * 2 + (p))

bool dated; /* the key shows when it was made */
bool born;
byte since_born;
byte runs;

/* Peers and requesters, by slot. */
bool knows[2]; /* has heard of process 2 */
bit life[2];
bool begun[2], asked[2], ran[2];
byte since_begun[2], since_asked[2];

/* Homes: 0 is process 1, 1 is its successor. */
bool heard[4];
byte since_heard[4];
bit heard_life[4];
byte holder[2] = NOBODY; /* slot + 2 * life of the requester */
byte since_granted[2];
bool superseded;
bool first; /* the successor has been confirmed */
byte since_first;
bit witness[2]; /* lives by which it was confirmed */

/* The list. */
bool listed;
byte since_listed;
bool read[2];
byte since_read[2];

/* Messages ever sent, by requester's slot + 2 * life, and home. */
bool claim_sent[4];
bool grant_sent[8];

#ifdef NO_GUARD_LEASE_EXPIRY
#define FRESH(known, age) (known)
#else
#define FRESH(known, age) ((known) && (age) <= LEASE)
#endif

#ifdef NO_GUARD_WITNESS
#define SAME_LIFE(h, p) true
#else
/* Process 1 was confirmed by the first lives of both. */
#define SAME_LIFE(h, p) (heard_life[HOME(h, p)] == (h == 0 -> 0 : witness[p]))
#endif

#define COUNTS(h, p) \
  (FRESH(heard[HOME(h, p)], since_heard[HOME(h, p)]) && \
   (!first && h == 1 || SAME_LIFE(h, p)))

#ifdef PLATFORM_LIST
#define CONFIRMED(h) FRESH(read[h], since_read[h])
#else
#ifdef NO_GUARD_OTHER_SLOTS
#define CONFIRMED(h) (COUNTS(h, 0) || COUNTS(h, 1)) /* own slot counted */
#else
#define CONFIRMED(h) (COUNTS(h, 0) && COUNTS(h, 1))
#endif
#endif

/* Does the home's memory reach back to the key's first use? Process 1 has run
 * for long. */
#ifdef NO_GUARD_KEY_AGE
#define COVERED(h) true
#else
#define COVERED(h) (h == 0 || \
  (dated && since_first > since_born + WAIT) || since_first > WAIT + SPAN)
#endif

#ifdef NO_GUARD_CLAIM_SPAN
#define FORGETTABLE(h) true
#else
#define FORGETTABLE(h) (since_granted[h] > SPAN)
#endif

#ifdef NO_GUARD_CLAIM_AGE
#define MAY_CLAIM(p) true
#else
#define MAY_CLAIM(p) (since_begun[p] <= AGE)
#endif

#ifdef NO_GUARD_GRANT_LEASE
#define MAY_DISPATCH(p) true
#else
#define MAY_DISPATCH(p) (since_asked[p] <= LEASE)
#endif

#define GRANTS(h) (CONFIRMED(h) && COVERED(h) && \
  (h == 0 -> !superseded : first && since_first >= WAIT))

inline older(age) { if :: age < LONG -> age++ :: else fi }

inline confirm()
{
  if
  :: !first && CONFIRMED(1) ->
     first = true; since_first = 0;
     witness[0] = heard_life[HOME(1, 0)];
     witness[1] = heard_life[HOME(1, 1)]
  :: else
  fi
}

active proctype clock()
{
end:
  do
  :: d_step {
       true ->
       if :: born && (dated || since_born <= WINDOW) -> older(since_born)
       :: else fi;
       if :: first -> older(since_first) :: else fi;
       if :: listed && since_listed <= LAG -> since_listed++ :: else fi;
       byte i = 0;
       do
       :: i < 4 ->
          if
          :: heard[i] && since_heard[i] < LEASE -> since_heard[i]++
#ifndef NO_GUARD_LEASE_EXPIRY
          /* What no longer counts is as if it had never been. */
          :: heard[i] && since_heard[i] == LEASE ->
             heard[i] = false; since_heard[i] = 0; heard_life[i] = 0
#endif
          :: else
          fi;
          i++
       :: else -> break
       od;
       i = 0;
       do
       :: i < 2 ->
          if :: begun[i] && !ran[i] && since_begun[i] <= AGE -> since_begun[i]++
          :: else fi;
          if
          :: asked[i] && since_asked[i] < LEASE -> since_asked[i]++
#ifndef NO_GUARD_GRANT_LEASE
          :: asked[i] && since_asked[i] == LEASE ->
             asked[i] = false; since_asked[i] = 0
#else
          :: asked[i] && since_asked[i] == LEASE -> since_asked[i]++
#endif
          :: else
          fi;
          if
          :: read[i] && since_read[i] < LEASE -> since_read[i]++
          :: read[i] && since_read[i] == LEASE ->
             read[i] = false; since_read[i] = 0
          :: else
          fi;
#ifndef PEER_RESTARTS
          if :: holder[i] != NOBODY && since_granted[i] <= SPAN ->
                since_granted[i]++
          :: else fi;
#endif
          i++
       :: else -> break
       od;
       i = 0
     }
  od
}

/* A home h exchanges a beat with peer p. */
inline beat(h, p)
{
  d_step {
    true ->
    if
    :: h == 1 -> knows[p] = true
    :: else
    fi;
#ifndef NO_GUARD_SUPERSEDED
    if
    :: h == 0 && knows[p] -> superseded = true
    :: else ->
#endif
       heard[HOME(h, p)] = true;
       since_heard[HOME(h, p)] = 0;
       heard_life[HOME(h, p)] = life[p];
#ifndef NO_GUARD_SUPERSEDED
    fi;
#endif
    if :: h == 1 -> confirm() :: else fi
  }
}

inline decide(h, asker)
{
  d_step {
    claim_sent[asker] ->
    if
    :: holder[h] == NOBODY && GRANTS(h) ->
       holder[h] = asker;
       since_granted[h] = 0;
       grant_sent[h * 4 + asker] = true
    :: holder[h] == asker -> grant_sent[h * 4 + asker] = true
    :: else
    fi
  }
}

inline forget(h)
{
  d_step {
    holder[h] != NOBODY && FORGETTABLE(h) ->
    holder[h] = NOBODY; since_granted[h] = 0
  }
}

active proctype process_1()
{
end:
  do
#ifndef PLATFORM_LIST
  :: beat(0, 0)
  :: beat(0, 1)
#endif
#ifdef NO_GUARD_BEAT_ECHO
  /* An answer of before the successor's time arrives only now. */
  :: d_step { true -> heard[HOME(0, 0)] = true; since_heard[HOME(0, 0)] = 0 }
  :: d_step { true -> heard[HOME(0, 1)] = true; since_heard[HOME(0, 1)] = 0 }
#endif
#ifdef PLATFORM_LIST
  :: d_step {
       !listed || since_listed <= LAG -> read[0] = true; since_read[0] = 0
     }
#endif
  :: decide(0, 0)
  :: decide(0, 1)
#ifdef PEER_RESTARTS
  :: decide(0, 2)
  :: decide(0, 3)
#endif
#ifndef PEER_RESTARTS
  :: forget(0)
#endif
  od
}

active proctype process_2()
{
end:
  do
#ifndef PLATFORM_LIST
  :: beat(1, 0)
  :: beat(1, 1)
#endif
#ifdef PLATFORM_LIST
  :: d_step { !listed -> listed = true; since_listed = 0 }
  :: d_step {
       listed -> read[1] = true; since_read[1] = 0; confirm()
     }
#endif
  :: decide(1, 0)
  :: decide(1, 1)
#ifdef PEER_RESTARTS
  :: decide(1, 2)
  :: decide(1, 3)
#endif
#ifndef PEER_RESTARTS
  :: forget(1)
#endif
  od
}

#define ME (p + 2 * life[p])

inline requester(p)
{
end:
  do
  /* The caller makes its key, with or without the time in it. */
  :: d_step { !born -> born = true; begun[p] = true; dated = true }
#ifndef PEER_RESTARTS
  :: d_step { !born -> born = true; begun[p] = true }
#endif
  :: d_step { /* and sends it again */
       born && !begun[p] && since_born <= WINDOW -> begun[p] = true
     }
  :: d_step { /* claims, or asks again */
       begun[p] && !ran[p] && (!asked[p] || since_asked[p] > 0) && MAY_CLAIM(p) ->
       claim_sent[ME] = true;
       asked[p] = true;
       since_asked[p] = 0
     }
  :: d_step {
       asked[p] && (grant_sent[ME] || grant_sent[4 + ME]) && MAY_DISPATCH(p) ->
       runs++;
       assert(runs <= 1);
       /* It keeps its record: no second run of its own. */
       ran[p] = true; since_begun[p] = 0;
       asked[p] = false; since_asked[p] = 0
     }
#ifdef PEER_RESTARTS
  :: d_step {
       life[p] == 0 && knows[p] ->
       life[p] = 1; knows[p] = false; ran[p] = false;
       begun[p] = false; since_begun[p] = 0;
       asked[p] = false; since_asked[p] = 0
     }
#endif
  od
}

active proctype peer_b() { requester(0) }
active proctype peer_d() { requester(1) }
