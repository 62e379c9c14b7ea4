/* The lease on a pool of engines: two instances, records in a log that land late or never, and an engine that does
 * not check fencing numbers.
 *
 * A record names the lease that it follows; its place in the log is the fencing number. A holder counts its lease
 * from before its append was sent, the other from when it reads the record. Reads, landings and pauses take any
 * time; a lost append or order has no effect, as one that was never sent. An order is decided while the lease lasts, is written up to TAIL later and arrives up to TRANSIT after that.
 *
 * Checked: no two instances hold the lease by their own count; the engine never takes an order with a fencing number
 * below one that it has seen.
 *
 * Variants that must fail: NO_FOLLOWS, COUNT_FROM_READ, NO_WAIT, LAPSE_ONLY, NO_TAIL.
 */

#define DURATION 3
#define TAIL 1
#define TRANSIT 1
#define LAST_TIME 6
#define LOGMAX 3
#define NOBODY 2

typedef instance {
    byte read; /* records */
    byte fencing;
    byte holder = NOBODY; /* by the replay */
    byte heldUntil; /* by this instance's own count; 0: not held */
    byte lapsesAt; /* by the reader's count */
    byte clearAt;
    bool appending;
    byte sentAt;
    byte follows;
    bool orderUnderWay;
    byte orderFencing;
    byte arrivesBy;
}

instance nodes[2];
byte logHolder[LOGMAX];
byte logFollows[LOGMAX];
byte logSentAt[LOGMAX]; /* known to the sender only */
byte end;
byte now;
byte newestSeen; /* by the engine */

inline replay(me)
{
    byte at = nodes[me].read;
    nodes[me].read++;
    if
#ifdef NO_FOLLOWS
    :: true ->
#else
    :: logFollows[at] == nodes[me].fencing ->
#endif
        if
        :: logHolder[at] == me && nodes[me].holder != me ->
#if defined(NO_WAIT)
            nodes[me].clearAt = now;
#elif defined(LAPSE_ONLY)
            nodes[me].clearAt = nodes[me].lapsesAt;
#else
            nodes[me].clearAt = (nodes[me].holder == NOBODY -> now : nodes[me].lapsesAt + TRANSIT);
#endif
        :: else
        fi;
        if
        :: logHolder[at] == me ->
#ifdef COUNT_FROM_READ
            nodes[me].heldUntil = now + DURATION;
#else
            nodes[me].heldUntil = logSentAt[at] + DURATION;
#endif
        :: else -> nodes[me].heldUntil = 0
        fi;
        nodes[me].holder = logHolder[at];
        nodes[me].fencing = at + 1;
        nodes[me].lapsesAt = now + DURATION
    :: else
    fi;
    at = 0
}

/* Values without a meaning any more become 0, so that equal states are found equal. */
inline forgetAppend(me)
{
    nodes[me].appending = false;
    nodes[me].sentAt = 0;
    nodes[me].follows = 0
}

inline forgetOrder(me)
{
    nodes[me].orderUnderWay = false;
    nodes[me].orderFencing = 0;
    nodes[me].arrivesBy = 0
}

inline forgetRead()
{
    if
    :: nodes[0].read == nodes[1].read ->
        logHolder[nodes[0].read - 1] = 0;
        logFollows[nodes[0].read - 1] = 0;
        logSentAt[nodes[0].read - 1] = 0
    :: else
    fi
}

inline forgetPast(one)
{
    if :: nodes[one].heldUntil <= now -> nodes[one].heldUntil = 0 :: else fi;
    if :: nodes[one].lapsesAt + TRANSIT <= now -> nodes[one].lapsesAt = 0 :: else fi;
    if :: nodes[one].clearAt <= now -> nodes[one].clearAt = 0 :: else fi
}

#ifdef NO_TAIL
#define MAY_DECIDE(me) (now < nodes[me].heldUntil)
#else
#define MAY_DECIDE(me) (now + TAIL < nodes[me].heldUntil)
#endif

#define IS_FREE(me) (nodes[me].holder == me || nodes[me].holder == NOBODY || now >= nodes[me].lapsesAt)
#define IS_HELD(me) (now < nodes[me].heldUntil)
#define IS_LATE(me) (nodes[me].orderUnderWay && nodes[me].arrivesBy == now)

active [2] proctype participant()
{
    byte me = _pid;
    do
    :: atomic {
        !nodes[me].appending && end < LOGMAX && IS_FREE(me) ->
            nodes[me].appending = true;
            nodes[me].sentAt = now;
            nodes[me].follows = nodes[me].fencing
        }
    :: atomic {
        nodes[me].appending && end < LOGMAX ->
            logHolder[end] = me;
            logFollows[end] = nodes[me].follows;
            logSentAt[end] = nodes[me].sentAt;
            end++;
            forgetAppend(me)
        }
    :: atomic {
        nodes[me].read < end ->
            replay(me);
            forgetRead();
            assert(!(IS_HELD(0) && IS_HELD(1)))
        }
    :: atomic {
        !nodes[me].orderUnderWay && MAY_DECIDE(me) && now >= nodes[me].clearAt ->
            nodes[me].orderUnderWay = true;
            nodes[me].orderFencing = nodes[me].fencing;
            nodes[me].arrivesBy = now + TAIL + TRANSIT
        }
    :: atomic {
        nodes[me].orderUnderWay ->
            assert(nodes[me].orderFencing >= newestSeen);
            newestSeen = nodes[me].orderFencing;
            forgetOrder(me)
        }
    od
}

active proctype clock()
{
    do
    :: atomic {
        now < LAST_TIME && !IS_LATE(0) && !IS_LATE(1) ->
            now++;
            forgetPast(0);
            forgetPast(1)
        }
    od
}
