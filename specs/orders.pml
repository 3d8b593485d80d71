/* Orders to one engine. A VM claims on the log, orders under its claim, and may
 * pause between the check of its lease and the sending. The target moves from
 * version 1 to 2 while a former holder still has an order for 1 in its hands.
 *
 * ENGINE_CHECKS: the engine refuses an order with an old fencing number.
 * Otherwise the holder compares what the engine reports with the target.
 * BROKEN_FENCE: the engine has the number but does not compare it.
 * BROKEN_VERIFY: nobody compares after the fact. */

#ifdef BROKEN_VERIFY
#define ROUNDS 1
#else
#define ROUNDS 3
#endif

byte loaded = 0;
byte target = 1;
byte fence = 0;          /* highest claim that the engine saw */
byte log = 0;            /* offset of the last accepted claim */
byte pauses = 0;
bool regressed = false;  /* an old order replaced a newer one */

inline Deliver(f, v) {
  atomic {
#if defined(ENGINE_CHECKS) && !defined(BROKEN_FENCE)
    if
    :: f >= fence -> fence = f; loaded = v
    :: else -> skip
    fi
#else
    if
    :: f < fence -> regressed = true
    :: else -> fence = f
    fi;
    loaded = v
#endif
  }
}

proctype VM(byte me) {
  byte claim; byte version; byte rounds = 0;
  do
  :: loaded != target && rounds < ROUNDS ->
     rounds++;
     atomic { log++; claim = log; version = target }
     if
     :: skip
     :: atomic { pauses < 2 -> pauses++ }   /* paused here: its lease lapses unnoticed */
     fi;
     Deliver(claim, version)
  :: rounds >= ROUNDS || (loaded == target && target == 2) -> break
  od
}

/* The engine's holder at the end: after pauses are over it looks again. */
active proctype Keeper() {
  byte claim;
  run VM(1); run VM(2);
  target = 2;
#ifndef BROKEN_VERIFY
  (_nr_pr == 1);
  do
  :: loaded != target -> atomic { log++; claim = log; Deliver(claim, target) }
  :: else -> break
  od;
#else
  (_nr_pr == 1);
#endif
#ifdef ENGINE_CHECKS
  assert(!regressed);
#endif
  assert(loaded == 2)
}
