/*
 * The configuration log: racing proposals, lost answers, late and doubled
 * landings, forgotten outcomes, checkpoints, retention and a restart.
 *
 * Mirrors Libraries/LibConfigLog/ConfigFold.cpp (Apply),
 * Libraries/LibPlatform/LogAppender.h (Settle), LogFollower.h and
 * CheckpointSearch.cpp (Read, Jump), CheckpointWriter.h (WriteCheckpoint).
 *
 * One row stands for all: its version is the offset that wrote it, 0 for no
 * row. Author 0 creates the row, author 1 deletes it, author 2 writes it. Only
 * author 0 sends twice and moves an idle log on, to keep the states few.
 *
 * Checked by assertions:
 *  - a reader holds at each offset what the fold over the whole log gives;
 *  - no proposal takes force twice, nor on another version than its base, nor
 *    when its author was told that it has not landed;
 *  - what an author is told is what the whole log says;
 *  - no reader is cut off while a checkpoint stands in the log.
 *
 * Faults: FAULT_NO_MEMORY, FAULT_NO_LAST_OFFSET, FAULT_TOLD_EARLY,
 * FAULT_NO_VERSION.
 */

#define AUTHORS 3
#define READERS 2
#define HOST 0        /* the reader whose instance the authors use */
#define LENGTH 4      /* offsets 1 to LENGTH */
#define WINDOW 2      /* a proposal's last offset, beyond the author's tail */
#define MEMORY 1      /* an outcome is remembered so far beyond its last offset */
#define COPIES 2      /* how often an author sends */

#define NO_OPERATION 10
#define CHECKPOINT 11

typedef fold {
  byte offset;
  byte version;
  byte landed[AUTHORS];  /* remembered outcomes: where each landed, 0: none */
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
byte copies[AUTHORS];     /* sent, neither landed nor dropped */
bit in_force[AUTHORS];
bit told_not_landed[AUTHORS];
bit seen[AUTHORS];  /* the appender saw the proposal's entry */
bit skipped;        /* the host's state jumped, or it restarted */
bool restarted = false;
bool has_checkpoint = false; /* one is enough to start from */

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

/* config_fold::ForgetOldOutcomes. */
inline forget(f, id, now) {
  if
  :: f.landed[id] > 0 && last[id] + MEMORY < now ->
     f.landed[id] = 0;
     f.accepted[id] = 0
  :: else
  fi
}

/* config_fold::Apply: what an entry that is no proposal does to a fold. */
inline apply_other(f, at) {
  forget(f, 0, at);
  forget(f, 1, at);
  forget(f, 2, at);
  f.offset = at
}

/* config_fold::Apply: what a proposal does to a fold. */
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

/* Adds a record that is no proposal, and folds it into the truth. */
inline land_other(what) {
  tail++;
  record[tail].kind = what;
  copy_fold(truth[tail], truth[tail - 1]);
  apply_other(truth[tail], tail)
}

/* Adds a proposal, and folds it into the truth. */
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

/* Copies on their way land in any order, at any time, or never: all may stop
   at any point, so one that is dropped is one that waits for ever. */
active proctype Network() {
end:
  do
  :: atomic { tail < LENGTH && copies[0] > 0 -> copies[0]--; land_proposal(0) }
  :: atomic { tail < LENGTH && copies[1] > 0 -> copies[1]--; land_proposal(1) }
  :: atomic { tail < LENGTH && copies[2] > 0 -> copies[2]--; land_proposal(2) }
  :: atomic {
       /* Retention passes, but not what the newest checkpoint needs. */
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

/* log_appender: sends under one id, and reads back until it is definite. */
proctype Author(byte who) {
  byte sent = 0;
  atomic {
    reader[HOST].offset > 0 || who != 1 -> /* the deleter has seen something */
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
       /* Told by the appender, or by the fold after a jump. */
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
       /* Moves an idle log on to the last offset. */
       who == 0 && tail < last[who] && tail < LENGTH -> land_other(NO_OPERATION)
     }
  /* Nothing is told for certain once the fold has forgotten. */
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
       /* Behind retention: goes on from a checkpoint, newest first. */
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
