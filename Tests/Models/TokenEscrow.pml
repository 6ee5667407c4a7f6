/*
 * One budget slot of a workspace during a takeover by another instance.
 *
 * Models Libraries/LibLimits: SlotAccount.cpp (accrual, loans), LendingQuorum.cpp
 * (lending), SlotRelease.cpp (votes, release), OpeningWait.cpp (wait before
 * lending) and SlotFold.cpp (the first claim on a base wins).
 *
 * Instance A holds the slot. B may claim it at any time, since an outdated
 * instance list can omit A. X holds another slot and borrows from A. Time passes
 * in ticks; one token accrues per tick. An instance that takes no step while
 * ticks pass is paused. A message whose step is not chosen is lost, late or cut
 * off.
 *
 * The level of the reference bucket must never go below zero.
 *
 * Seeded faults: NO_OUTSTANDING, NO_WAIT, NO_RELEASE, EARLY_VOTES, BREAK_MENDS,
 * READ_MENDS, LIMIT_FILLS.
 */

#ifndef TICKS
#define TICKS 8
#endif
#define LAPSE 2      /* ticks from the request until a loan expires */
#define CONFIRM 1    /* mConfirmBound, in ticks */
#define SILENCE 3    /* mUnresponsiveAfter: over CONFIRM plus a tick to answer */
#define WAIT 4       /* mTakeoverWait: CONFIRM + LAPSE and one tick */

byte now = 0;

/* The reference bucket. */
byte refBurst = 1;
short refLevel = 1;

/* A: its account and the state that lets it lend. */
bool aUp = true;
byte aBurst = 1;
byte aBalance = 1;
byte aRead = 2;              /* ticks for which the last read allows lending */
byte aContact = 2;           /* ticks for which the last contact still counts */
bool aChained = true;        /* in uninterrupted contact since a read of the log */
byte aAccruesIn = 0;
byte aCounted = 0;           /* ticks for which the loan counts as outstanding */

/* State of the loan to X. */
#define NONE 0
#define ASKED 1
#define SENT 2
#define HELD 3
byte loan = NONE;
byte askAge = 0;

/* The log: the slot's holder. 0 is A's first incarnation, 1 is B, 2 is A after
   a restart. */
byte holder = 0;
bool bInFlight = false;
bool aInFlight = false;
bool limitRaised = false;

/* What each instance has read from the log. */
bool aReadsB = false;        /* A has folded B's claim */
bool bReadsB = false;        /* B has read its own claim */
bool aReadsA = false;        /* the restarted A has read its own claim */
bool aReadsLimit = false;
bool aRestarted = false;

/* Ticks since B and X last received a message from A; X's vote, which B
   requests. */
byte bUnheard = 0;
byte xUnheard = 0;
bool xVoted = false;

/* B's account. */
bool bOpen = false;
byte bWait = 0;
byte bBalance = 0;

/* A holds the slot as far as it knows. */
#define A_HOLDS (aUp && (!aRestarted || aReadsA) && !aReadsB)
#define MAY_LEND (aRead > 0 || (aChained && aContact > 0))
#define COUNTED (aCounted > 0)

inline Spend() {
  refLevel--;
  assert(refLevel >= 0)
}

inline TickLoan() {
  if
  :: aCounted > 0 -> aCounted--
  :: else
  fi;
  if
  :: loan != NONE && askAge + 1 >= LAPSE -> loan = NONE; askAge = 0
  :: loan != NONE && askAge + 1 < LAPSE -> askAge++
  :: else
  fi
}

inline Tick() {
  now++;
  if
  :: refLevel < refBurst -> refLevel++
  :: else
  fi;
  /* Outstanding loans take up capacity of the bucket. */
  if
  :: A_HOLDS && aAccruesIn == 0 && aBalance + COUNTED < aBurst -> aBalance++
  :: aAccruesIn > 0 -> aAccruesIn--
  :: else
  fi;
  if
  :: bOpen && bWait == 0 && bBalance < (limitRaised -> 2 : 1) -> bBalance++
  :: bOpen && bWait > 0 -> bWait--
  :: else
  fi;
  TickLoan();
  if :: aRead > 0 -> aRead-- :: else fi;
  if :: aContact > 0 -> aContact-- :: else fi;
  if :: bUnheard < SILENCE -> bUnheard++ :: else fi;
  if :: xUnheard < SILENCE -> xUnheard++ :: else fi;
  xVoted = false
}

/* A peer receives A's message, and A receives the confirmation. */
inline Contact(unheard) {
  unheard = 0;
  if
  :: aContact == 0 -> aChained = false
  :: else
  fi;
#ifdef BREAK_MENDS
  aChained = true;
#endif
#ifdef READ_MENDS
  /* Fault: contact that begins after the read counts as uninterrupted. */
  if
  :: aRead > 0 -> aChained = true
  :: else
  fi;
#endif
  aContact = CONFIRM + 1
}

inline OpenB() {
  bOpen = true;
#ifdef NO_WAIT
  bWait = 0
#else
  bWait = WAIT
#endif
}

inline Ask() {
  loan = ASKED;
  askAge = 0
}

inline Lend() {
  aBalance--;
  loan = SENT;
#ifndef NO_OUTSTANDING
  aCounted = LAPSE
#endif
}

active proctype Fleet() {
  do
  :: now < TICKS -> atomic { Tick() }

  /* X borrows from A; the messages may be lost. */
  :: atomic { loan == NONE && aCounted == 0 -> Ask() }
  :: atomic { loan == ASKED && A_HOLDS && MAY_LEND && aBalance > 0 -> Lend() }
  :: atomic { loan == SENT -> loan = HELD }
  :: atomic { loan == SENT -> loan = NONE; askAge = 0 }
  :: atomic { loan == HELD -> Spend(); loan = NONE; askAge = 0;
      if :: true -> aCounted = 0 :: true fi }

  /* B spends the tokens that its slot has accrued. */
  :: atomic { bBalance > 0 -> bBalance--; Spend() }

  /* Heartbeats and quorum answers; B's answer counts only while B has not folded
     a claim that A has yet to fold. */
  :: atomic { aUp && (xUnheard > 0 || aContact < CONFIRM + 1) -> Contact(xUnheard) }
  :: atomic { aUp && (bUnheard > 0 || aContact < CONFIRM + 1) &&
      (!bReadsB || aReadsB) -> Contact(bUnheard) }
  /* X restarts, and its observation of A starts from zero. */
  :: atomic { xUnheard > 0 -> xUnheard = 0 }

  /* The log: B's claim may land long after B sent it. */
  :: atomic { holder == 0 && !bInFlight && !bReadsB -> bInFlight = true }
  :: atomic { bInFlight -> bInFlight = false;
      if :: holder == 0 -> holder = 1 :: else fi }
  :: atomic { holder == 1 && !bReadsB -> bReadsB = true;
#ifndef EARLY_VOTES
      xVoted = false;
#endif
#ifdef NO_RELEASE
      OpenB()
#endif
    }
  :: atomic { !limitRaised -> limitRaised = true; refBurst = 2 }
  /* A reads the log's tail. */
  :: atomic { aUp && (aRead < CONFIRM + 1 || (limitRaised && !aReadsLimit) ||
      (holder == 1 && !aReadsB)) ->
      aRead = CONFIRM + 1; aChained = (aContact > 0);
      aReadsB = (holder == 1);
      if
      :: limitRaised && !aReadsLimit -> aReadsLimit = true; aBurst = 2;
#ifdef LIMIT_FILLS
        aBalance = 2
#endif
      :: else
      fi }

  /* X votes; the slot is released because A is unresponsive or because A itself
     has folded B's claim. */
  :: atomic { xUnheard == SILENCE && !xVoted -> xVoted = true }
#ifndef NO_RELEASE
#ifdef EARLY_VOTES
  /* Fault: what held when the claim was sent is assumed to hold when it lands. */
  :: atomic { bReadsB && !bOpen -> OpenB() }
#else
  :: atomic { bReadsB && !bOpen && xVoted && bUnheard == SILENCE -> OpenB() }
#endif
  :: atomic { bReadsB && !bOpen && aReadsB -> OpenB() }
#endif

  /* A crashes, restarts under the same id and claims its slot again. */
  :: atomic { aUp && !aRestarted -> aUp = false; aBalance = 0; aRead = 0;
      aContact = 0; aChained = false;
      aCounted = 0 }
  :: atomic { !aUp -> aUp = true; aRestarted = true;
      aReadsB = (holder == 1) }
  :: atomic { aUp && aRestarted && holder == 0 && !aInFlight -> aInFlight = true }
  :: atomic { aInFlight -> aInFlight = false;
      if :: holder == 0 -> holder = 2 :: else fi }
  :: atomic { aUp && aRestarted && holder == 2 && !aReadsA -> aReadsA = true;
      aRead = CONFIRM + 1;
#ifndef NO_WAIT
      aAccruesIn = LAPSE
#endif
    }
  :: now == TICKS -> break
  od
}
