/*
 * Two instances claim the same idempotency key.
 *
 * Models Libraries/LibOnce: ClaimFold.cpp (Fold), OnceGate.cpp (the steps of
 * an instance) and ClaimBatcher.cpp (appends that are lost, late or duplicated).
 *
 * Instance i makes the claims 2i and 2i + 1, the second one after it released
 * the first or restarted. The request must run at most once, the answer "not
 * run" must be true, and a released claim must not hold the key once its
 * release has landed in the log.
 *
 * Seeded faults: RUN_UNREAD, LATER_WINS, FORGET_RELEASE, DEAD_FREES.
 */

#define CLAIMS 4
/* Instance 0 tries twice and may restart, instance 1 tries once. */
#define ATTEMPTS(i) (2 - (i))
#ifndef LENGTH
#define LENGTH 4
#endif
#define NOBODY 9

#define CLAIM 0
#define RELEASE 4
#define RAN 8

/* A record is its kind (CLAIM, RELEASE or RAN) plus the number of its claim. */
byte log[LENGTH];
byte tail = 0;
short flying = 0;            /* one bit for each record in flight */

byte runs = 0;
bool ran[CLAIMS];
bool toldNotRun[CLAIMS];

/* State of each instance's fold of the log. */
byte read[2];
byte holder[2] = NOBODY;
bool ended[2];               /* the holder's request has run */
byte released[2];            /* one bit for each claim */

/* State of each instance's request. */
byte claim[2];
bool claimed[2];
bool running[2];
bool restarted[2];

#define BIT(c) (1 << (c))

inline Send(record) {
  /* A record that has not landed when the log is full counts as lost. */
  flying = flying | BIT(record)
}

inline Fold(i, record) {
  if
  :: record < RELEASE ->
    if
#ifndef FORGET_RELEASE
    :: (released[i] & BIT(record)) != 0
    :: (released[i] & BIT(record)) == 0 && holder[i] == NOBODY ->
#else
    :: holder[i] == NOBODY ->
#endif
      holder[i] = record; ended[i] = false
#ifdef LATER_WINS
    :: holder[i] != NOBODY && holder[i] != record && !ended[i] ->
      holder[i] = record
#endif
    :: else
    fi
  :: record >= RELEASE && record < RAN ->
    if
    :: holder[i] == record - RELEASE && !ended[i] -> holder[i] = NOBODY
    :: else
    fi;
    released[i] = released[i] | BIT(record - RELEASE)
  :: record >= RAN ->
    if
    :: holder[i] == record - RAN -> ended[i] = true
    :: else
    fi
  fi
}

proctype Instance(byte i) {
  byte record;
  do
  :: atomic { !claimed[i] && !running[i] && holder[i] == NOBODY &&
      claim[i] < ATTEMPTS(i) ->
      claimed[i] = true; Send(CLAIM + 2 * i + claim[i]) }
  :: atomic { read[i] < tail ->
      record = log[read[i]]; read[i]++;
      Fold(i, record); record = 0;
      /* A claim whose release has been folded must not hold the key. */
      assert(holder[i] == NOBODY || ended[i] ||
             (released[i] & BIT(holder[i])) == 0) }
  /* The claim holds the key: the request is sent. */
  :: atomic { claimed[i] && !running[i] &&
#ifndef RUN_UNREAD
      holder[i] == 2 * i + claim[i] && !ended[i] &&
#endif
      !ran[2 * i + claim[i]] ->
      running[i] = true }
  :: atomic { running[i] ->
      runs++; ran[2 * i + claim[i]] = true;
      running[i] = false; claimed[i] = false;
      assert(runs <= 1);
      assert(!toldNotRun[2 * i + claim[i]]);
      Send(RAN + 2 * i + claim[i]); claim[i]++ }
  /* The request is not sent, or is cancelled while it waits for the claim. */
  :: atomic { claimed[i] ->
      toldNotRun[2 * i + claim[i]] = true;
      Send(RELEASE + 2 * i + claim[i]);
      running[i] = false; claimed[i] = false; claim[i]++ }
  /* The instance crashes; a request that was sent may still run. */
  :: atomic { i == 0 && !restarted[i] && claim[i] < 2 ->
      restarted[i] = true;
      if
      :: running[i] -> runs++; ran[2 * i + claim[i]] = true;
        assert(runs <= 1)
      :: running[i]
      :: else
      fi;
      running[i] = false;
      if
      :: claimed[i] -> claim[i]++
      :: else
      fi;
      claimed[i] = false;
      read[i] = 0; holder[i] = NOBODY; ended[i] = false; released[i] = 0 }
#ifdef DEAD_FREES
  /* Fault: frees the key if the instance list omits the holder's instance. */
  :: atomic { holder[i] != NOBODY && holder[i] / 2 != i && !ended[i] ->
      holder[i] = NOBODY }
#endif
  od
}

/* Appended records land in any order. */
proctype Log() {
  byte r;
  do
  :: tail < LENGTH ->
    atomic {
      if
      :: (flying & BIT(0)) != 0 -> r = 0
      :: (flying & BIT(1)) != 0 -> r = 1
      :: (flying & BIT(2)) != 0 -> r = 2
      :: (flying & BIT(3)) != 0 -> r = 3
      :: (flying & BIT(4)) != 0 -> r = 4
      :: (flying & BIT(5)) != 0 -> r = 5
      :: (flying & BIT(6)) != 0 -> r = 6
      :: (flying & BIT(7)) != 0 -> r = 7
      :: (flying & BIT(8)) != 0 -> r = 8
      :: (flying & BIT(9)) != 0 -> r = 9
      :: (flying & BIT(10)) != 0 -> r = 10
      :: (flying & BIT(11)) != 0 -> r = 11
      fi;
      /* A claim may land more than once. */
      if
      :: flying = flying & ~BIT(r)
      :: r < RELEASE
      fi;
      log[tail] = r; tail++; r = 0
    }
  od
}

init {
  atomic { run Instance(0); run Instance(1); run Log() }
}
