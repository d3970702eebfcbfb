/* Progress after faults have ended.
 *
 * Two coordinators contend for one key. One of its three witnesses is gone for
 * good and no message is lost any more; after a split vote, one coordinator
 * retries first. In the end, each coordinator must have won or have received
 * the answer of the other.
 *
 * Faults: NORELEASE, NOANSWER.
 */
byte record[2]; /* 0, or 1 + the coordinator that the witness voted for */
byte votes[2];  /* number of votes for a coordinator */
byte asked[2];  /* witnesses that the coordinator has asked, as bits */
byte state[2];  /* 0 voting, 1 asking the other, 2 running, 3 finished, 4 has the answer */
byte retry_first = 2; /* the coordinator that retries first, or 2 */

#define SETTLED(x) (state[x] == 3 || state[x] == 4)
#ifdef NORELEASE
#define RELEASE(w, x) skip
#else
#define RELEASE(w, x) if :: record[w] == 1 + x -> record[w] = 0 :: else fi
#endif
#define ASK(x, w) \
  :: atomic { state[x] == 0 && !((asked[x] >> w) & 1) && (retry_first == 2 || retry_first == x) -> \
     asked[x] = asked[x] | (1 << w); \
     if :: record[w] == 0 || record[w] == 1 + x -> record[w] = 1 + x; votes[x]++ :: else fi }
#define COORDINATOR(x) \
  ASK(x, 0) ASK(x, 1) \
  :: atomic { state[x] == 0 && votes[x] >= 2 -> state[x] = 2; retry_first = 2 } \
  :: atomic { state[x] == 0 && asked[x] == 3 && votes[x] < 2 -> \
     RELEASE(0, x); RELEASE(1, x); votes[x] = 0; asked[x] = 0; state[x] = 1; \
     if :: retry_first == x -> retry_first = 2 :: else fi } \
  :: atomic { state[x] == 1 && state[1 - x] == 1 -> state[x] = 0; state[1 - x] = 0; retry_first = x } \
  :: atomic { state[x] == 2 -> state[x] = 3 } \
  ANSWER(x)
#ifdef NOANSWER
#define ANSWER(x)
#else
#define ANSWER(x) :: atomic { state[x] == 1 && state[1 - x] == 3 -> state[x] = 4 }
#endif

active proctype first() { do COORDINATOR(0) od }
active proctype second() { do COORDINATOR(1) od }
ltl settles { <> (SETTLED(0) && SETTLED(1)) }
