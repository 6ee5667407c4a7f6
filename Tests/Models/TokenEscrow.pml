/*
 * One home slot of a workspace's budget over a takeover.
 *
 * Mirrors Libraries/LibLimits: SlotAccount.cpp (accrual, loans), LendingQuorum.cpp
 * (hold), SlotRelease.cpp (votes, waiting), OpeningWait.cpp (wait) and
 * SlotFold.cpp (the first claim on a base wins).
 *
 * Instance A holds the slot, B claims it whenever the late list misleads it, X
 * holds a third slot and borrows. Time passes in ticks; one token accrues a
 * tick. An instance that takes no step while ticks pass is paused. Messages are
 * lost, late or cut by not being chosen.
 *
 * The reference bucket must never go below zero.
 *
 * Seeded faults: NO_OUTSTANDING, NO_WAIT, NO_RELEASE, EARLY_VOTES, BREAK_MENDS,
 * READ_MENDS, LIMIT_FILLS.
 */

#ifndef TICKS
#define TICKS 8
#endif
#define LAPSE 2      /* a loan may be spent this long after the ask */
#define CONFIRM 1    /* mConfirmBound */
#define SILENCE 3    /* mUnresponsiveAfter, more than CONFIRM and one tick of a word */
#define WAIT 4       /* mTakeoverWait: CONFIRM + LAPSE and one tick */

byte now = 0;

/* The reference bucket. */
byte refBurst = 1;
short refLevel = 1;

/* A: its account and its permission to lend. */
bool aUp = true;
byte aBurst = 1;
byte aBalance = 1;
byte aRead = 2;              /* ticks for which the last read allows lending */
byte aContact = 2;           /* ticks for which the last contact counts */
bool aChained = true;        /* in contact without a break since a read */
byte aAccruesIn = 0;
byte aCounted = 0;           /* ticks for which the loan still counts */

/* The loan on its way to X or held by it. */
#define NONE 0
#define ASKED 1
#define SENT 2
#define HELD 3
byte loan = NONE;
byte askAge = 0;

/* The log: whose claim stands. 0 is A's first life, 1 is B, 2 is A restarted. */
byte holder = 0;
bool bInFlight = false;
bool aInFlight = false;
bool limitRaised = false;

/* What the log showed to each. */
bool aReadsB = false;        /* A has folded B's claim */
bool bReadsB = false;        /* B has read its own claim */
bool aReadsA = false;        /* the restarted A has read its claim */
bool aReadsLimit = false;
bool aRestarted = false;

/* Since when A was unheard; X's vote, asked by B. */
byte bUnheard = 0;
byte xUnheard = 0;
bool xVoted = false;

/* B's account. */
bool bOpen = false;
byte bWait = 0;
byte bBalance = 0;

/* As far as A knows. */
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
  /* Accrual leaves room for the loans that still count. */
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

/* A is heard and hears that it was. */
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
  /* Contact that begins after the read is taken for unbroken. */
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

  /* X borrows from A, through messages that may be lost. */
  :: atomic { loan == NONE && aCounted == 0 -> Ask() }
  :: atomic { loan == ASKED && A_HOLDS && MAY_LEND && aBalance > 0 -> Lend() }
  :: atomic { loan == SENT -> loan = HELD }
  :: atomic { loan == SENT -> loan = NONE; askAge = 0 }
  :: atomic { loan == HELD -> Spend(); loan = NONE; askAge = 0;
      if :: true -> aCounted = 0 :: true fi }

  /* B spends what its slot accrued. */
  :: atomic { bBalance > 0 -> bBalance--; Spend() }

  /* Signs of life and words; B's word counts while it has folded no more. */
  :: atomic { aUp && (xUnheard > 0 || aContact < CONFIRM + 1) -> Contact(xUnheard) }
  :: atomic { aUp && (bUnheard > 0 || aContact < CONFIRM + 1) &&
      (!bReadsB || aReadsB) -> Contact(bUnheard) }
  /* X starts anew and has to listen again. */
  :: atomic { xUnheard > 0 -> xUnheard = 0 }

  /* The log: B's claim may land long after it was sent. */
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

  /* X's vote, and the release by silence or by A's own word. */
  :: atomic { xUnheard == SILENCE && !xVoted -> xVoted = true }
#ifndef NO_RELEASE
#ifdef EARLY_VOTES
  /* What was known when the claim was sent is taken for true when it lands. */
  :: atomic { bReadsB && !bOpen -> OpenB() }
#else
  :: atomic { bReadsB && !bOpen && xVoted && bUnheard == SILENCE -> OpenB() }
#endif
  :: atomic { bReadsB && !bOpen && aReadsB -> OpenB() }
#endif

  /* A crashes, starts anew in place and claims its slot again. */
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
