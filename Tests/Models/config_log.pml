/*
 * The configuration log: concurrent proposals, lost answers, records that land
 * late or twice, discarded outcomes, checkpoints, retention and a restart.
 *
 * Models Libraries/LibConfigLog/ConfigFold.cpp (Apply),
 * Libraries/LibPlatform/LogAppender.h (FinishDecided), LogFollower.h (ApplyNext,
 * LoadBest), CheckpointSearch.cpp and CheckpointWriter.h (Advance).
 *
 * The model has a single row, whose version is the offset of its last write, or
 * 0 if there is no row. Author 0 creates the row, author 1 deletes it, author 2
 * writes it. Only author 0 sends twice and appends to an idle log, which keeps
 * the number of states small.
 *
 * Checked by assertions:
 *  - at each offset, a reader's state equals the fold of the complete log;
 *  - no proposal is applied twice, or to a version other than its base, or after
 *    its author was told that it has not landed;
 *  - the outcome reported to an author agrees with the complete log;
 *  - every reader that retention has overtaken finds a checkpoint to restore.
 *
 * Seeded faults: FAULT_NO_MEMORY, FAULT_NO_LAST_OFFSET, FAULT_TOLD_EARLY,
 * FAULT_NO_VERSION.
 */

#define AUTHORS 3
#define READERS 2
#define HOST 0        /* the reader whose instance the authors use */
#define LENGTH 4      /* offsets 1 to LENGTH */
#define WINDOW 2      /* from the author's tail to its last offset */
#define MEMORY 1      /* offsets after the last for which an outcome is kept */
#define COPIES 2      /* how many times author 0 sends */

#define NO_OPERATION 10
#define CHECKPOINT 11

typedef fold {
  byte offset;
  byte version;
  byte landed[AUTHORS];  /* offsets of the kept outcomes, 0 for none */
  bit accepted[AUTHORS]
}

typedef entry {
  byte kind;   /* an author's number, NO_OPERATION or CHECKPOINT */
  byte covers; /* of a checkpoint */
  fold state   /* of a checkpoint */
}

entry record[LENGTH + 1];
byte earliest = 1;
byte tail = 0;

fold reader[READERS];
fold truth[LENGTH + 1];

byte base[AUTHORS];
byte last[AUTHORS];
byte copies[AUTHORS];     /* copies sent that have not landed */
bit in_force[AUTHORS];
bit told_not_landed[AUTHORS];
bit seen[AUTHORS];  /* the appender has read the proposal's entry */
bit skipped;        /* the host restored a checkpoint or restarted */
bool restarted = false;
bool has_checkpoint = false; /* the model writes one checkpoint only */

#ifdef FAULT_NO_MEMORY
#define IS_DOUBLE(f, id) false
#else
#define IS_DOUBLE(f, id) (f.landed[id] > 0)
#endif

#ifdef FAULT_NO_LAST_OFFSET
#define IS_LATE(id, at) false
#else
#define IS_LATE(id, at) (at > last[id])
#endif

#ifdef FAULT_NO_VERSION
#define IS_STALE(f, id) false
#else
#define IS_STALE(f, id) (base[id] != f.version)
#endif

inline copy_fold(to, from) {
  to.offset = from.offset;
  to.version = from.version;
  to.landed[0] = from.landed[0];
  to.landed[1] = from.landed[1];
  to.landed[2] = from.landed[2];
  to.accepted[0] = from.accepted[0];
  to.accepted[1] = from.accepted[1];
  to.accepted[2] = from.accepted[2]
}

/* config_fold::DiscardOldOutcomes. */
inline forget(f, id, now) {
  if
  :: f.landed[id] > 0 && last[id] + MEMORY < now ->
     f.landed[id] = 0;
     f.accepted[id] = 0
  :: else
  fi
}

/* config_fold::Apply for an entry that is not a proposal. */
inline apply_other(f, at) {
  forget(f, 0, at);
  forget(f, 1, at);
  forget(f, 2, at);
  f.offset = at
}

/* config_fold::Apply for a proposal. */
inline apply_proposal(f, at, id) {
  apply_other(f, at);
  if
  :: IS_LATE(id, at) || IS_DOUBLE(f, id)
  :: else ->
     f.landed[id] = at;
     if
     :: IS_STALE(f, id)
     :: else ->
        f.accepted[id] = 1;
        f.version = (id == 1 -> 0 : at)
     fi
  fi
}

/* Appends a record that is not a proposal, and folds it into the reference
   state truth. */
inline land_other(what) {
  tail++;
  record[tail].kind = what;
  copy_fold(truth[tail], truth[tail - 1]);
  apply_other(truth[tail], tail)
}

/* Appends a proposal, and folds it into the reference state truth. */
inline land_proposal(id) {
  tail++;
  record[tail].kind = id;
  copy_fold(truth[tail], truth[tail - 1]);
  apply_proposal(truth[tail], tail, id);
  if
  :: truth[tail].landed[id] == tail && truth[tail].accepted[id] ->
     assert(!in_force[id]);
     assert(!told_not_landed[id]);
     assert(base[id] == truth[tail - 1].version);
     in_force[id] = 1
  :: else
  fi
}

inline check_reader(who) {
  assert(reader[who].version == truth[reader[who].offset].version);
  assert(reader[who].accepted[0] == truth[reader[who].offset].accepted[0]);
  assert(reader[who].accepted[1] == truth[reader[who].offset].accepted[1]);
  assert(reader[who].accepted[2] == truth[reader[who].offset].accepted[2])
}

/* Copies in flight land in any order, at any time, or never. Every process may
   stop at any point, so a dropped copy is one that never lands. */
active proctype Network() {
end:
  do
  :: atomic { tail < LENGTH && copies[0] > 0 -> copies[0]--; land_proposal(0) }
  :: atomic { tail < LENGTH && copies[1] > 0 -> copies[1]--; land_proposal(1) }
  :: atomic { tail < LENGTH && copies[2] > 0 -> copies[2]--; land_proposal(2) }
  :: atomic {
       /* Retention drops the offsets that the newest checkpoint covers. */
       earliest < tail ->
       if
       :: record[tail].kind == CHECKPOINT &&
          earliest <= record[tail].covers -> earliest = record[tail].covers + 1
       :: record[tail - 1].kind == CHECKPOINT &&
          earliest <= record[tail - 1].covers ->
          earliest = record[tail - 1].covers + 1
       :: else
       fi
     }
  od
}

/* log_appender: sends under one proposal id, and reads the log until the outcome
   is definite. */
proctype Author(byte who) {
  byte sent = 0;
  atomic {
    reader[HOST].offset > 0 || who != 1 -> /* author 1 waits for an entry */
    base[who] = reader[HOST].version;
    last[who] = reader[HOST].offset + WINDOW;
    sent = 1;
    copies[who] = 1
  }
  do
  :: atomic {
       who == 0 && sent < COPIES && !seen[who] ->
       /* The answer was lost; the same proposal is sent again. */
       sent++;
       copies[who]++
     }
  :: atomic {
       /* Reported by the appender, or by the fold after a checkpoint. */
       reader[HOST].landed[who] > 0 ->
       assert(reader[HOST].accepted[who] == in_force[who]);
       break
     }
  :: atomic {
#ifdef FAULT_TOLD_EARLY
       !seen[who] && !skipped ->
#else
       !seen[who] && !skipped &&
       reader[HOST].offset >= last[who] ->
#endif
       assert(!in_force[who]);
       told_not_landed[who] = 1;
       break
     }
  :: atomic {
       /* Appends no-operations to an idle log up to the last offset. */
       who == 0 && tail < last[who] && tail < LENGTH -> land_other(NO_OPERATION)
     }
  /* The outcome may be unknown once the fold has discarded it. */
  :: atomic { skipped || seen[who] -> break }
  :: atomic { tail == LENGTH && reader[HOST].offset == tail -> break }
  od
}

/* log_follower and checkpoint_writer of one instance. */
proctype Reader(byte who) {
  byte place;
end:
  do
  :: atomic {
       reader[who].offset < tail && reader[who].offset + 1 >= earliest ->
       place = reader[who].offset + 1;
       if
       :: record[place].kind < AUTHORS ->
          apply_proposal(reader[who], place, record[place].kind);
          if
          :: who == HOST && place <= last[record[place].kind] ->
             seen[record[place].kind] = 1
          :: else
          fi
       :: else -> apply_other(reader[who], place)
       fi;
       check_reader(who);
       place = 0
     }
  :: atomic {
       /* Before the retained range: restores a checkpoint, newest first. */
       reader[who].offset + 1 < earliest ->
       place = tail;
       do
       :: place >= earliest && record[place].kind == CHECKPOINT &&
          record[place].covers + 1 >= earliest -> break
       :: place < earliest -> break
       :: else -> place--
       od;
       assert(place >= earliest);
       copy_fold(reader[who], record[place].state);
       skipped = (who == HOST -> 1 : skipped);
       check_reader(who);
       place = 0
     }
  :: atomic {
       who != HOST && !has_checkpoint && tail < LENGTH &&
       reader[who].offset > 0 ->
       has_checkpoint = true;
       land_other(CHECKPOINT);
       record[tail].covers = reader[who].offset;
       copy_fold(record[tail].state, reader[who])
     }
  :: atomic {
       who == HOST && !restarted && reader[who].offset > 0 ->
       restarted = true;
       skipped = (who == HOST -> 1 : skipped);
       copy_fold(reader[who], truth[0])
     }
  od
}

init {
  atomic {
    run Reader(0);
    run Reader(1);
    run Author(0);
    run Author(1);
    run Author(2)
  }
}
