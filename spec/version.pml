/* Catalogue versions never decrease.
 *
 * Three nodes and a configuration service that may be stale or down. A version
 * counts as in force once two nodes have it, one of them ready. A node restarts
 * empty at any time, one at a time; it takes the highest version that the
 * service and its peers report, and is ready only after it has heard from its
 * peers. Then its version is not lower than the highest that a majority had in
 * force when it restarted.
 *
 * Faults: ADOPTANY, NOPEERS.
 */
#define N 3
#define MAX 3
byte published = 1, served = 1;
byte version[N] = 1;
bit ready[N] = 1;
byte heard[N] = 7; /* peers that the node has heard from, as bits */
byte peak_at_restart[N] = 1; /* value of peak when the node restarted */
byte peak = 1; /* the highest version that a majority has had in force */

#ifdef ADOPTANY
#define TAKES(n, v) (version[n] != (v))
#else
#define TAKES(n, v) (version[n] < (v))
#endif
#ifdef NOPEERS
#define READY(n) true
#else
#define READY(n) ((heard[n] | (1 << n)) == 7)
#endif
#define MAJORITY_HAS(v) ((version[0] >= v) + (version[1] >= v) + (version[2] >= v) >= 2)
#define UPDATE_PEAK if :: MAJORITY_HAS(published) -> peak = published :: else fi
#define PEER(n, m) \
  :: atomic { ready[m] && (TAKES(n, version[m]) || !((heard[n] >> m) & 1)) -> heard[n] = heard[n] | (1 << m); \
     if :: TAKES(n, version[m]) -> version[n] = version[m] :: else fi; UPDATE_PEAK }
#define NODE(n) \
  PEER(n, (n + 1) % N) PEER(n, (n + 2) % N) \
  :: atomic { TAKES(n, served) -> before = version[n]; version[n] = served; UPDATE_PEAK; \
     assert(!ready[n] || version[n] >= before) } \
  :: atomic { !ready[n] && version[n] > 0 && READY(n) -> ready[n] = 1; assert(version[n] >= peak_at_restart[n]) } \
  :: atomic { ready[0] && ready[1] && ready[2] -> version[n] = 0; ready[n] = 0; heard[n] = 0; peak_at_restart[n] = peak }

active proctype fleet() {
  byte before;
  do
  NODE(0) NODE(1) NODE(2)
  :: atomic { published < MAX && MAJORITY_HAS(published) -> published++ }
  :: atomic { served = 1 } /* stale */
  :: atomic { served = published }
  od
}
