/* Orders to load weights on one engine that does not compare fencing tokens. A VM
 * announces each order with an append that fails unless the VM has read the log to its
 * end; the offset is the fencing token. Both VMs may believe that they issue the orders.
 * A VM may be suspended at any point, and an order takes up to NET to arrive.
 *
 * The property: no order with a lower token arrives after one with a higher token, and two
 * VMs don't take turns: no order of a VM, one of the other VM and one of the first VM again
 * arrive within LEASE.
 *
 * BROKEN_GUARD: a VM does not wait after another VM's order.
 * BROKEN_TURN: a VM that has sent an order itself waits after another VM's order only until
 * that order has arrived.
 * BROKEN_CLOCK: the clock that limits the time from announcement to order does not
 * count suspension.
 * BROKEN_SUCCESSOR: a VM that starts does not wait after the announcements that it finds.
 * BROKEN_CONDITION: the append does not fail if there is an announcement that the VM has
 * not read. */

#define LEASE 5
#define MAXSEND 0          /* longest time from announcement to sending */
#define NET 1              /* longest time from sending to arrival */
#define MARGIN (MAXSEND + NET)
#define END 9              /* length of the run */
#define ORDERS 2           /* orders that each VM may announce */

byte now = 0;
byte end = 0;              /* the log's end; offsets start at 1 */
byte holderAt[6];          /* who announced the order with this offset */
byte highestToken = 0;
byte lastHolder = 0;
byte lastArrival = 0;
byte turnHolder = 0;       /* who sent the newest order before those of lastHolder */
byte turnArrival = 0;      /* when that order arrived */
byte due[3];               /* latest arrival of each VM's order on its way, 0 for none */

#define PENDING(id) (due[id] != 0 && now >= due[id])

active proctype Clock() {
  do
  :: atomic { now < END && !PENDING(1) && !PENDING(2) -> now++ }
  :: now == END -> break
  od
}

/* The engine receives an order. */
inline Arrive(holder, token) {
  atomic {
    assert(token > highestToken);
    if
    :: lastHolder != 0 && lastHolder != holder ->
       assert(turnHolder != holder || now - turnArrival >= LEASE);
       turnHolder = lastHolder; turnArrival = lastArrival
    :: else -> skip
    fi;
    highestToken = token; lastHolder = holder; lastArrival = now; due[holder] = 0
  }
}

/* An order on its way. */
proctype Order(byte holder; byte token) {
  Arrive(holder, token)
}

proctype VM(byte id) {
  byte read = 0;           /* announcements read so far */
  byte foreignAt = 0;      /* when another VM's announcement was last read, 0 for never */
  byte ownAt = 0;          /* when this VM started its newest announcement, 0 for never */
  byte announced = 0;
  byte start; byte token;
  bool starting = true;
  do
  :: announced < ORDERS && now < END ->
     /* Reads one announcement after the other. */
     do
     :: read < end ->
        atomic {
          read++;
          if
#ifdef BROKEN_SUCCESSOR
          :: holderAt[read] != id && !starting -> foreignAt = now + 1
#else
          :: holderAt[read] != id -> foreignAt = now + 1
#endif
          :: else -> skip
          fi
        }
     :: else -> break
     od;
     starting = false;
#ifndef BROKEN_GUARD
     if
     :: foreignAt == 0 || now + 1 - foreignAt >= LEASE + MARGIN -> skip
#ifdef BROKEN_TURN
     :: now + 1 - foreignAt > MARGIN -> skip
#else
     :: (ownAt == 0 || now + 1 - ownAt >= LEASE + MARGIN) && now + 1 - foreignAt > MARGIN -> skip
#endif
     :: else -> goto next
     fi;
#endif
     start = now;
     atomic {
       if
#ifndef BROKEN_CONDITION
       :: end != read -> goto next
       :: else ->
#else
       :: true ->
#endif
          end++; token = end; holderAt[token] = id;
#ifndef BROKEN_CONDITION
          read = end;
#endif
          announced++; ownAt = start + 1
       fi
     };
     /* The check and the sending are one step: what follows is the network's time. */
     atomic {
#ifndef BROKEN_CLOCK
       if
       :: now - start <= MAXSEND -> skip
       :: else -> goto next
       fi;
#endif
       due[id] = now + NET;
       run Order(id, token)
     };
     (due[id] == 0);
next: skip
  :: else -> break
  od
}

init {
  run VM(1); run VM(2)
}
