/* No new work after a data centre was taken out of service.
 *
 * Three nodes. Node 0 learns that the target is taken out when this is
 * published, node 1 at any time after that, and node 2 from their heartbeats.
 * Node 2 sends new work to the target only while its view is fresh: it has
 * recent proof that a majority had nothing newer. The proof is the echo of its
 * own heartbeat, so the age of the proof is counted from when the echo was sent
 * or earlier. Time passes in ticks, and a node may be paused for any number of
 * them between two of its steps; messages may be delayed.
 *
 * A node must not write new work to the target WINDOW ticks after the take-out
 * is in force at a majority, plus one tick for the check right before the
 * write.
 *
 * Faults: RECEIPT, ONEPEER, NOEXPIRY, NOVERSIONS.
 */
#define N 3
#define WINDOW 2
#define NEVER 3

bit taken_out[N]; /* the take-out is in force at the node */
byte since; /* ticks since it is in force at a majority, up to WINDOW + 2 */
byte echo_age[2] = NEVER; /* age of the echo of b on its way to node 2 */
bit echo_taken_out[2]; /* the take-out was in force at b when b sent the echo */
byte proof_age[2] = NEVER; /* age of the proof that node 2 has from b */
bit knows_taken_out[2]; /* node 2 knows that the take-out is in force at b */
bit planned; /* node 2 has decided to dispatch a request to the target */
byte ticks_left; /* ticks until that decision expires */

#ifdef ONEPEER
#define QUORUM 1
#else
#define QUORUM 2
#endif
#ifdef NOVERSIONS
#define PROVES(b) (proof_age[b] < WINDOW)
#else
#define PROVES(b) (proof_age[b] < WINDOW && (taken_out[2] || !knows_taken_out[b]))
#endif
#define FRESH (1 + PROVES(0) + PROVES(1) >= QUORUM)
#ifdef RECEIPT
#define RECEIVED_AGE(b) 0
#define RECEIVABLE(b) true
#else
#define RECEIVED_AGE(b) echo_age[b]
#define RECEIVABLE(b) (echo_age[b] < NEVER)
#endif
#ifdef NOEXPIRY
#define WRITES planned
#else
#define WRITES (planned && ticks_left > 0)
#endif
#define MAJORITY (taken_out[0] + taken_out[1] + taken_out[2] >= 2)
#define INCREMENT(x) if :: x < NEVER -> x++ :: else fi
#define DECREMENT(x) if :: x > 0 -> x-- :: else fi

#define EXCHANGE(a, b) \
  :: atomic { echo_age[b] > 0 || echo_taken_out[b] != taken_out[b] -> echo_age[b] = 0; echo_taken_out[b] = taken_out[b] } \
  :: atomic { RECEIVABLE(b) -> \
     if :: RECEIVED_AGE(b) < proof_age[b] -> proof_age[b] = RECEIVED_AGE(b) :: else fi; \
     if :: echo_taken_out[b] -> knows_taken_out[b] = 1 :: else fi } \
  :: atomic { knows_taken_out[b] && !taken_out[a] -> taken_out[a] = 1; planned = 0 }
#define AGE_MESSAGES(b) INCREMENT(echo_age[b]); INCREMENT(proof_age[b])

active proctype fleet() {
  do
  EXCHANGE(2, 0)
  EXCHANGE(2, 1)
  :: atomic { !taken_out[2] && !planned && FRESH -> planned = 1; ticks_left = 1 }
  :: atomic { WRITES && !taken_out[2] -> planned = 0; assert(since <= WINDOW) }
  :: atomic { !taken_out[0] -> taken_out[0] = 1 }
  :: atomic { taken_out[0] && !taken_out[1] -> taken_out[1] = 1 }
  :: atomic { /* a tick */
     AGE_MESSAGES(0); AGE_MESSAGES(1);
     DECREMENT(ticks_left);
     if :: MAJORITY && since < WINDOW + 2 -> since++ :: else fi }
  od
}
