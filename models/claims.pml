/*
 * At-most-once execution by claims in a log (src/core/Claims.h).
 *
 * Two daemons handle attempts for one idempotency key. An append can be lost before it takes effect, delayed, or its
 * answer lost after it took effect (the daemon then appends the same record again). A daemon can restart with nothing in
 * memory at any point, also after it has started the call. The log keeps the order of appends.
 *
 * Property: the call runs at most once, not counting attempts that provably did not run and were withdrawn; an attempt
 * that was answered "not run" does not run.
 *
 * Seeded faults, each of which must violate the property:
 *   -DRUN_ON_APPEND     runs after its own append without reading the log back
 *   -DFORGET_GIVE_UP    keeps waiting for the claim after the caller was answered "not run"
 *   -DWITHDRAW_AFTER_RUN withdraws a claim whose call may have run
 */
#define DAEMONS 2
#define ATTEMPTS 3 /* claim ids 1..ATTEMPTS over all daemons */
#define RESTARTS 1 /* cold restarts of all daemons together */
#define LOG_SIZE 4
#define CLAIM 1
#define WITHDRAW 2

byte logKind[LOG_SIZE];
byte logClaim[LOG_SIZE];
byte logLength = 0;
byte nextClaim = 1;
byte runs = 0; /* runs that happened or may have happened */
byte restarts = 0;
bool toldNotRun[ATTEMPTS + 1];

inline append(kind, claim)
{
    if
    :: logLength < LOG_SIZE ->
        logKind[logLength] = kind;
        logClaim[logLength] = claim;
        logLength++
    :: else -> skip
    fi
}

/* Sets first to the first claim in the records below `position` that counts, or 0. */
inline findFirst(position, first)
{
    d_step {
        first = 0;
        i = 0;
        do
        :: i < position && first == 0 ->
            if
            :: logKind[i] == CLAIM ->
                first = logClaim[i];
                j = 0;
                do
                :: j < position && first != 0 ->
                    if :: logKind[j] == WITHDRAW && logClaim[j] == first -> first = 0 :: else -> skip fi;
                    j++
                :: else -> break
                od
            :: else -> skip
            fi;
            i++
        :: else -> break
        od;
        i = 0;
        j = 0
    }
}

/* The own claim is first: the call is sent, and it ran, may have run, or provably did not run. */
inline execute()
{
    assert(!toldNotRun[claim]);
    if
    :: runs++;
        assert(runs <= 1);
#ifdef WITHDRAW_AFTER_RUN
        mustWithdraw = claim
#endif
    :: mustWithdraw == 0 -> mustWithdraw = claim
    fi;
    claim = 0
}

proctype Daemon()
{
    byte claim = 0; /* the attempt in progress */
    byte late = 0; /* an append of this daemon that is delayed in the network */
    byte mustWithdraw = 0;
    byte position = 0; /* records read */
    byte first = 0;
    byte i = 0;
    byte j = 0;
    bool appended = false;

    do
    /* A caller's attempt arrives. */
    :: atomic { claim == 0 && nextClaim <= ATTEMPTS -> claim = nextClaim; nextClaim++; appended = false }
    /* The claim is appended: at once, later, or not at all; it may be appended again. */
    :: atomic { claim != 0 && logLength < LOG_SIZE -> append(CLAIM, claim); appended = true }
    :: atomic { claim != 0 && late == 0 -> late = claim; appended = true }
    :: atomic { late != 0 && logLength < LOG_SIZE -> append(CLAIM, late); late = 0 }
    :: atomic { late != 0 -> late = 0 }
    :: atomic { mustWithdraw != 0 && logLength < LOG_SIZE -> append(WITHDRAW, mustWithdraw); mustWithdraw = 0 }
    /* Records are read in order, one at a time; a decision follows each. */
    :: atomic { position < logLength ->
        position++;
        findFirst(position, first);
        if
        :: claim != 0 && first == claim -> execute()
        :: else -> skip
        fi;
        first = 0 }
#ifdef RUN_ON_APPEND
    :: atomic { claim != 0 && appended -> execute() }
#endif
    /* The deadline passes. */
    :: atomic { claim != 0 && mustWithdraw == 0 ->
        toldNotRun[claim] = true;
        if :: appended -> mustWithdraw = claim :: else -> skip fi;
#ifndef FORGET_GIVE_UP
        claim = 0
#endif
        }
    /* Cold restart: delayed appends may still arrive, everything else is forgotten. */
    :: atomic { restarts < RESTARTS ->
        restarts++; claim = 0; mustWithdraw = 0; position = 0; appended = false }
    :: atomic { nextClaim > ATTEMPTS && claim == 0 -> break }
    od
}

init
{
    atomic {
        byte n = 0;
        do
        :: n < DAEMONS -> run Daemon(); n++
        :: else -> break
        od
    }
}
