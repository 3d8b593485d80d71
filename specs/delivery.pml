/* Delivery of a step's samples. Two VMs may hold the step at the same time, each
 * crashes and forgets, answers are lost, delayed and reordered. The trainer
 * keeps what it holds and the number of its last pull, and states both.
 *
 * BROKEN_RULES removes the trainer's two rules: an answer counts only with the
 * number of the last pull, and a sample counts only when it is not held.
 * BROKEN_ARBITER lets the VM's memory decide what was delivered. */

#define SAMPLES 2
#define FAULTS  3
#define PULLS   5

typedef Answer { byte number; bool has[SAMPLES]; };

chan answers = [3] of { Answer };

byte accepted[SAMPLES];
bool held[SAMPLES];
byte number = 0;
byte faults = 0;
bool made[4];              /* made[vm * SAMPLES + sample] */
bool delivered[4];         /* what the VM believes it delivered */

/* Makes any sample on any VM: a holder, a former holder, an usurper. */
active [2] proctype Holder() {
  byte vm = _pid;
  byte i;
end:
  do
  :: atomic { vm < 2 && !made[vm * SAMPLES] -> made[vm * SAMPLES] = true }
  :: atomic { vm < 2 && !made[vm * SAMPLES + 1] -> made[vm * SAMPLES + 1] = true }
  :: atomic { faults < FAULTS -> faults++;
       for (i : 0 .. SAMPLES - 1) { made[vm * SAMPLES + i] = false; delivered[vm * SAMPLES + i] = false } }
  :: accepted[0] > 0 && accepted[1] > 0 -> break
  od
}

inline Ask(vm) {
  d_step {
    number++;
    a.number = number;
    i = 0;
    do
    :: i < SAMPLES ->
#ifdef BROKEN_ARBITER
       a.has[i] = made[vm * SAMPLES + i] && !delivered[vm * SAMPLES + i];
       delivered[vm * SAMPLES + i] = delivered[vm * SAMPLES + i] || a.has[i];
#else
       a.has[i] = made[vm * SAMPLES + i] && !held[i];
#endif
       i++
    :: else -> break
    od
  }
}

active proctype Trainer() {
  Answer a;
  byte i;
  do
  :: number < PULLS && nfull(answers) -> if :: Ask(0) :: Ask(1) fi;
     if
     :: answers!a                                 /* it comes, maybe late */
     :: atomic { faults < FAULTS -> faults++ }    /* it is lost */
     fi
  :: atomic { answers?a ->
       i = 0;
       do
       :: i < SAMPLES ->
          if
#ifdef BROKEN_RULES
          :: a.has[i] -> accepted[i]++; held[i] = true
#elif defined(BROKEN_ARBITER)
          :: a.has[i] && a.number == number -> accepted[i]++; held[i] = true
#else
          :: a.has[i] && a.number == number && !held[i] -> accepted[i]++; held[i] = true
#endif
          :: else -> skip
          fi;
          assert(accepted[i] <= 1);
          i++
       :: else -> break
       od }
  :: accepted[0] > 0 && accepted[1] > 0 -> break
  :: number == PULLS && empty(answers) -> break
  od
}
