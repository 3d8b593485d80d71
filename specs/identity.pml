/* A call that must not run twice and is retried through any entry VM. Only the VM
 * that minted the call's identity runs it, and remembers that in memory. This VM
 * can crash and restart with a new incarnation number. A message between the VMs
 * can be lost after it took effect.
 *
 * The property: the call runs at most once.
 *
 * BROKEN_TAKEOVER makes the other VM run the call if the minting VM does not answer.
 * BROKEN_INCARNATION makes a restarted VM run a call whose identity was minted
 * before the restart. */

byte runs = 0;
byte attempts = 0;
byte crashes = 0;
byte incarnation = 1;
bool started = false;        /* the minting VM remembers that the call has started */

#ifdef BROKEN_INCARNATION
#define CURRENT(i) (true)
#else
#define CURRENT(i) (i == incarnation)
#endif

/* Runs the call on the minting VM, unless it has started it before or the identity
 * was minted in another incarnation. */
inline RunOnMinter(mintedIn) {
  if
  :: CURRENT(mintedIn) && !started -> started = true; runs++
  :: else -> skip
  fi
}

active proctype Caller() {
  do
  :: attempts < 3 ->
     attempts++;
     if
     :: true -> atomic { RunOnMinter(1) } /* sent through either VM; the answer may be lost */
     :: true -> skip                      /* the minting VM does not answer; the call may have run */
#ifdef BROKEN_TAKEOVER
     :: true -> runs++                    /* the other VM runs the call */
#endif
     fi;
     assert(runs <= 1)
  :: attempts >= 3 -> break
  od
}

active proctype Crash() {
  do
  :: atomic { crashes < 2 -> crashes++; incarnation++; started = false }
  :: break
  od
}
