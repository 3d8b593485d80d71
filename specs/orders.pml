/* Orders to load weights on one engine. A VM appends a claim to the log and sends its
 * order under that claim. It may be paused between checking its lease and sending
 * the order. The target changes from version 1 to 2 while a former holder of the
 * claim may still send an order for version 1.
 *
 * The property: the engine ends up with version 2. With ENGINE_CHECKS, an old order
 * never replaces a newer one.
 *
 * ENGINE_CHECKS: the engine refuses an order with an old fencing token. Otherwise
 * the holder compares the version that the engine reports with the target.
 * BROKEN_FENCE: the engine gets the token but does not compare it.
 * BROKEN_VERIFY: nobody compares the engine's version with the target afterwards. */

#ifdef BROKEN_VERIFY
#define ROUNDS 1
#else
#define ROUNDS 3
#endif

byte loaded = 0;         /* version that the engine has loaded */
byte target = 1;         /* version that it should load */
byte highestFence = 0;   /* highest fencing token that the engine received */
byte lastClaim = 0;      /* offset of the last accepted claim, used as fencing token */
byte pauses = 0;
bool regressed = false;  /* an old order has replaced a newer one */

/* The engine receives an order for version v with fencing token f. */
inline LoadWeights(f, v) {
  atomic {
#if defined(ENGINE_CHECKS) && !defined(BROKEN_FENCE)
    if
    :: f >= highestFence -> highestFence = f; loaded = v
    :: else -> skip
    fi
#else
    if
    :: f < highestFence -> regressed = true
    :: else -> highestFence = f
    fi;
    loaded = v
#endif
  }
}

proctype VM(byte id) {
  byte claim; byte version; byte rounds = 0;
  do
  :: loaded != target && rounds < ROUNDS ->
     rounds++;
     atomic { lastClaim++; claim = lastClaim; version = target }
     if
     :: skip
     :: atomic { pauses < 2 -> pauses++ }   /* a pause, in which the lease expires unnoticed */
     fi;
     LoadWeights(claim, version)
  :: rounds >= ROUNDS || (loaded == target && target == 2) -> break
  od
}

/* The last holder of the claim: after all pauses it compares the loaded version with
 * the target and sends an order again if they differ. */
active proctype Keeper() {
  byte claim;
  run VM(1); run VM(2);
  target = 2;
#ifndef BROKEN_VERIFY
  (_nr_pr == 1);
  do
  :: loaded != target -> atomic { lastClaim++; claim = lastClaim; LoadWeights(claim, target) }
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
