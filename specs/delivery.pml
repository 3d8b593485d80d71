/* Delivery of a step's samples. Two VMs may hold the step at the same time. Each can
 * crash and lose its memory. Answers can be lost, delayed and reordered. The
 * trainer remembers the samples that it holds and the number of its last pull, and
 * sends both with each pull.
 *
 * The property: the trainer accepts each sample at most once.
 *
 * BROKEN_RULES removes the trainer's two rules: to ignore an answer that does not
 * have the number of the last pull, and to ignore a sample that it holds already.
 * BROKEN_ARBITER makes the VM's memory decide which samples were delivered. */

#define SAMPLES 2
#define FAULTS  3
#define PULLS   5

typedef Answer { byte pull; bool has[SAMPLES]; };

chan answers = [3] of { Answer };

byte accepted[SAMPLES];    /* how often the trainer accepted the sample */
bool held[SAMPLES];        /* the trainer holds the sample */
byte lastPull = 0;
byte faults = 0;
bool generated[4];         /* generated[vm * SAMPLES + sample]: the VM has the sample */
bool delivered[4];         /* the VM assumes that it delivered the sample */

/* A VM that holds the step, rightly or not: generates any sample, and crashes. */
active [2] proctype Holder() {
  byte vm = _pid;
  byte i;
end:
  do
  :: atomic { vm < 2 && !generated[vm * SAMPLES] -> generated[vm * SAMPLES] = true }
  :: atomic { vm < 2 && !generated[vm * SAMPLES + 1] -> generated[vm * SAMPLES + 1] = true }
  :: atomic { faults < FAULTS -> faults++;
       for (i : 0 .. SAMPLES - 1) { generated[vm * SAMPLES + i] = false; delivered[vm * SAMPLES + i] = false } }
  :: accepted[0] > 0 && accepted[1] > 0 -> break
  od
}

/* Sends the next pull to a VM and fills the answer a with the samples that the VM has
 * and the trainer does not hold. With BROKEN_ARBITER, the VM goes by what it assumes
 * that it delivered instead. */
inline Pull(vm) {
  d_step {
    lastPull++;
    a.pull = lastPull;
    i = 0;
    do
    :: i < SAMPLES ->
#ifdef BROKEN_ARBITER
       a.has[i] = generated[vm * SAMPLES + i] && !delivered[vm * SAMPLES + i];
       delivered[vm * SAMPLES + i] = delivered[vm * SAMPLES + i] || a.has[i];
#else
       a.has[i] = generated[vm * SAMPLES + i] && !held[i];
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
  :: lastPull < PULLS && nfull(answers) -> if :: Pull(0) :: Pull(1) fi;
     if
     :: answers!a                                 /* the answer arrives, maybe late */
     :: atomic { faults < FAULTS -> faults++ }    /* the answer is lost */
     fi
  :: atomic { answers?a ->
       i = 0;
       do
       :: i < SAMPLES ->
          if
#ifdef BROKEN_RULES
          :: a.has[i] -> accepted[i]++; held[i] = true
#elif defined(BROKEN_ARBITER)
          :: a.has[i] && a.pull == lastPull -> accepted[i]++; held[i] = true
#else
          :: a.has[i] && a.pull == lastPull && !held[i] -> accepted[i]++; held[i] = true
#endif
          :: else -> skip
          fi;
          assert(accepted[i] <= 1);
          i++
       :: else -> break
       od }
  :: accepted[0] > 0 && accepted[1] > 0 -> break
  :: lastPull == PULLS && empty(answers) -> break
  od
}
