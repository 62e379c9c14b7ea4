/*
 * The ledger of runs: one run with STAGES non-repeatable stages, two instances, one log.
 *
 * Appends may take effect, be lost, take effect late, or twice; FAULTS bounds how often. An instance may stop
 * between any two steps for as long as the others go on (a pause), and one may crash. Submission 0 reaches both
 * instances (a repeat by the balancer); submission 1 is the caller's second question after "not run".
 *
 * Time is left out. Two rules that rest on it stand as conditions: a copy that arrives behind a refusal is refused
 * (refusalHold), and a refusal counts only while no claim has landed behind it (its deadline lies within the hold).
 */
#ifndef STAGES
#define STAGES 1
#endif
#ifndef FAULTS
#define FAULTS 1
#endif
#ifndef TAKES
#define TAKES 1
#endif
#define LOGMAX 14

mtype = { claim, finish, unknown, take, refuse };                          /* entries */
mtype = { absent, started, doubtful, between, finished };                  /* standing of the run */
mtype = { none, arrived, claiming, granted, sent, refusing, following };   /* job of an instance */

typedef entry { mtype kind; byte writer; byte nonce; byte expected; byte token };

entry records[LOGMAX];
byte length = 0;
entry late[2];          /* one late append for each instance */
bool isLate[2];
byte faults = FAULTS;
byte takes = TAKES;
byte crashes = 1;
byte nonces = 0;
bool dead[2];
byte sends[2];          /* by stage */
bool executed[2];       /* by stage */
bool isNotRun[2];       /* "not run" was said, by submission */
bool isAsked[2];        /* submission 1 has arrived somewhere, or 0 at the instance */
bool isAskedAgain;
/* Scratch, used within one atomic step only. */
hidden byte isValid;
hidden byte isMine;
hidden byte didLand;
hidden byte behind;

inline land(e_kind, e_writer, e_nonce, e_expected, e_token) {
    assert(length < LOGMAX);
    records[length].kind = e_kind;
    records[length].writer = e_writer;
    records[length].nonce = e_nonce;
    records[length].expected = e_expected;
    records[length].token = e_token;
    length++
}

/* didLand is what a sender without read-back believes. */
inline append(e_kind, e_nonce, e_expected, e_token) {
    if
    :: land(e_kind, self, e_nonce, e_expected, e_token); didLand = true
    :: faults > 0 -> faults--; didLand = false                             /* lost */
    :: faults > 0 && !isLate[self] -> faults--; didLand = false;            /* late */
        late[self].kind = e_kind; late[self].writer = self; late[self].nonce = e_nonce;
        late[self].expected = e_expected; late[self].token = e_token; isLate[self] = true
    :: faults > 0 && !isLate[self] -> faults--; didLand = true;             /* twice */
        land(e_kind, self, e_nonce, e_expected, e_token);
        late[self].kind = e_kind; late[self].writer = self; late[self].nonce = e_nonce;
        late[self].expected = e_expected; late[self].token = e_token; isLate[self] = true
    fi
}

#ifdef EPOCH_NOT_CHECKED
#define isNewest(e) true
#else
#define isNewest(e) (e == at)
#endif

#define isOpen (standing == started || standing == doubtful)

inline sayNotRun() {
    isNotRun[submission] = true;
    assert(sends[0] == 0);
    job = none
}

inline readEntry() {
    d_step {
        isValid = false;
        if
        :: records[next].kind == claim ->
            isValid = isNewest(records[next].expected) &&
                (standing == absent || (standing == between && records[next].writer == owner));
            if
            :: isValid ->
                stage = (standing == between -> 1 : 0);
                standing = started; at = next + 1; nonce = records[next].nonce;
                owner = records[next].writer; writer = records[next].writer
            :: else
            fi;
            if
            :: records[next].writer == self && job == claiming && records[next].nonce == mine ->
                job = (isValid -> granted : following)
            :: records[next].writer == self && isValid && !(job == claiming && records[next].nonce == mine) &&
                !(records[next].nonce == grantedNonce) -> voiding = records[next].nonce
            :: else
            fi;
            if
            :: job == granted && records[next].nonce == mine -> grantedNonce = mine
            :: else
            fi
        :: records[next].kind == refuse && records[next].nonce != 0 ->
            isValid = isOpen && nonce == records[next].nonce;
#ifndef OTHERS_VOID
            isValid = isValid && writer == records[next].writer;
#endif
            if
            :: isValid -> at = next + 1; standing = (stage == 1 -> between : absent)
            :: else
            fi;
            if
            :: voiding == records[next].nonce -> voiding = 0
            :: else
            fi
        :: records[next].kind == refuse && records[next].nonce == 0 ->
            isValid = standing == absent && isNewest(records[next].expected);
            if
            :: isValid -> at = next + 1
            :: else
            fi
        :: records[next].kind == finish ->
            if
            :: isOpen && nonce == records[next].nonce -> standing = (stage + 1 < STAGES -> between : finished)
            :: else
            fi
        :: records[next].kind == unknown ->
            if
            :: standing == started && nonce == records[next].nonce -> standing = doubtful
            :: else
            fi
        :: records[next].kind == take ->
            if
            :: (isOpen || standing == between) && isNewest(records[next].expected) ->
                owner = records[next].writer; at = next + 1
            :: else
            fi
        fi;
        /* A refusal of this instance's own, sent since it was asked for. */
        isMine = isValid && records[next].kind == refuse && records[next].writer == self &&
            records[next].token == token && job == refusing && standing == absent;
        behind = next + 1;
        do
        :: behind < length && !(records[behind].kind == claim && records[behind].expected > next) -> behind++
        :: else -> break
        od;
#ifndef NO_HOLD
        isMine = isMine && behind == length;
#endif
        next++;
        behind = 0
    };
    if
    :: isMine -> sayNotRun()
    :: else
    fi;
    isValid = false;
    isMine = false
}

proctype instance(byte self) {
    byte next = 0;               /* next entry to be read */
    mtype standing = absent;     /* replicated state */
    byte at = 0;
    byte stage = 0;
    byte nonce = 0;
    byte owner = 2;
    byte writer = 2;
    mtype job = none;            /* this instance's own */
    byte submission = 0;
    byte expected = 0;
    byte mine = 0;
    byte grantedNonce = 0;
    byte voiding = 0;
    byte token = 0;
    byte asked = 255;            /* epoch that the last refusal has named */
    bool isFactOut = false;      /* an outcome has landed and is not read yet */
    bool isExecuted = false;
#ifdef BLIND_APPEND
    bool isRepeated = false;
#endif

    do
    :: atomic { next < length -> readEntry();
        if
        :: next == length -> isFactOut = false
        :: else
        fi }

    /* A submission arrives: the epoch is noted now. */
    :: atomic { job == none && !isAsked[self] -> isAsked[self] = true; submission = 0; expected = at;
        if
#ifndef NO_HOLD
        :: standing == absent && at > 0 -> job = refusing; token++; asked = 255
        :: standing == absent && at == 0 -> job = arrived
#else
        :: standing == absent -> job = arrived
#endif
        :: standing != absent -> job = following
        fi }
    :: atomic { job == none && isNotRun[0] && !isAskedAgain -> isAskedAgain = true; submission = 1; expected = at;
        job = (standing == absent -> arrived : following) }

    :: atomic { job == arrived -> nonces++; mine = nonces; job = claiming; append(claim, mine, expected, 0);
#ifdef NO_READ_BACK
        job = (didLand -> granted : claiming)
#endif
        }
    /* The owner's next stage. */
    :: atomic { standing == between && owner == self && next == length && voiding == 0 &&
        (job == none || job == following || job == sent) ->
        nonces++; mine = nonces; job = claiming; append(claim, mine, at, 0) }

    /* The claim's deadline. */
    :: atomic { job == claiming && standing == absent -> job = refusing; token++; asked = 255 }
#ifdef BLIND_APPEND
    :: atomic { job == claiming && standing == absent && !isRepeated ->
        isRepeated = true; nonces++; mine = nonces; append(claim, mine, at, 0) }
#endif
    :: atomic { job == claiming && next == length && !isLate[self] && standing != absent ->
        job = (standing == started && nonce == mine -> claiming : following) }

    /* A refusal is sent again for as long as the epoch has not moved, and for a newer one. */
    :: atomic { job == refusing && standing == absent && voiding == 0 && asked != at && next == length ->
        append(refuse, 0, at, token); asked = (didLand -> at : 255) }
    :: atomic { job == refusing && standing != absent && voiding == 0 && next == length -> job = following }
    :: atomic { job == following && standing == absent && next == length -> job = refusing; token++; asked = 255 }

    /* Own claims that have landed after this instance had given up. */
    :: atomic { voiding != 0 && !isFactOut -> append(refuse, voiding, 0, token); isFactOut = didLand }

    :: atomic { job == granted ->
        assert(sends[(mine == nonce && stage == 1 -> 1 : 0)] == 0);
        if
        :: mine == nonce && stage == 1 -> sends[1]++
        :: else -> sends[0]++; assert(!isNotRun[submission])
        fi;
        if
        :: executed[(mine == nonce && stage == 1 -> 1 : 0)] = true; isExecuted = true
        :: isExecuted = false
        fi;
        job = sent }
    /* Its answer comes, or is lost. */
    :: atomic { job == sent && isOpen && nonce == mine && !isFactOut && isExecuted ->
        append(finish, mine, 0, 0); isFactOut = didLand }
    :: atomic { job == sent && standing == started && nonce == mine && !isFactOut ->
        append(unknown, mine, 0, 0); isFactOut = didLand }

    /* Another instance takes the run of an owner that it believes lost. */
    :: atomic { (standing == started || standing == between) && owner != self && next == length && !isFactOut &&
        (takes > 0 || dead[owner]) ->
        if
        :: takes > 0 -> takes--
        :: else
        fi;
        append(take, 0, at, 0); isFactOut = didLand }
    :: atomic { standing == started && owner == self && writer != self && next == length && !isFactOut ->
        if
        :: executed[stage] -> append(finish, nonce, 0, 0)
        :: !executed[stage] ->
#if defined(OTHERS_VOID) || defined(NEGATIVE_STATUS)
#ifdef NEGATIVE_STATUS
            land(refuse, writer, nonce, 0, 0); didLand = true
#else
            append(refuse, nonce, 0, 0)
#endif
#else
            append(unknown, nonce, 0, 0)
#endif
        fi;
        isFactOut = didLand }

    /* The instances are alike, so that it is enough to let one crash. */
    :: atomic { crashes > 0 && self == 0 -> crashes--; dead[self] = true; break }

    /* Nothing more can happen: the accepted run is finished or known as unknown, and what was sent is known. */
    :: atomic { timeout ->
        assert(next == length);
        assert(standing == absent || standing == doubtful || standing == finished);
        assert(standing != absent || sends[0] == 0);
        break }
    od
}

inline arrive() {
    isLate[who] = false;
    if
    :: land(late[who].kind, late[who].writer, late[who].nonce, late[who].expected, late[who].token)
    :: skip
    fi;
    late[who].kind = 0; late[who].writer = 0; late[who].nonce = 0; late[who].expected = 0; late[who].token = 0;
    who = 0
}

/* Appends whose answer was lost take effect late, or never. */
active proctype lateAppends() {
    byte who = 0;
    do
    :: atomic { isLate[0] -> who = 0; arrive() }
    :: atomic { isLate[1] -> who = 1; arrive() }
    od
}

init {
    atomic { run instance(0); run instance(1) }
}
