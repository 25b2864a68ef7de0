/*
 * The configuration replica that applies the records of the configuration stream (src/config/ConfigurationReplica.h).
 *
 * Operators append changes that contain their base version. Daemons apply the records, write checkpoints (also late
 * ones, from a snapshot taken before a pause), adopt peers' states and restart cold. The log expires old records.
 * The document is represented by the set of accepted changes.
 *
 * Properties: two replicas that applied the same records are equal; a daemon's version decreases only
 * by a cold restart; of two changes with the same base version at most one is accepted.
 *
 * Seeded faults, each of which must violate a property:
 *   -DNO_GAP_RULE      adopts a checkpoint although records between it and the first retained one are missing
 *   -DADOPT_ANY_PEER   adopts a peer's state without comparing offsets
 *   -DACCEPT_OLD_BASE  accepts a change whose base is older than the current version
 */
#define LOG_SIZE 4
#define RESTARTS 1 /* cold restarts of all readers together */
#define READERS 2
#define CHANGE 1
#define CHECKPOINT 2

byte kind[LOG_SIZE];
byte value[LOG_SIZE]; /* change: base version; checkpoint: version */
byte appliedThrough[LOG_SIZE]; /* checkpoint: number of records applied */
byte checkpointDocument[LOG_SIZE]; /* checkpoint: accepted changes as a bit set of offsets */
byte length = 0;
byte firstRetained = 0;

/* The reference: version and document after each number of records of the log. */
byte referenceVersion[LOG_SIZE + 1];
byte referenceDocument[LOG_SIZE + 1];

/* Each reader's state: number of records applied, version, document. */
byte restarts = 0;
byte position[READERS];
byte version[READERS];
byte readerDocument[READERS];

inline appendReference(accepted)
{
    if
    :: accepted ->
        referenceVersion[length + 1] = referenceVersion[length] + 1;
        referenceDocument[length + 1] = referenceDocument[length] | (1 << length)
    :: else ->
        referenceVersion[length + 1] = referenceVersion[length];
        referenceDocument[length + 1] = referenceDocument[length]
    fi;
    length++
}

inline checkReader(r)
{
    assert(version[r] == referenceVersion[position[r]]);
    assert(readerDocument[r] == referenceDocument[position[r]])
}

proctype Operator()
{
    byte base;
    do
    :: length < LOG_SIZE ->
        /* Reads the version in force, perhaps long before the append. */
        base = referenceVersion[length];
        if
        :: atomic { length < LOG_SIZE ->
            kind[length] = CHANGE;
            value[length] = base;
            appendReference(base == referenceVersion[length]) }
        :: atomic { length >= LOG_SIZE -> break }
        fi
    :: length >= LOG_SIZE -> break
    od
}

proctype Retention()
{
    do
    :: atomic { firstRetained < length && firstRetained < LOG_SIZE - 1 -> firstRetained++ }
    :: length >= LOG_SIZE -> break
    od
}

proctype Reader(byte r)
{
    byte at;
    byte before;
    byte snapshotVersion;
    byte snapshotThrough;
    byte snapshotDocument;
    bool hasSnapshot = false;
    do
    /* Applies the next record if it is retained. */
    :: atomic { position[r] < length && position[r] >= firstRetained ->
        at = position[r];
        before = version[r];
        position[r] = at + 1;
        if
#ifdef ACCEPT_OLD_BASE
        :: kind[at] == CHANGE && value[at] <= version[r] ->
#else
        :: kind[at] == CHANGE && value[at] == version[r] ->
#endif
            version[r]++;
            readerDocument[r] = readerDocument[r] | (1 << at)
        :: else -> skip
        fi;
        assert(version[r] >= before);
        checkReader(r);
        at = 0; before = 0 }
    /* Adopts a retained checkpoint after a gap. */
    :: atomic { position[r] < firstRetained && firstRetained < length ->
        at = firstRetained;
        do
        :: at < length - 1 -> at++
        :: break
        od;
        if
#ifdef NO_GAP_RULE
        :: kind[at] == CHECKPOINT && appliedThrough[at] >= position[r] ->
            position[r] = (appliedThrough[at] > firstRetained -> appliedThrough[at] : firstRetained);
#else
        :: kind[at] == CHECKPOINT && appliedThrough[at] >= position[r] && appliedThrough[at] >= firstRetained ->
            position[r] = appliedThrough[at];
#endif
            version[r] = value[at];
            readerDocument[r] = checkpointDocument[at];
            checkReader(r)
        :: else -> skip
        fi;
        at = 0 }
    /* Adopts a peer's state. */
    :: atomic {
#ifndef ADOPT_ANY_PEER
        position[1 - r] > position[r] ->
#endif
        before = version[r];
        position[r] = position[1 - r];
        version[r] = version[1 - r];
        readerDocument[r] = readerDocument[1 - r];
        assert(version[r] >= before);
        checkReader(r);
        at = 0; before = 0 }
    /* Takes a snapshot and writes it as a checkpoint, perhaps much later. */
    :: atomic { !hasSnapshot && position[r] > 0 && length < LOG_SIZE ->
        hasSnapshot = true;
        snapshotVersion = version[r];
        snapshotThrough = position[r];
        snapshotDocument = readerDocument[r] }
    :: atomic { hasSnapshot && length < LOG_SIZE ->
        kind[length] = CHECKPOINT;
        value[length] = snapshotVersion;
        appliedThrough[length] = snapshotThrough;
        checkpointDocument[length] = snapshotDocument;
        appendReference(false);
        hasSnapshot = false; snapshotVersion = 0; snapshotThrough = 0; snapshotDocument = 0 }
    /* Cold restart. */
    :: atomic { position[r] > 0 && restarts < RESTARTS -> restarts++; position[r] = 0; version[r] = 0; readerDocument[r] = 0; hasSnapshot = false; snapshotVersion = 0; snapshotThrough = 0; snapshotDocument = 0 }
    :: length >= LOG_SIZE && position[r] == length -> break
    od
}

init
{
    atomic {
        run Operator();
        run Operator();
        run Retention();
        run Reader(0);
        run Reader(1)
    }
}
