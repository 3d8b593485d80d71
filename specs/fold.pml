/* The fold of configuration publications. Two publishers race. The log retains the
 * last KEEP records. Readers append snapshots, which contain the offset up to which
 * their state was folded. A reader that starts late begins with the records that
 * the log retains.
 *
 * The properties: a late reader computes the same state as one that read the whole
 * log, versions never decrease, and each version has one winner.
 *
 * BROKEN_SNAPSHOT makes a late reader use a snapshot even if the log has dropped
 * records that follow the snapshot's offset. BROKEN_BASE accepts a publication
 * whatever its base. */

#define RECORDS 6
#define KEEP    3

/* The fields of a record: a publication by `who` based on `base`, or a snapshot. */
mtype = { None, Publication, Snapshot };
mtype kind[RECORDS];
byte who[RECORDS];        /* the publisher, or the winner in the snapshot */
byte base[RECORDS];       /* the base version, or the version in the snapshot */
byte foldedTo[RECORDS];   /* the offset up to which the snapshot's state was folded */
byte next = 0;            /* the end of the log */

/* The state after folding the log up to an offset, for comparison. */
byte logVersion[7];
byte logWinner[7];

#ifdef BROKEN_BASE
#define ACCEPTS(b, v) (true)
#else
#define ACCEPTS(b, v) (b == v)
#endif

#ifdef BROKEN_SNAPSHOT
#define USABLE (true)
#else
#define USABLE (foldedTo[i] >= first)
#endif

/* The oldest retained offset. */
#define FIRST (next > KEEP -> next - KEEP : 0)

/* Appends a record and folds it into the state at the new end. */
inline AppendRecord(k, w, b, o) {
  d_step {
    kind[next] = k; who[next] = w; base[next] = b; foldedTo[next] = o;
    logVersion[next + 1] = logVersion[next];
    logWinner[next + 1] = logWinner[next];
    if
    :: k == Publication && ACCEPTS(b, logVersion[next]) -> logVersion[next + 1] = logVersion[next] + 1; logWinner[next + 1] = w
    :: else -> skip
    fi;
    next++
  }
}

/* A publisher bases its publication on a version that it has read, which may be
 * outdated by then. It may append the publication again after a lost answer; the
 * second record then has a stale base or loses the race. */
proctype Publisher(byte id) {
  byte seenVersion;
  seenVersion = logVersion[next];
  if
  :: atomic { next < RECORDS -> AppendRecord(Publication, id, seenVersion, 0) }
  :: next >= RECORDS -> skip
  fi;
  if
  :: atomic { next < RECORDS -> AppendRecord(Publication, id, seenVersion, 0) }  /* retry after a lost answer */
  :: skip
  fi
}

/* A reader that has read the whole log appends a snapshot of its state, maybe late. */
proctype Snapshotter() {
  byte at; byte version; byte winner;
  d_step { at = next; version = logVersion[at]; winner = logWinner[at] }
  if
  :: atomic { next < RECORDS && version > 0 -> AppendRecord(Snapshot, winner, version, at) }
  :: skip
  fi
}

/* A reader that starts late. */
proctype Joiner() {
  byte first; byte at; byte version = 0; byte winner = 0; byte i; byte before;
  bool hasState = false;
  d_step {
    first = FIRST;
    at = first;
    if :: first == 0 -> hasState = true :: else -> skip fi
  }
  byte stop = 0;
  d_step {
    stop = next;
    /* find the first usable snapshot */
    i = first;
    do
    :: i < stop && !hasState && kind[i] == Snapshot && USABLE -> hasState = true; version = base[i]; winner = who[i]; at = foldedTo[i];
       if :: at < first -> at = first :: else -> skip fi;
       i++
    :: i < stop && (hasState || kind[i] != Snapshot || !USABLE) -> i++
    :: else -> break
    od;
    /* fold the records from there on */
    i = at;
    do
    :: hasState && i < stop ->
       before = version;
       if
       :: kind[i] == Publication && ACCEPTS(base[i], version) -> version++; winner = who[i]
       :: else -> skip
       fi;
       assert(version >= before);
       i++
    :: else -> break
    od
  }
  assert(!hasState || (version == logVersion[stop] && winner == logWinner[stop]))
}

/* Checks, at the end, that each version has one winner: a version is new only if its
 * publication is based on the version before it. */
proctype Judge() {
  byte i = 1;
  do
  :: i <= next ->
     assert(logVersion[i] == logVersion[i - 1] || kind[i - 1] == Publication && base[i - 1] == logVersion[i - 1]);
     i++
  :: else -> break
  od
}

init {
  run Publisher(1); run Publisher(2); run Snapshotter(); run Snapshotter(); run Joiner();
  (_nr_pr == 1);
  run Judge()
}
