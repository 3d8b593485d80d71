/* The fold of publications. Two publishers race; the log keeps KEEP records;
 * readers append snapshots that name the offset they were folded up to; a late
 * reader starts from what the log keeps.
 *
 * BROKEN_SNAPSHOT lets a late reader take a snapshot although the log dropped
 * records after the offset that the snapshot names. BROKEN_BASE accepts a
 * publication whatever its base. */

#define RECORDS 6
#define KEEP    3

/* One record: a publication of `who` on `base`, or a snapshot of a state. */
mtype = { None, Publication, Snapshot };
mtype kind[RECORDS];
byte who[RECORDS];        /* publisher, or the snapshot's winner */
byte base[RECORDS];       /* base, or the snapshot's version */
byte asof[RECORDS];       /* the snapshot's next offset */
byte next = 0;

/* What the whole log folds to, for comparison: by next offset. */
byte trueVersion[7];
byte trueWinner[7];

#ifdef BROKEN_BASE
#define ACCEPTS(b, v) (true)
#else
#define ACCEPTS(b, v) (b == v)
#endif

#ifdef BROKEN_SNAPSHOT
#define USABLE (true)
#else
#define USABLE (asof[i] >= first)
#endif

#define FIRST (next > KEEP -> next - KEEP : 0)

inline Append(k, w, b, o) {
  d_step {
    kind[next] = k; who[next] = w; base[next] = b; asof[next] = o;
    trueVersion[next + 1] = trueVersion[next];
    trueWinner[next + 1] = trueWinner[next];
    if
    :: k == Publication && ACCEPTS(b, trueVersion[next]) -> trueVersion[next + 1] = trueVersion[next] + 1; trueWinner[next + 1] = w
    :: else -> skip
    fi;
    next++
  }
}

/* A publisher sees some earlier version, and may append twice when the reply
 * is lost; the second has a stale base by then, or loses the race. */
proctype Publisher(byte me) {
  byte seen;
  seen = trueVersion[next];
  if
  :: atomic { next < RECORDS -> Append(Publication, me, seen, 0) }
  :: next >= RECORDS -> skip
  fi;
  if
  :: atomic { next < RECORDS -> Append(Publication, me, seen, 0) }  /* reply lost */
  :: skip
  fi
}

/* A reader that read all so far appends a snapshot of its state, maybe late. */
proctype Snapshotter() {
  byte at; byte version; byte winner;
  d_step { at = next; version = trueVersion[at]; winner = trueWinner[at] }
  if
  :: atomic { next < RECORDS && version > 0 -> Append(Snapshot, winner, version, at) }
  :: skip
  fi
}

/* A late reader. */
proctype Joiner() {
  byte first; byte at; byte version = 0; byte winner = 0; byte i; byte before;
  bool anchored = false;
  d_step {
    first = FIRST;
    at = first;
    if :: first == 0 -> anchored = true :: else -> skip fi
  }
  byte stop = 0;
  d_step {
    stop = next;
    /* find a snapshot to start from */
    i = first;
    do
    :: i < stop && !anchored && kind[i] == Snapshot && USABLE -> anchored = true; version = base[i]; winner = who[i]; at = asof[i];
       if :: at < first -> at = first :: else -> skip fi;
       i++
    :: i < stop && (anchored || kind[i] != Snapshot || !USABLE) -> i++
    :: else -> break
    od;
    /* fold the later records */
    i = at;
    do
    :: anchored && i < stop ->
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
  assert(!anchored || (version == trueVersion[stop] && winner == trueWinner[stop]))
}

/* One winner for each version, over every history. */
proctype Judge() {
  byte i = 1;
  do
  :: i <= next ->
     assert(trueVersion[i] == trueVersion[i - 1] || kind[i - 1] == Publication && base[i - 1] == trueVersion[i - 1]);
     i++
  :: else -> break
  od
}

init {
  run Publisher(1); run Publisher(2); run Snapshotter(); run Snapshotter(); run Joiner();
  (_nr_pr == 1);
  run Judge()
}
