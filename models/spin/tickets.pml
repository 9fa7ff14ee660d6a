/* Tickets: one ticket, minted by life 1 of its home. The home may crash, and a
 * successor (life 2, empty memory) may run beside the first, which is what
 * "cut off but not paused" looks like from here. Two requesters at two other
 * entries, two attempts each, which may crash, pause and wake at any time.
 *
 * The network is a set of messages: what was sent once may arrive at any time,
 * any number of times, in any order, or never. That covers loss, delay, copies
 * and partitions. No clock: nothing of this rests on timing.
 *
 * Checked: the request runs at most once, and whoever is told not_run is told
 * the truth. -DNO_GUARD_X takes guard X out.
 */
#define REQUESTERS 2
#define ATTEMPTS   2
#define AT(r, a)   ((r) * (ATTEMPTS + 1) + (a))
#define CELLS      (REQUESTERS * (ATTEMPTS + 1))
#define NOBODY     255

#ifdef NO_GUARD_TICKET_LIFE
#define GRANTS_LIFE(life) true
#else
#define GRANTS_LIFE(life) ((life) == 1) /* the life that the ticket names */
#endif

#ifdef NO_GUARD_RETIRED_ONLY
#define RELEASES(retired) true
#else
#define RELEASES(retired) (retired)
#endif

/* Messages ever sent, by requester and attempt. */
bool claim_sent[CELLS];
bool grant_sent[CELLS];
bool release_sent[CELLS];

byte runs = 0;
bool dead[REQUESTERS];

inline run_once()
{
  runs++;
  assert(runs <= 1)
}

proctype home(byte life)
{
  byte holder = NOBODY;
  bool mark_passed = false;
  byte r, a;
end:
  do
  :: atomic {
       select(r : 0 .. REQUESTERS - 1);
       select(a : 1 .. ATTEMPTS);
       if
       :: claim_sent[AT(r, a)] && GRANTS_LIFE(life) ->
          if
          :: holder == NOBODY && !mark_passed ->
             holder = AT(r, a);
             grant_sent[AT(r, a)] = true
#ifdef NO_GUARD_TICKET_ONCE
          :: holder != NOBODY -> grant_sent[AT(r, a)] = true
#endif
          :: holder == AT(r, a) -> grant_sent[AT(r, a)] = true
          :: else -> skip
          fi
       :: release_sent[AT(r, a)] ->
          if
#ifdef NO_GUARD_RELEASE_ATTEMPT
          /* It names its holder only. */
          :: holder != NOBODY && holder / (ATTEMPTS + 1) == r ->
             holder = NOBODY
#endif
          :: holder == AT(r, a) -> holder = NOBODY
          :: else -> skip
          fi
       :: else -> skip
       fi;
       r = 0; a = 0
     }
#ifdef NO_GUARD_HOLDER_GONE
  /* The claim of a holder that is gone passes on. */
  :: atomic {
       holder != NOBODY && dead[holder / (ATTEMPTS + 1)] -> holder = NOBODY
     }
#endif
  /* Memory is bounded: the claim is forgotten. */
  :: atomic {
       holder != NOBODY ->
       holder = NOBODY;
#ifndef NO_GUARD_TICKET_MARK
       mark_passed = true
#endif
     }
  :: break /* crash */
  od
}

proctype requester(byte me)
{
  byte attempt = 0;
  bool claiming = false;
  bool holding = false;
  bool retired[ATTEMPTS + 1];
  byte a;
end:
  do
  :: atomic {
       !claiming && !holding && attempt < ATTEMPTS ->
       attempt++;
       claim_sent[AT(me, attempt)] = true;
       claiming = true
     }
  :: atomic {
       claiming && grant_sent[AT(me, attempt)] ->
       claiming = false;
       holding = true
     }
  :: atomic { /* the caller is told may_have_run */
       claiming ->
       claiming = false;
       retired[attempt] = true;
       release_sent[AT(me, attempt)] = true
     }
#ifdef NO_GUARD_HOME_ONLY
  /* The home can't be reached: some other entry grants in its place. */
  :: atomic { claiming -> claiming = false; holding = true }
#endif
  :: atomic { /* dispatched, answered; its record is kept and not modelled */
       holding -> run_once();
#ifdef NO_GUARD_NEVER_RAN
       /* A failed dispatch is taken for one that never was. */
       retired[attempt] = true;
       release_sent[AT(me, attempt)] = true;
#endif
       break
     }
  :: atomic { /* the caller is told not_run */
       holding ->
       assert(runs == 0);
       holding = false;
       retired[attempt] = true;
       release_sent[AT(me, attempt)] = true
     }
  :: atomic { dead[me] = true; goto gone }
  od;
  /* After its end: late copies of grants still come. */
  do
  :: atomic {
       select(a : 1 .. ATTEMPTS);
       if
       :: grant_sent[AT(me, a)] && RELEASES(retired[a]) ->
          release_sent[AT(me, a)] = true
       :: else -> skip
       fi;
       a = 0
     }
  :: atomic { dead[me] = true; goto gone }
  :: break
  od;
gone:
  skip
}

init
{
  atomic {
    run home(1);
    run home(2);
    run requester(0);
    run requester(1)
  }
}
