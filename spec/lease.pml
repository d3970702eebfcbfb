/* The sum of the cold limits that all homes use stays within the cold limit.
 *
 * LENDERS lenders, one of which is replaced by a new host in a change of the
 * host list, and two homes. Time passes in ticks; a lease lasts T ticks from
 * the time when the home sent the heartbeat that the lender echoes. Messages
 * may be lost or delayed for any time, so that an offer may have any number of
 * ticks left. A lender may restart, and may at any time consider any host to be
 * the home.
 *
 * Faults: NOWAIT, NOSTART, RECEIPT, NOPLUS.
 */
#define LENDERS 2
#define HOSTS 3 /* lender 2 replaces lender 0 under the new list */
#define T 2
#ifndef COLD
#define COLD 3
#endif
#define INDEX(h, l) ((h) * HOSTS + (l))

byte offer[2 * HOSTS]; /* ticks left of a lease that l has sent to h */
byte lease[2 * HOSTS]; /* ticks left of the lease that h holds from l */
byte lent_to[HOSTS];    /* 0, or 1 + the home that l has lent its share to */
byte lent_ticks[HOSTS]; /* ticks in which l must not lend to another home */
bit home_has_new[2];    /* h has the new list */
bit lender_has_new[HOSTS]; /* l has the new list */
byte restarts;

#define LENDS(l, has_new) (has_new -> (l) != 0 : (l) != 2)
#ifdef NOPLUS
#define SHARE(h) (COLD * HELD(h) / LENDERS)
#else
/* If a home has the leases of all lenders, only the share of the replaced lender
 * can be lent to the other home. */
#define SHARE(h) (HELD(h) == LENDERS -> COLD - COLD / (LENDERS + 1) : COLD * HELD(h) / (LENDERS + 1))
#endif
#define COUNTS(h, l) (lease[INDEX(h, l)] > 0 && LENDS(l, home_has_new[h]))
#define HELD(h) (COUNTS(h, 0) + COUNTS(h, 1) + COUNTS(h, 2))
#ifdef NOWAIT
#define FREE(l, h) true
#else
#define FREE(l, h) (lent_to[l] == 1 + h || lent_ticks[l] == 0)
#endif
#ifdef NOSTART
#define AWAIT_OLD_LEASE(l) lent_ticks[l] = 0
#else
#define AWAIT_OLD_LEASE(l) lent_ticks[l] = T
#endif
#ifdef RECEIPT
#define LEASE_TICKS(h, l) T
#else
#define LEASE_TICKS(h, l) offer[INDEX(h, l)]
#endif

#define PAIR(h, l) \
  :: atomic { LENDS(l, lender_has_new[l]) && FREE(l, h) -> \
     lent_to[l] = 1 + h; lent_ticks[l] = T; \
     if :: lender_has_new[l] == home_has_new[h] -> \
       if :: offer[INDEX(h, l)] < T -> offer[INDEX(h, l)] = T :: offer[INDEX(h, l)] < 1 -> offer[INDEX(h, l)] = 1 :: else fi \
     :: else fi } \
  :: atomic { offer[INDEX(h, l)] > 0 && lease[INDEX(h, l)] < LEASE_TICKS(h, l) -> lease[INDEX(h, l)] = LEASE_TICKS(h, l) }
#define LENDER(l) \
  PAIR(0, l) PAIR(1, l) \
  :: atomic { !lender_has_new[l] -> lender_has_new[l] = 1; if :: l == 2 -> AWAIT_OLD_LEASE(l) :: else fi } \
  :: atomic { restarts == 0 -> restarts++; lent_to[l] = 0; AWAIT_OLD_LEASE(l); skip }
#define HOME(h) \
  :: atomic { !home_has_new[h] -> home_has_new[h] = 1; \
     lease[INDEX(h, 0)] = 0; lease[INDEX(h, 1)] = 0; lease[INDEX(h, 2)] = 0; \
     offer[INDEX(h, 0)] = 0; offer[INDEX(h, 1)] = 0; offer[INDEX(h, 2)] = 0 }
#define DECREMENT(x) if :: x > 0 -> x-- :: else fi
#define AGE_LEASES(h, l) DECREMENT(offer[INDEX(h, l)]); DECREMENT(lease[INDEX(h, l)])

active proctype fleet() {
  do
  LENDER(0) LENDER(1) LENDER(2)
  HOME(0) HOME(1)
  :: atomic { /* a tick */
     AGE_LEASES(0, 0); AGE_LEASES(0, 1); AGE_LEASES(0, 2);
     AGE_LEASES(1, 0); AGE_LEASES(1, 1); AGE_LEASES(1, 2);
     DECREMENT(lent_ticks[0]); DECREMENT(lent_ticks[1]); DECREMENT(lent_ticks[2]) }
  :: atomic { SHARE(0) + SHARE(1) > COLD -> assert(false) }
  od
}
