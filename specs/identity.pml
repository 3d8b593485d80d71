/* A call that must not run twice, sent again through any entry VM. The VM that
 * minted the identity runs it from its memory, and crashes and comes back as
 * another incarnation. A message between the VMs may be lost after it took
 * effect.
 *
 * BROKEN_TAKEOVER lets the other VM run the call when the minting VM does not
 * answer. BROKEN_INCARNATION lets a restarted VM run an identity of its
 * predecessor. */

byte runs = 0;
byte sends = 0;
byte crashes = 0;
byte incarnation = 1;
bool begun = false;          /* in the minting VM's memory */

#ifdef BROKEN_INCARNATION
#define MINE(i) (true)
#else
#define MINE(i) (i == incarnation)
#endif

inline RunMinted(minted) {
  if
  :: MINE(minted) && !begun -> begun = true; runs++
  :: else -> skip
  fi
}

active proctype Caller() {
  do
  :: sends < 3 ->
     sends++;
     if
     :: true -> atomic { RunMinted(1) }   /* through either VM; the answer may be lost */
     :: true -> skip                      /* the minting VM does not answer: may have run */
#ifdef BROKEN_TAKEOVER
     :: true -> runs++                    /* the other VM runs it itself */
#endif
     fi;
     assert(runs <= 1)
  :: sends >= 3 -> break
  od
}

active proctype Crash() {
  do
  :: atomic { crashes < 2 -> crashes++; incarnation++; begun = false }
  :: break
  od
}
