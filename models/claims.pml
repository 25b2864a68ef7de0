/*
 * At-most-once execution by claims in a log (src/core/Claims.h).
 *
 * Two daemons handle attempts for one idempotency key. An append can be lost before it takes effect or be
 * delayed, or its response can be lost after it took effect (the daemon then appends the same record again). A daemon
 * can restart and lose its memory at any point, also after it has started the call. The log keeps the order of appends.
 *
 * Property: the call runs at most once, not counting attempts that provably did not run and were withdrawn; an attempt
 * whose caller received "not run" does not run.
 *
 * Seeded faults, each of which must violate the property:
 *   -DRUN_ON_APPEND     runs after its own append without reading the log back
 *   -DFORGET_GIVE_UP    keeps waiting for the claim after the caller received "not run"
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
bool reportedNotRun[ATTEMPTS + 1];

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

/* Sets firstClaim to the first claim below `recordsRead` that has not been withdrawn, or to 0. */
inline findFirstClaim(recordsRead, firstClaim)
{
    d_step {
        firstClaim = 0;
        i = 0;
        do
        :: i < recordsRead && firstClaim == 0 ->
            if
            :: logKind[i] == CLAIM ->
                firstClaim = logClaim[i];
                j = 0;
                do
                :: j < recordsRead && firstClaim != 0 ->
                    if :: logKind[j] == WITHDRAW && logClaim[j] == firstClaim -> firstClaim = 0 :: else -> skip fi;
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

/* This daemon's claim is the first: it sends the call, which ran, may have run, or provably did not run. */
inline execute()
{
    assert(!reportedNotRun[claim]);
    if
    :: runs++;
        assert(runs <= 1);
#ifdef WITHDRAW_AFTER_RUN
        claimToWithdraw = claim
#endif
    :: claimToWithdraw == 0 -> claimToWithdraw = claim
    fi;
    claim = 0
}

proctype Daemon()
{
    byte claim = 0; /* the attempt in progress */
    byte delayedClaim = 0; /* an append of this daemon that is delayed in the network */
    byte claimToWithdraw = 0;
    byte recordsRead = 0; /* number of records read */
    byte firstClaim = 0;
    byte i = 0;
    byte j = 0;
    bool appended = false;

    do
    /* A caller's attempt arrives. */
    :: atomic { claim == 0 && nextClaim <= ATTEMPTS -> claim = nextClaim; nextClaim++; appended = false }
    /* The claim is appended: at once, later, or not at all; it may be appended again. */
    :: atomic { claim != 0 && logLength < LOG_SIZE -> append(CLAIM, claim); appended = true }
    :: atomic { claim != 0 && delayedClaim == 0 -> delayedClaim = claim; appended = true }
    :: atomic { delayedClaim != 0 && logLength < LOG_SIZE -> append(CLAIM, delayedClaim); delayedClaim = 0 }
    :: atomic { delayedClaim != 0 -> delayedClaim = 0 }
    :: atomic { claimToWithdraw != 0 && logLength < LOG_SIZE -> append(WITHDRAW, claimToWithdraw); claimToWithdraw = 0 }
    /* Records are read in order, one at a time; after each the daemon decides whether to execute the call. */
    :: atomic { recordsRead < logLength ->
        recordsRead++;
        findFirstClaim(recordsRead, firstClaim);
        if
        :: claim != 0 && firstClaim == claim -> execute()
        :: else -> skip
        fi;
        firstClaim = 0 }
#ifdef RUN_ON_APPEND
    :: atomic { claim != 0 && appended -> execute() }
#endif
    /* The deadline passes. */
    :: atomic { claim != 0 && claimToWithdraw == 0 ->
        reportedNotRun[claim] = true;
        if :: appended -> claimToWithdraw = claim :: else -> skip fi;
#ifndef FORGET_GIVE_UP
        claim = 0
#endif
        }
    /* Cold restart: delayed appends may still arrive, all other state is lost. */
    :: atomic { restarts < RESTARTS ->
        restarts++; claim = 0; claimToWithdraw = 0; recordsRead = 0; appended = false }
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
