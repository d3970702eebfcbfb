/* A key runs at most once under one host list, and a "not run" statement is
 * true.
 *
 * Three witnesses and two coordinators; the coordinators are on other hosts. A
 * message is a bit that stays set once it was sent: it may arrive at any time,
 * in any order, any number of times or never. A coordinator that crashes or
 * pauses takes no further steps or takes them later. Each witness may crash
 * once, at any time, and restarts empty; then it pulls the record from the
 * other two.
 *
 * Faults: ONEGRANT, NOCOVER, NOFENCE, NONUMBER, NOCONTEST, FORGET, LATE.
 */
#ifndef CRASHES
#define CRASHES 1
#endif
/* FIRST and SECOND bound the claims of the two coordinators. */
#ifndef FIRST
#define FIRST 2
#endif
#ifndef SECOND
#define SECOND 1
#endif
#define ROUNDS 2
#define NONE 0
#define CONTESTED 9
#define DONE 10
/* A record identifies the coordinator x and the round r of its claim. */
#define INDEX(x, r) ((x) * ROUNDS + (r))
#define RECORD(x, r) (1 + INDEX(x, r))
#define CLAIM_OF(record, x) ((record) >= RECORD(x, 0) && (record) <= RECORD(x, ROUNDS - 1))
#define NEXT(w) (((w) + 1) % 3)
#define PREV(w) (((w) + 2) % 3)
/* A grant contains the incarnation i of the witness w and its fences a and b
 * against NEXT(w) and PREV(w); each possible grant is one bit. */
#define GRANT(x, r, w) grant[INDEX(x, r) * 3 + (w)]
#define GRANT_BIT(i, a, b) (1 << ((i) * 4 + (a) * 2 + (b)))
/* w granted with incarnation i and fence a against NEXT(w), and NEXT(w) granted
 * with incarnation j and fence f against w. */
#define GRANTED_WITH(x, r, w, i, a, j, f) \
  ((GRANT(x, r, w) & (GRANT_BIT(i, a, 0) | GRANT_BIT(i, a, 1))) && \
   (GRANT(x, r, NEXT(w)) & (GRANT_BIT(j, 0, f) | GRANT_BIT(j, 1, f))))
#ifdef NOFENCE
#define FENCED_PAIR(x, r, w) (GRANT(x, r, w) && GRANT(x, r, NEXT(w)))
#else
/* All combinations with a <= j and f <= i: neither grant is of an incarnation
 * older than the one that the other witness has fenced. */
#define FENCED_PAIR(x, r, w) \
  (GRANTED_WITH(x, r, w, 0, 0, 0, 0) || GRANTED_WITH(x, r, w, 0, 0, 1, 0) || GRANTED_WITH(x, r, w, 0, 1, 1, 0) || \
   GRANTED_WITH(x, r, w, 1, 0, 0, 0) || GRANTED_WITH(x, r, w, 1, 0, 0, 1) || GRANTED_WITH(x, r, w, 1, 0, 1, 0) || \
   GRANTED_WITH(x, r, w, 1, 0, 1, 1) || GRANTED_WITH(x, r, w, 1, 1, 1, 0) || GRANTED_WITH(x, r, w, 1, 1, 1, 1))
#endif
#ifdef ONEGRANT
#define HAS_QUORUM(x, r) (GRANT(x, r, 0) || GRANT(x, r, 1) || GRANT(x, r, 2))
#else
#define HAS_QUORUM(x, r) (FENCED_PAIR(x, r, 0) || FENCED_PAIR(x, r, 1) || FENCED_PAIR(x, r, 2))
#endif

#define IDLE 0
#define VOTING 1
#define WON 2
#define RUNNING 3
#define FINISHED 4

byte runs, crashes;
/* Messages sent. A release implies the statement that the request did not run. */
bit claimed[4], released[4], finished[2];
byte grant[12];
byte state[2], round[2];
byte record[3];
bit covers[3] = 1;
bit incarnation[3];
bit fence[9]; /* fence[w*3+u]: the incarnation of u whose pull w has answered */
byte pulled[9]; /* pulled[w*3+u]: 1 + the record that w has pulled from u, or 0 */

inline merge(into, from) {
  if
  :: from == NONE || into == DONE -> skip
  :: else ->
    if
    :: into == NONE || from == DONE -> into = from
    :: into != NONE && from != DONE && (CLAIM_OF(into, 0) && CLAIM_OF(from, 0) || CLAIM_OF(into, 1) && CLAIM_OF(from, 1)) ->
      if :: from > into -> into = from :: else fi
    :: else ->
#ifdef NOCONTEST
      skip
#else
      into = CONTESTED
#endif
    fi
  fi
}

#define VOTE(w, x, r) \
  :: atomic { claimed[INDEX(x, r)] && covers[w] && (record[w] == NONE || CLAIM_OF(record[w], x) && record[w] <= RECORD(x, r)) -> \
     record[w] = RECORD(x, r); \
     GRANT(x, r, w) = GRANT(x, r, w) | GRANT_BIT(incarnation[w], fence[w * 3 + NEXT(w)], fence[w * 3 + PREV(w)]) }
#ifdef NONUMBER
#define RELEASE(w, x, r) \
  :: atomic { released[INDEX(x, r)] && CLAIM_OF(record[w], x) -> record[w] = NONE }
#else
#define RELEASE(w, x, r) \
  :: atomic { released[INDEX(x, r)] && CLAIM_OF(record[w], x) && record[w] <= RECORD(x, r) -> record[w] = NONE }
#endif
#define FINISH(w, x) :: atomic { finished[x] && record[w] != DONE -> record[w] = DONE }
#define ANSWER(w, u) \
  :: atomic { !covers[w] && covers[u] && pulled[w * 3 + u] == 0 -> \
     pulled[w * 3 + u] = record[u] + 1; fence[u * 3 + w] = incarnation[w] }

#ifdef NOCOVER
#define RESET_COVER(w) covers[w] = 1
#else
#define RESET_COVER(w) covers[w] = 0
#endif
#define WITNESS(w) \
  VOTE(w, 0, 0) VOTE(w, 0, 1) VOTE(w, 1, 0) VOTE(w, 1, 1) \
  RELEASE(w, 0, 0) RELEASE(w, 0, 1) RELEASE(w, 1, 0) RELEASE(w, 1, 1) \
  FINISH(w, 0) FINISH(w, 1) ANSWER(w, NEXT(w)) ANSWER(w, PREV(w)) \
  :: atomic { crashes < CRASHES && incarnation[w] == 0 -> \
     crashes++; record[w] = NONE; incarnation[w] = 1; RESET_COVER(w); \
     pulled[w * 3 + NEXT(w)] = 0; pulled[w * 3 + PREV(w)] = 0; \
     fence[w * 3 + NEXT(w)] = 0; fence[w * 3 + PREV(w)] = 0 } \
  :: atomic { !covers[w] && pulled[w * 3 + NEXT(w)] != 0 && pulled[w * 3 + PREV(w)] != 0 -> \
     merge(record[w], pulled[w * 3 + NEXT(w)] - 1); merge(record[w], pulled[w * 3 + PREV(w)] - 1); \
     covers[w] = 1 }

#define COORDINATOR(x, rounds) \
  :: atomic { state[x] == IDLE && round[x] < rounds -> claimed[INDEX(x, round[x])] = 1; state[x] = VOTING } \
  :: atomic { state[x] == VOTING && HAS_QUORUM(x, round[x]) -> state[x] = WON } \
  :: atomic { state[x] == VOTING || state[x] == WON -> \
     released[INDEX(x, round[x])] = 1; state[x] = IDLE; round[x]++ } \
  :: atomic { state[x] == WON -> runs++; state[x] = RUNNING; \
     assert(runs <= 1); assert(!released[INDEX(x, round[x])]) } \
  :: atomic { state[x] == RUNNING -> finished[x] = 1; state[x] = FINISHED }

active proctype fleet() {
  do
  WITNESS(0)
  WITNESS(1)
  WITNESS(2)
  COORDINATOR(0, FIRST)
  COORDINATOR(1, SECOND)
#ifdef FORGET
  :: atomic { state[0] == FINISHED && round[0] + 1 < ROUNDS -> state[0] = IDLE; round[0]++ }
#endif
#ifdef LATE
  :: atomic { state[0] == IDLE && round[0] > 0 && HAS_QUORUM(0, round[0] - 1) -> round[0]--; state[0] = WON }
#endif
  od
}
