/* The configuration log: two operators change one resource through two instances that replay the log.
 *
 * Appends may take effect at once, late, or never, and their answers may be lost. Retention drops records from the
 * head. Snapshot records are captured at one time and may land at any later time. Instances are replaced one by one
 * or all at once.
 *
 * Checked: every instance's state is the one that the whole log gives at its offset (all replay alike, nothing
 * reverts); an operator is told "accepted" only of a change that had its effect, once, and "rejected" only of a
 * change that has none and never will; a base is always found while retention respects the newest snapshot.
 *
 * Variants that must fail: LATE_SNAPSHOT_WINS, BASE_WITH_GAP, NEW_ID, NO_VERSION_CHECK, NO_DEDUPE,
 * NO_IDS_IN_SNAPSHOT. FREE_RETENTION lets records go without regard to snapshots; safety must hold all the same.
 */

#ifndef LOGMAX
#define LOGMAX 4
#endif
#define INSTANCES 2
#define OPERATORS 2
#define REPLACEMENTS 1
#define SNAPSHOTS 2

#define ABSENT 0
#define CHANGE 1
#define SNAPSHOT 2

#define UNDECIDED 0
#define ACCEPTED 1
#define REJECTED 2

/* A change holds id, expected and value (0 removes); a snapshot covers an offset and holds the state there. */
typedef record {
    byte kind;
    byte id; /* one bit */
    byte expected;
    byte value;
    byte covers;
    byte version;
    byte ids; /* bits of decided changes */
    byte won; /* bits of accepted changes */
}

typedef replica {
    byte offset;
    byte version;
    byte value;
    byte ids;
    byte won;
}

record logged[LOGMAX + 1];
byte head = 1;
byte end = 1;

replica instances[INSTANCES];
replica truth[LOGMAX + 1]; /* state of the whole log after each offset */

record lateChange[OPERATORS];
record lateSnapshot[INSTANCES];
byte told[OPERATORS];
byte effects[OPERATORS];
byte snapshots = 0;
byte replacements = 0;

#define operatorOf(bit) ((bit == 1 || bit == 4) -> 0 : 1)

#ifdef BASE_WITH_GAP
#define isBase(at) (logged[at].kind == SNAPSHOT)
#else
#define isBase(at) (logged[at].kind == SNAPSHOT && logged[at].covers + 1 >= head)
#endif

#define isNewer(at, best) (best == 0 || logged[at].covers > logged[best].covers)

inline copyRecord(to, from) {
    to.kind = from.kind;
    to.id = from.id;
    to.expected = from.expected;
    to.value = from.value;
    to.covers = from.covers;
    to.version = from.version;
    to.ids = from.ids;
    to.won = from.won
}

inline copyState(to, from) {
    to.version = from.version;
    to.value = from.value;
    to.ids = from.ids;
    to.won = from.won
}

/* What the log means: the rule without any variant. */
inline extendTruth() {
    truth[end].offset = end;
    copyState(truth[end], truth[end - 1]);
    if
    :: logged[end].kind == CHANGE && !(truth[end].ids & logged[end].id) ->
        truth[end].ids = truth[end].ids | logged[end].id;
        if
        :: logged[end].expected == truth[end].version ->
            truth[end].won = truth[end].won | logged[end].id;
            truth[end].value = logged[end].value;
            truth[end].version = (logged[end].value == 0 -> 0 : end);
            effects[operatorOf(logged[end].id)]++;
            assert(effects[operatorOf(logged[end].id)] == 1);
            assert(told[operatorOf(logged[end].id)] != REJECTED)
        :: else
        fi
    :: else
    fi
}

inline clear(what) {
    what.kind = ABSENT;
    what.id = 0;
    what.expected = 0;
    what.value = 0;
    what.covers = 0;
    what.version = 0;
    what.ids = 0;
    what.won = 0
}

inline land(what) {
    if
    :: end <= LOGMAX ->
        copyRecord(logged[end], what);
        extendTruth();
        end++
    :: else
    fi
}

inline landLate(slot) {
    land(slot);
    clear(slot)
}

/* A record that no reader can meet any more takes no part in the state. */
inline drop() {
    clear(logged[head]);
    head++
}

inline checkReplica(self) {
    assert(self.version == truth[self.offset].version);
    assert(self.value == truth[self.offset].value);
    assert(self.ids == truth[self.offset].ids);
    assert(self.won == truth[self.offset].won)
}

inline applyChange(self, at) {
    if
#ifndef NO_DEDUPE
    :: self.ids & logged[at].id
#endif
    :: else ->
        self.ids = self.ids | logged[at].id;
        if
#ifdef NO_VERSION_CHECK
        :: true ->
#else
        :: logged[at].expected == self.version ->
#endif
            self.won = self.won | logged[at].id;
            self.value = logged[at].value;
            self.version = (logged[at].value == 0 -> 0 : at)
#ifndef NO_VERSION_CHECK
        :: else
#endif
        fi
    fi
}

inline readNext(self) {
    at = self.offset + 1;
    if
    :: logged[at].kind == CHANGE -> applyChange(self, at)
#ifdef LATE_SNAPSHOT_WINS
    :: logged[at].kind == SNAPSHOT -> copyState(self, logged[at])
#endif
    :: else
    fi;
    self.offset = at;
    at = 0;
    checkReplica(self)
}

/* The newest snapshot with every later record retained. */
inline takeBase(self) {
    best = 0;
    at = head;
    do
    :: at < end ->
        if
        :: isBase(at) && logged[at].covers > self.offset && isNewer(at, best) -> best = at
        :: else
        fi;
        at++
    :: else -> break
    od;
    if
    :: best != 0 ->
        assert(logged[best].covers > self.offset);
        self.offset = logged[best].covers;
        copyState(self, logged[best]);
#ifdef BASE_WITH_GAP
        self.offset = (self.offset + 1 < head -> head - 1 : self.offset);
#endif
#ifdef NO_IDS_IN_SNAPSHOT
        self.ids = 0;
        self.won = 0;
#endif
        checkReplica(self)
    :: else ->
#ifndef FREE_RETENTION
        assert(false)
#else
        skip
#endif
    fi;
    best = 0;
    at = 0
}

inline capture(self, slot) {
    slot.kind = SNAPSHOT;
    slot.covers = self.offset;
    slot.value = self.value;
    slot.version = self.version;
    slot.ids = self.ids;
    slot.won = self.won;
    snapshots++
}

inline forget(self) {
    self.offset = 0;
    self.version = 0;
    self.value = 0;
    self.ids = 0;
    self.won = 0
}

active [INSTANCES] proctype instance() {
    byte at = 0;
    byte best = 0;
    byte me = _pid;
    do
    :: atomic { instances[me].offset + 1 < end && instances[me].offset + 1 >= head -> readNext(instances[me]) }
    :: atomic { instances[me].offset + 1 < head -> takeBase(instances[me]) }
    :: atomic { lateSnapshot[me].kind == ABSENT && instances[me].offset > 0 && snapshots < SNAPSHOTS ->
        capture(instances[me], lateSnapshot[me]) }
    :: atomic { replacements < REPLACEMENTS -> forget(instances[me]); replacements++ }
    :: atomic { replacements < REPLACEMENTS -> forget(instances[0]); forget(instances[1]); replacements++ }
    od
}

/* An append lands now, late, or never; none of the three is told apart by its sender. */
inline send(me, slot) {
    if
    :: lateChange[me].kind == ABSENT -> copyRecord(lateChange[me], slot)
    :: land(slot)
    :: true
    fi
}

inline tell(self) {
    told[me] = ((self.won & mine.id) -> ACCEPTED : REJECTED);
    assert(told[me] == REJECTED || effects[me] == 1);
    assert(told[me] == ACCEPTED || effects[me] == 0)
}

active [OPERATORS] proctype changer() {
    byte me = _pid - INSTANCES;
    byte sends = 0;
    record mine;
    atomic {
        if
        :: mine.value = me + 1
        :: me == 1 && instances[0].version > 0 -> mine.expected = instances[0].version
        fi;
        mine.kind = CHANGE;
        mine.id = me + 1
    }
    do
    :: atomic { sends < 2 -> send(me, mine); sends++ }
#ifdef NEW_ID
    :: atomic { sends == 1 && mine.id <= 2 -> mine.id = mine.id * 4 }
#endif
    :: atomic { instances[0].ids & mine.id -> tell(instances[0]); break }
    :: atomic { instances[1].ids & mine.id -> tell(instances[1]); break }
    :: break /* unknown */
    od;
    atomic {
        clear(mine);
        sends = 0
    }
}

active proctype service() {
    byte at = 0;
    do
    :: atomic { lateChange[0].kind != ABSENT -> landLate(lateChange[0]) }
    :: atomic { lateChange[1].kind != ABSENT -> landLate(lateChange[1]) }
    :: atomic { lateSnapshot[0].kind != ABSENT -> landLate(lateSnapshot[0]) }
    :: atomic { lateSnapshot[1].kind != ABSENT -> landLate(lateSnapshot[1]) }
#ifdef FREE_RETENTION
    :: atomic { head < end -> drop() }
#else
    :: atomic { head < end ->
        at = head + 1;
        do
        :: at < end && !(logged[at].kind == SNAPSHOT && logged[at].covers >= head) -> at++
        :: else -> break
        od;
        if
        :: at < end -> drop()
        :: else
        fi;
        at = 0 }
#endif
    od
}
