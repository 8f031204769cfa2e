/* Ownership of one slot with one log: seal, recovery, append, dispatch of a
 * call that may not be repeated, take-over, and the change of a replica set.
 *
 * An ownership is one fence. Owners pause and resume anywhere, because every
 * step of every ownership interleaves with all others. Any request may be
 * lost, delivered late (also after its sender went on), delivered twice, or
 * delivered with its answer lost. Replicas keep what they acknowledged.
 *
 * The log has two records: index 0 is the start record of the call, index 1
 * its result. The value of a record is the ownership that made it up.
 *
 * Sizes: OWNERS ownerships; CHANGE adds a fourth replica, which takes the
 * place of the first; ONE_RECORD stops after the start record, which makes
 * room for a fourth ownership. Each guard has a macro that removes it.
 */

#ifndef OWNERS
#define OWNERS 3
#endif

#define NONE 0
#define STALE 9      /* a value from before the replica joined the set */

#ifdef CHANGE
#define REPLICAS 4
#else
#define REPLICAS 3
#endif

#define BIT(r) (1 << (r))
#define TWO_OF(m, a, b, c) \
    ((((m) >> a) & 1) + (((m) >> b) & 1) + (((m) >> c) & 1) >= 2)
#define OLD_MAJORITY(m) TWO_OF(m, 0, 1, 2)
#define NEW_MAJORITY(m) TWO_OF(m, 1, 2, 3)

/* Implemented by jasminewheel._internal.replication.replicas:ReplicaSets.has_majority */
#ifdef CHANGE
#define MAJORITY(stage, m) \
    ((stage == 0 && OLD_MAJORITY(m)) || (stage == 2 && NEW_MAJORITY(m)) || \
     (stage == 1 && OLD_MAJORITY(m) && NEW_MAJORITY(m)))
#define IN_SETS(stage, r) \
    ((r == 0 && stage < 2) || r == 1 || r == 2 || (r == 3 && stage > 0))
#else
#define MAJORITY(stage, m) OLD_MAJORITY(m)
#define IN_SETS(stage, r) (r < 3)
#endif

/* Steps of an owner. */
#define SEALING 0
#define COMPLETING 1
#define STARTING 2
#define DISPATCHING 3
#define FINISHING 4
#define DONE 5

/* What each replica keeps. */
byte promised[REPLICAS];
byte fence0[REPLICAS];
byte fence1[REPLICAS];
byte value0[REPLICAS];
byte value1[REPLICAS];
bool joined = false;         /* the fourth replica voided its old content */
bool removed = false;        /* the first replica's disk is gone */

/* The placement in the store, and whether the slot was copied under it. */
byte placement = 0;
bool copied = false;

/* What the world sees. */
byte runs = 0;               /* of the call, counted by its target */
byte answered = NONE;        /* the result given to the caller */
byte committed0 = NONE;      /* records that an owner relied on */
byte committed1 = NONE;

/* Implemented by jasminewheel._internal.history.state:SlotState.may_seal */
#ifdef NO_SEAL
#define MAY_SEAL(f, r) true
#else
#define MAY_SEAL(f, r) (f > promised[r])
#endif

/* Implemented by jasminewheel._internal.history.state:SlotState.may_write */
#ifdef NO_FENCE_CHECK
#define MAY_WRITE(f, r) true
#else
#define MAY_WRITE(f, r) (f >= promised[r])
#endif

/* A disk that was replaced answers under another name.
 * Implemented by jasminewheel._internal.history.fence_guard:FenceGuard.check_replica */
#define ANSWERS(r) (!(removed && r == 0))

/* What a replica holds from before it joined the set is void.
 * Implemented by jasminewheel._internal.history.state:DiskState.apply_promise */
inline join(r) {
#ifdef CHANGE
#ifndef NO_JOIN
    if
    :: r == 3 && !joined ->
        joined = true;
        fence0[3] = 0; value0[3] = NONE;
        fence1[3] = 0; value1[3] = NONE
    :: else
    fi
#endif
#endif
    skip
}

/* Implemented by jasminewheel._internal.replication.recovery:LogSurvey.record_fence */
inline note(best, value, holders, found_fence, found_value, r) {
    if
    :: found_fence > best ->
        best = found_fence; value = found_value; holders = BIT(r)
    :: found_fence == best && best > 0 ->
        holders = holders | BIT(r)
    :: else
    fi
}

/* Implemented by jasminewheel._internal.history.writes:WriteService.seal
 * and jasminewheel._internal.history.service:ReadService.read_index */
inline seal_and_read(r) {
#ifndef NO_SEAL
    promised[r] = fence;
#endif
    join(r);
    sealed = sealed | BIT(r);
    note(best0, own0, holders0, fence0[r], value0[r], r);
    note(best1, own1, holders1, fence1[r], value1[r], r)
}

/* Implemented by jasminewheel._internal.history.writes:WriteService.append */
inline append0(r) {
    promised[r] = (fence > promised[r] -> fence : promised[r]);
    join(r);
    fence0[r] = fence;
    value0[r] = own0;
    acks0 = acks0 | BIT(r)
}

inline append1(r) {
    promised[r] = (fence > promised[r] -> fence : promised[r]);
    join(r);
    fence1[r] = fence;
    value1[r] = own1;
    acks1 = acks1 | BIT(r)
}

#ifdef NO_QUORUM_READ
#define READ_ENOUGH(m) ((m) != 0)
#else
#define READ_ENOUGH(m) MAJORITY(stage, m)
#endif

/* An owner that relies on a record finds what every other relied on.
 * Checked on records of real runs by
 * jasminewheel._internal.replication.audit:audit_records */
inline rely0() {
    assert(own0 != STALE);
    assert(committed0 == NONE || committed0 == own0);
    committed0 = own0
}

inline rely1() {
    assert(committed1 == NONE || committed1 == own1);
    committed1 = own1
}

/* Every answer to the caller is the same, whoever gives it. */
inline answer() {
    assert(answered == NONE || answered == own1);
    answered = own1;
    step = DONE
}

/* Requests of an ownership: each may reach any replica at any time after it
 * was first sent, or never. An owner is free not to act on an answer, so a
 * lost answer needs no step of its own. Delivery to a replica that has the
 * record already changes nothing. */
#define OFFER(r) \
    :: d_step { IN_SETS(stage, r) && sends0 && fence0[r] != fence && \
        MAY_WRITE(fence, r) && ANSWERS(r) -> append0(r) } \
    :: d_step { IN_SETS(stage, r) && sends1 && fence1[r] != fence && \
        MAY_WRITE(fence, r) && ANSWERS(r) -> append1(r) } \
    :: d_step { IN_SETS(stage, r) && step == SEALING && !(sealed & BIT(r)) && \
        MAY_SEAL(fence, r) && ANSWERS(r) -> seal_and_read(r) }

proctype Owner(byte number) {
    byte stage = 0;
    byte fence;
    byte step = SEALING;
    byte sealed = 0;
    byte best0 = 0, best1 = 0;         /* highest fences found */
    byte own0 = NONE, own1 = NONE;     /* the log as this owner knows it */
    byte holders0 = 0, holders1 = 0;   /* replicas that hold them */
    byte acks0 = 0, acks1 = 0;
    bool sends0 = false, sends1 = false;

    /* The placement known here may be older than the store's.
     * Implemented by jasminewheel._internal.replication.ownership:Ownership.next_fence */
    atomic {
        if
        :: stage = 0
#ifdef CHANGE
        :: placement >= 1 -> stage = 1
        :: placement == 2 -> stage = 2
#endif
        fi;
        fence = 16 * stage + number
    }

    do
    OFFER(0)
    OFFER(1)
    OFFER(2)
#ifdef CHANGE
    OFFER(3)
#endif

    /* Implemented by jasminewheel._internal.replication.ownership:Ownership.try_seal
     * and jasminewheel._internal.replication.recovery:LogSurvey.indexes_to_write */
    :: step == SEALING && READ_ENOUGH(sealed) ->
        d_step {
            assert(!(best1 > 0 && best0 == 0));   /* a log has no hole */
            step = COMPLETING;
            sends0 = (best0 > 0);
            sends1 = (best1 > 0);
#ifdef NO_REWRITE
            /* Believes the last record without writing it again. */
            sends0 = false;
            sends1 = false;
            acks0 = 15;
            acks1 = 15;
#endif
            /* A record before the last is chosen: its holders count. A last
             * record held by a majority under one fence is chosen too. */
#ifdef NO_REWRITE_OF_HELD
            acks0 = acks0 | holders0;
            acks1 = acks1 | holders1;
#else
            if
            :: best1 > 0 || MAJORITY(stage, holders0) ->
                acks0 = acks0 | holders0
            :: else
            fi;
            if
            :: MAJORITY(stage, holders1) -> acks1 = acks1 | holders1
            :: else
            fi;
#endif
            sealed = 0; holders0 = 0; holders1 = 0; best0 = 0; best1 = 0
        }

    /* Implemented by jasminewheel._internal.replication.recovery:Recovery.complete */
    :: step == COMPLETING && (own0 == NONE || MAJORITY(stage, acks0)) &&
       (own1 == NONE || MAJORITY(stage, acks1)) ->
        d_step {
            if :: own0 != NONE -> rely0() :: else fi;
            if :: own1 != NONE -> rely1() :: else fi;
#ifdef CHANGE
            if :: stage == 1 -> copied = true :: else fi;
#endif
            if
            /* No start record: the call has not run.
             * Implemented by jasminewheel._internal.replication.slot:OwnedSlot.append */
            :: own0 == NONE ->
                own0 = number; acks0 = 0; sends0 = true;
#ifdef NO_START_RECORD
                runs++;
                assert(runs <= 1);
#endif
                step = STARTING
            /* A start record of an earlier owner without a result: the call
             * may have run and is not dispatched again; that is recorded. */
            :: own0 != NONE && own1 == NONE ->
#ifdef ONE_RECORD
                step = DONE
#elif defined(NO_VERDICT)
                step = DISPATCHING
#else
                own1 = number; acks1 = 0; sends1 = true; step = FINISHING
#endif
            :: else -> answer()
            fi
        }

    /* A majority holds the start record: the call may be dispatched. */
    :: step == STARTING && MAJORITY(stage, acks0) ->
#ifdef ONE_RECORD
        d_step { rely0(); step = DONE }
#else
        d_step { rely0(); step = DISPATCHING }
#endif

    :: step == DISPATCHING ->
        d_step {
#ifndef NO_START_RECORD
            runs++;
            assert(runs <= 1);
#endif
            own1 = number; acks1 = 0; sends1 = true; step = FINISHING
        }

    :: step == FINISHING && MAJORITY(stage, acks1) ->
        d_step { rely1(); answer() }

    od
    /* An owner that dies is one that takes no further step. */
}

#ifdef CHANGE
/* Any VM carries a change on, because its state stands in the store.
 * Implemented by jasminewheel._internal.replication.change:ReplicaChangeCoordinator.run */
active proctype Change() {
    /* Implemented by jasminewheel._internal.replication.change:begin_change */
#ifdef NO_JOINT
    placement = 2;
#else
    placement = 1;
    /* Implemented by jasminewheel._internal.replication.change:finish_change */
    /* Implemented by jasminewheel._internal.replication.change:ReplicaChangeCoordinator.copy_slots */
#ifndef NO_COPY
    copied;
#endif
    placement = 2;
#endif
    /* The replaced disk is gone; its VM may come back with an empty one. */
#ifdef NO_DISK_IDENTITY
    d_step {
        promised[0] = 0;
        fence0[0] = 0; value0[0] = NONE;
        fence1[0] = 0; value1[0] = NONE
    }
#else
    removed = true
#endif
}
#endif

#ifdef NO_DURABLE_PROMISE
/* A replica forgets its promise at a restart.
 * Removes jasminewheel._internal.history.state:SlotState.promise_entry */
active proctype Restart() {
    if
    :: promised[0] = 0
    :: promised[1] = 0
    :: promised[2] = 0
    fi
}
#endif

init {
    byte number = 1;
    atomic {
#ifdef CHANGE
        /* The new replica holds what a former membership left on it. */
        fence0[3] = 1; value0[3] = STALE;
#endif
        do
        :: number <= OWNERS -> run Owner(number); number++
        :: else -> break
        od
    }
}
