/* A key runs at most once while the host list changes.
 *
 * Five hosts and three lists, under which the key has different witnesses. A
 * host adopts lists at any time and may skip some; it may stop at any time. Two
 * coordinators, on other hosts, send claims: the first one under lists 1 and 2,
 * the second one under lists 2 and 3. A grant may arrive at any time.
 *
 * Faults: NOVERSION, NOPULL, NOLEARN, CLOSEEARLY.
 */
#define N 5
#define LISTS 3
/* Witnesses of the key under the lists, as bits. */
#define W1 7  /* hosts 0 1 2 */
#define W2 28 /* hosts 2 3 4 */
#define W3 19 /* hosts 0 1 4 */
#define WITNESSES(v) ((v) == 1 -> W1 : ((v) == 2 -> W2 : W3))
#define IN(n, set) (((set) >> (n)) & 1)
#define AT_LEAST_TWO(set) ((set) & ((set) - 1))
#define CONTESTED 3

byte version[N] = 1; /* list in force */
byte seen[N] = 1;    /* lists that the host knows to have been adopted, as bits */
byte closed[N] = 1;  /* records under lists before this one need not be pulled */
byte record[N];      /* 0, or 1 + the coordinator, or CONTESTED */
byte received[N];    /* hosts whose records the host has received, as bits */
bit covers[N];
byte covered_by[LISTS + 1]; /* hosts that cover the key under a list, as bits */
byte grant[2 * (LISTS + 1)];
bit has_run[2];

/* n has the records of enough witnesses under list v, or needs none. */
#define SETTLED(n, v) \
  (version[n] <= (v) || closed[n] > (v) || !(seen[n] & (1 << ((v) - 1))) || \
   AT_LEAST_TWO((received[n] | (1 << (n))) & WITNESSES(v)))
/* The list in force was closed before n knew the claims under it. */
#define BEHIND(n) (closed[n] == version[n] && !AT_LEAST_TWO(received[n] & WITNESSES(version[n])))

#define ADOPT(n, v) \
  :: atomic { version[n] < (v) -> \
     seen[n] = seen[n] | (1 << ((v) - 1)); version[n] = (v); received[n] = 0; covers[n] = 0 }
#ifdef NOLEARN
#define LEARN(n, u) skip
#else
#define LEARN(n, u) seen[n] = seen[n] | seen[u]
#endif
#define PULL(n, u) \
  :: atomic { n != u && version[n] > 1 && IN(n, WITNESSES(version[n])) && !covers[n] && version[u] == version[n] && !IN(u, received[n]) -> \
     received[n] = received[n] | (1 << u); LEARN(n, u); \
     if :: closed[u] > closed[n] -> closed[n] = closed[u] :: else fi; \
     if :: record[u] == 0 || record[u] == record[n] :: record[u] != 0 && record[n] == 0 -> record[n] = record[u] \
        :: record[u] != 0 && record[n] != 0 && record[u] != record[n] -> record[n] = CONTESTED fi }
#ifdef NOPULL
#define KNOWS_CLAIMS(n) true
#else
#define KNOWS_CLAIMS(n) (SETTLED(n, 1) && SETTLED(n, 2) && !BEHIND(n))
#endif
#define COVER(n) \
  :: atomic { IN(n, WITNESSES(version[n])) && !covers[n] && KNOWS_CLAIMS(n) -> \
     covers[n] = 1; covered_by[version[n]] = covered_by[version[n]] | (1 << n) }
#ifdef CLOSEEARLY
#define CAN_CLOSE(set) (set)
#else
#define CAN_CLOSE(set) AT_LEAST_TWO(set)
#endif
#define CLOSE(n) :: atomic { closed[n] < version[n] && CAN_CLOSE(covered_by[version[n]]) -> closed[n] = version[n] }
#ifdef NOVERSION
#define MAY_VOTE(w, v) (version[w] >= (v))
#else
#define MAY_VOTE(w, v) (version[w] == (v))
#endif
#define VOTE(w, x, v) \
  :: atomic { IN(w, WITNESSES(v)) && MAY_VOTE(w, v) && (covers[w] || version[w] > (v)) && !IN(w, grant[x * 4 + v]) && \
     (record[w] == 0 || record[w] == 1 + x) -> \
     record[w] = 1 + x; grant[x * 4 + v] = grant[x * 4 + v] | (1 << w) }
#define HOST(n) \
  ADOPT(n, 2) ADOPT(n, 3) \
  PULL(n, 0) PULL(n, 1) PULL(n, 2) PULL(n, 3) PULL(n, 4) COVER(n) CLOSE(n) \
  VOTE(n, 0, 1) VOTE(n, 0, 2) VOTE(n, 1, 2) VOTE(n, 1, 3)
#define RUN(x, v) :: atomic { !has_run[x] && AT_LEAST_TWO(grant[x * 4 + v]) -> has_run[x] = 1; assert(!has_run[1 - x]) }

active proctype fleet() {
  do
  HOST(0) HOST(1) HOST(2) HOST(3) HOST(4)
  RUN(0, 1) RUN(0, 2) RUN(1, 2) RUN(1, 3)
  od
}
