/* Singleton calls: two VMs that both believe to be the candidate hold the right to make
 * them by records of a log. A claim, a renewal and a fixed report are appended only at the
 * end that the VM has read. A claim's offset is the fencing token. A VM may be suspended at
 * any point, and a call takes up to NET to arrive. The platform does not check tokens.
 *
 * The properties: no call with a lower token arrives after one with a higher token, calls
 * of one token come from one VM, calls of VMs A, B, A are more than LEASE apart, and all
 * reports of the window have the same counts. The counts that a VM would report change.
 *
 * BROKEN_GUARD: a VM claims without waiting after another VM's record.
 * BROKEN_START: a hold is measured from the response and not from before the append.
 * BROKEN_CLOCK: the clock is not checked immediately before a call.
 * BROKEN_LIMIT: a call may be sent until the hold ends and arrive after it, and a claim
 * does not wait for the margin that would cover this.
 * BROKEN_CONDITION: an append succeeds although the VM has not read all records.
 * BROKEN_FIX: a VM reports its own counts without fixing them. */

#define LEASE 2
#define NET 1              /* time limit of a call, from sending to arrival */
#ifdef BROKEN_LIMIT
#define MARGIN 0
#else
#define MARGIN 1           /* added to the lease before a claim */
#endif
#define END 7             /* length of the run */
#define APPENDS 2          /* records that each VM may append */

#define CLAIM 1
#define RENEW 2
#define FIX 3
#define CALL 4

byte now = 0;
byte end = 0;              /* the log's end; offsets start at 1 */
byte writer[8];            /* who appended the record with this offset */
byte fixed[8];             /* counts that the record fixes, 0 for none */
byte highestToken = 0;
byte tokenHolder[8];       /* who called with this token */
byte lastHolder = 0;
byte lastArrival[3];       /* when the last call of each VM arrived */
byte reported = 0;         /* counts of the first report that arrived */
byte due[3];               /* latest arrival of each VM's call on its way, 0 for none */
byte pendingToken[3];      /* its token */
byte pendingCounts[3];     /* its counts */

#define PENDING(id) (due[id] != 0 && now >= due[id])

active proctype Clock() {
  do
  :: atomic { now < END && !PENDING(1) && !PENDING(2) -> now++ }
  :: now == END -> break
  od
}

/* A call of a VM arrives; its counts are 0 if it is not a report. */
inline Arrive(holder) {
  assert(pendingToken[holder] >= highestToken);
  assert(tokenHolder[pendingToken[holder]] == 0 || tokenHolder[pendingToken[holder]] == holder);
  if
  :: lastHolder != 0 && lastHolder != holder && lastArrival[holder] != 0 ->
     assert(now - lastArrival[holder] > LEASE)
  :: else -> skip
  fi;
  if
  :: pendingCounts[holder] != 0 ->
     assert(reported == 0 || reported == pendingCounts[holder]);
     reported = pendingCounts[holder]
  :: else -> skip
  fi;
  highestToken = pendingToken[holder];
  tokenHolder[highestToken] = holder;
  lastHolder = holder; lastArrival[holder] = now;
  due[holder] = 0; pendingToken[holder] = 0; pendingCounts[holder] = 0
}

active proctype Network() {
endNetwork:
  do
  :: atomic { due[1] != 0 -> Arrive(1) }
  :: atomic { due[2] != 0 -> Arrive(2) }
  od
}

#ifdef BROKEN_GUARD
#define MAYCLAIM (token == 0)
#else
#define MAYCLAIM (token == 0 && (foreignAt == 0 || now + 1 - foreignAt >= LEASE + MARGIN))
#endif

#ifdef BROKEN_LIMIT
#define MAYCALL (now < heldUntil)
#else
#define MAYCALL (now + NET <= heldUntil)
#endif

proctype VM(byte id) {
  byte read = 0;           /* records read so far */
  byte foreignAt = 0;      /* one more than when another VM's record was last read */
  byte heldUntil = 0;
  byte token = 0;          /* token of the newest claim if it is this VM's, else 0 */
  byte counts = 0;         /* fixed counts that were read or appended */
  byte appends = 0;
  byte kind = 0; byte start = 0;
  do
  /* Reads all records. */
  :: atomic {
       now < END && read < end ->
       do
       :: read < end ->
          read++;
          if
          :: writer[read] != id -> foreignAt = now + 1; heldUntil = 0; token = 0
          :: else -> skip
          fi;
          if
          :: fixed[read] != 0 -> counts = fixed[read]
          :: else -> skip
          fi
       :: else -> break
       od
     }
  /* Decides to append, appends, and receives the response. Time may pass in between. */
  :: atomic {
       now < END && appends < APPENDS ->
       if
       :: MAYCLAIM -> kind = CLAIM
       :: token != 0 -> kind = RENEW
       :: token != 0 && counts == 0 && now < heldUntil -> kind = FIX
       :: else -> kind = 0
       fi;
       start = now
     };
     atomic {
       if
#ifndef BROKEN_CONDITION
       :: kind != 0 && end != read -> kind = 0
#endif
       :: kind == 0 -> skip
       :: else ->
          end++; writer[end] = id; appends++;
#ifndef BROKEN_CONDITION
          read = end;
#endif
          if
          :: kind == CLAIM -> token = end
          :: kind == FIX -> fixed[end] = id; counts = id
          :: else -> skip
          fi
       fi
     };
     atomic {
       if
#ifdef BROKEN_START
       :: kind != 0 -> heldUntil = now + LEASE
#else
       :: kind != 0 -> heldUntil = start + LEASE
#endif
       :: else -> skip
       fi;
       kind = 0; start = 0
     }
#ifdef BROKEN_CLOCK
  :: atomic { token != 0 && due[id] == 0 && MAYCALL -> kind = CALL };
#else
  /* The check and the sending are one step: what follows is the network's time. */
  :: atomic { token != 0 && due[id] == 0 && MAYCALL ->
#endif
#ifdef BROKEN_CLOCK
     atomic {
       kind = 0;
#endif
       due[id] = now + NET; pendingToken[id] = token; pendingCounts[id] = counts
#ifdef BROKEN_FIX
       ;
       if
       :: counts == 0 -> pendingCounts[id] = id
       :: else -> skip
       fi
#endif
     }
  :: now == END -> break
  od
}

init {
  run VM(1); run VM(2)
}
