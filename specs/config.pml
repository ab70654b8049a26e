/*
 * Acceptance of configuration changes (section 2.5 of the design page).
 *
 * The model has four instances. Version 1 has the fleet {0,1,2} and a valid key. Version 2 replaces
 * instance 0 with instance 3 in the fleet, and version 3 withdraws the key. Each change may remain
 * unwritten or unconfirmed. With LAST=2 one change does both; the smaller number of states allows
 * more restarts.
 *
 * Time is not modeled: a confirmation is checked against the version that was accepted when its
 * request was sent. If every confirmation covers that version, no instance serves under an older
 * one after the freshness period. Loss, delay, partitions and isolation are steps that are not
 * taken.
 *
 * Broken variants, each of which must violate an assertion:
 *   SKIP_CONFIRMATION  a change counts as accepted when it is written
 *   COUNT_RESTARTED    a restarted instance confirms any version that it has fetched
 *   NEW_FLEET_ONLY     only the fleet of the new version confirms
 *   NEIGHBOUR_FLEETS   only the fleets of the last two versions confirm
 *   SERVE_MINORITY     one instance alone is sufficient to confirm a version
 *   ONE_ANSWER         one reply of each instance is sufficient for acceptance
 * Variants whose assertion is violated in a state that the search must reach:
 *   REACH_OUTAGE       a majority confirms the last version while the platform is unavailable
 *   REACH_RELOAD       a restarted instance loads the last version from other instances
 */

#define INSTANCES 4
#ifndef LAST
#define LAST 3          /* last version, which withdraws the key */
#endif
#ifndef RESTARTS
#define RESTARTS 1      /* maximum number of restarts in a run */
#endif

#define BIT(i) (1 << (i))
#define OLD_FLEET 7     /* {0,1,2} */
#define NEW_FLEET 14    /* {1,2,3} */
#define FLEET(version) ((version) == 1 -> OLD_FLEET : NEW_FLEET)
#define BIT_COUNT(mask) \
    (((mask) & 1) + (((mask) >> 1) & 1) + (((mask) >> 2) & 1) + (((mask) >> 3) & 1))
#define IS_MAJORITY(mask, fleet) (BIT_COUNT((mask) & (fleet)) >= 2)
#ifdef SERVE_MINORITY
#define MAY_SERVE(mask, fleet) (BIT_COUNT((mask) & (fleet)) >= 1)
#else
#define MAY_SERVE(mask, fleet) IS_MAJORITY(mask, fleet)
#endif

byte applied[INSTANCES];            /* applied version; 0 after a restart */
byte loaded;                        /* instances that may confirm their version, as a bit mask */
byte restarts;
byte root_version = 1;              /* version of the root in the platform */
bool platform_available = true;
byte accepted = 1;                  /* greatest version reported as accepted */
bool base_accepted;                 /* version 2 was recorded as accepted when 3 was written */

/* An instance that has read the root but not applied its sections yet. */
byte loading_instance = INSTANCES;  /* INSTANCES if there is none */
byte loading_version;

/* Tally of one version. Tallies do not affect each other, so one at a time is sufficient. It can be
   ended without acceptance and started again. */
byte tally_version;                 /* version being confirmed; 0 if there is none */
bool moment_chosen;                 /* whether the moment has been chosen */
byte first_replies;                 /* processes that replied before the moment */
byte second_replies;                /* processes that replied again after the moment */
#ifdef ONE_ANSWER
byte any_replies;                   /* instances that have replied, restarted ones included */
#define RECORD_REPLY(i) any_replies = any_replies | BIT(i)
#define CLEAR_REPLIES any_replies = 0
#define COUNTED_REPLIES any_replies
#else
#define RECORD_REPLY(i) skip
#define CLEAR_REPLIES skip
#define COUNTED_REPLIES second_replies
#endif

/* A round of requests with which an instance confirms its version without the platform. */
byte requester = INSTANCES;         /* instance that sends them; INSTANCES if there is none */
byte accepted_at_request;           /* version that was accepted when the round started */
byte round_replies;                 /* instances that have replied and applied nothing newer */

#ifdef COUNT_RESTARTED
#define CONFIRMS(i) (applied[i] > 0)
#else
#define CONFIRMS(i) (loaded & BIT(i))
#endif

/* Fleets that must confirm a version: those since the last version recorded as accepted. */
#if defined(NEW_FLEET_ONLY)
#define FLEETS_CONFIRM(mask) IS_MAJORITY(mask, FLEET(tally_version))
#elif defined(NEIGHBOUR_FLEETS)
#define FLEETS_CONFIRM(mask) \
    (IS_MAJORITY(mask, FLEET(tally_version)) && IS_MAJORITY(mask, FLEET(tally_version - 1)))
#else
#define FLEETS_CONFIRM(mask) (IS_MAJORITY(mask, NEW_FLEET) && \
    ((tally_version == LAST && base_accepted) || IS_MAJORITY(mask, OLD_FLEET)))
#endif

/* Chooses an instance for which a condition holds. As the first statement of an atomic sequence it
   is the guard of the whole sequence. */
#define PICK(index, CONDITION) \
    if :: CONDITION(0) -> index = 0 :: CONDITION(1) -> index = 1 \
    :: CONDITION(2) -> index = 2 :: CONDITION(3) -> index = 3 fi
/* Sets the indexes to 0, so that states do not differ in an unused index. */
#define RESET_INDEXES i = 0; j = 0

#define IS_BEHIND(i) \
    (platform_available && loading_instance == INSTANCES && applied[i] < root_version)
#define IS_CURRENT(i) (platform_available && applied[i] == root_version)
#define HAS_OLDER(i) (applied[i] < applied[0] || applied[i] < applied[1] || \
    applied[i] < applied[2] || applied[i] < applied[3])
#define HAS_NEWER(j) (applied[j] > applied[i])
#define CAN_START_ROUND(i) (requester == INSTANCES && applied[i] > 0)
#define CAN_RESTART(i) (restarts < RESTARTS && applied[i] > 0)
#define HAS_TALLY_VERSION(i) (CONFIRMS(i) && applied[i] >= tally_version)
#define CAN_REPLY_FIRST(i) (tally_version > 0 && !moment_chosen && HAS_TALLY_VERSION(i) && \
    !(first_replies & BIT(i)))
#define CAN_REPLY_SECOND(i) (moment_chosen && HAS_TALLY_VERSION(i) && (first_replies & BIT(i)) && \
    !(second_replies & BIT(i)))
#define CAN_REPLY(j) (requester < INSTANCES && j != requester && CONFIRMS(j) && \
    applied[j] <= applied[requester] && !(round_replies & BIT(j)))

/* An instance may serve: it must have applied each version accepted when its request was sent. */
inline serve(instance, required_version) {
    assert(applied[instance] >= required_version);
    /* The withdrawn key must not be valid any more. */
    assert(!(required_version == LAST && applied[instance] < LAST))
}

inline end_tally() {
    tally_version = 0; moment_chosen = false; first_replies = 0; second_replies = 0; CLEAR_REPLIES
}

inline end_round() {
    requester = INSTANCES; accepted_at_request = 0; round_replies = 0
}

inline restart(i) {
    applied[i] = 0;
    loaded = loaded & ~BIT(i);
    /* The new process has a new incarnation, so its replies do not complete those of the old
       process. */
    first_replies = first_replies & ~BIT(i);
    if
    :: loading_instance == i -> loading_instance = INSTANCES; loading_version = 0
    :: else
    fi;
    if
    :: requester == i -> end_round()
    :: else
    fi;
    restarts++
}

/* Ends a round. The replies of other instances, and the requester itself if it may confirm, must be
   a majority of its fleet. */
inline finish_round() {
    if
    :: IS_MAJORITY(round_replies, FLEET(applied[requester])) ->
#ifdef REACH_RELOAD
        assert((loaded & BIT(requester)) || applied[requester] < LAST);
#endif
        loaded = loaded | BIT(requester)
    :: else
    fi;
    if
    :: CONFIRMS(requester) -> round_replies = round_replies | BIT(requester)
    :: else
    fi;
    if
    :: MAY_SERVE(round_replies, FLEET(applied[requester])) ->
#ifdef REACH_OUTAGE
        assert(platform_available || accepted < LAST);
#endif
        serve(requester, accepted_at_request)
    :: else
    fi;
    end_round()
}

active proctype deployment() {
    byte i, j;
    atomic {
        applied[0] = 1; applied[1] = 1; applied[2] = 1; applied[3] = 1;
        loaded = 15
    }
end:
    do
    /* The platform becomes unavailable. Its return needs no step: a run in which the platform is
       unavailable for a time is equivalent to one in which no step uses it during that time. */
    :: platform_available -> platform_available = false

    /* An operator's change is written with compare-and-swap. */
    :: platform_available && root_version < LAST -> atomic {
        root_version++;
        if
        :: root_version == LAST && accepted >= 2 -> base_accepted = true
        :: true
        fi;
#ifdef SKIP_CONFIRMATION
        accepted = root_version
#endif
    }

    /* An instance reads the root. If the root is newer, it loads the sections in a later step. */
    :: atomic {
        PICK(i, IS_CURRENT);
        loaded = loaded | BIT(i);
        serve(i, accepted);
        RESET_INDEXES
    }
    :: atomic {
        PICK(i, IS_BEHIND);
        loading_instance = i;
        loading_version = root_version;
        RESET_INDEXES
    }
    :: atomic {
        loading_instance < INSTANCES ->
        if
        :: applied[loading_instance] < loading_version ->
            applied[loading_instance] = loading_version
        :: else
        fi;
        loaded = loaded | BIT(loading_instance);
        loading_instance = INSTANCES; loading_version = 0
    }

    /* An instance fetches a newer version from another one. */
    :: atomic {
        PICK(i, HAS_OLDER);
        PICK(j, HAS_NEWER);
        applied[i] = applied[j];
        RESET_INDEXES
    }

    /* Tally: first replies, choice of the moment, second replies, acceptance. */
    :: atomic {
        if
        :: tally_version == 0 && root_version >= 2 && accepted < 2 -> tally_version = 2
        :: tally_version == 0 && root_version >= 3 && accepted < 3 -> tally_version = 3
        fi
    }
    :: atomic { tally_version > 0 -> end_tally() }
    :: atomic {
        PICK(i, CAN_REPLY_FIRST);
        first_replies = first_replies | BIT(i);
        RECORD_REPLY(i);
        RESET_INDEXES
    }
    :: tally_version > 0 && !moment_chosen && FLEETS_CONFIRM(first_replies) -> moment_chosen = true
    :: atomic {
        PICK(i, CAN_REPLY_SECOND);
        second_replies = second_replies | BIT(i);
        RESET_INDEXES
    }
    :: atomic {
        tally_version > 0 && FLEETS_CONFIRM(COUNTED_REPLIES) ->
        accepted = (accepted > tally_version -> accepted : tally_version);
        end_tally()
    }

    /* An instance requests confirmations from the other instances. */
    :: atomic {
        PICK(i, CAN_START_ROUND);
        requester = i;
        accepted_at_request = accepted;
        RESET_INDEXES
    }
    :: atomic {
        PICK(j, CAN_REPLY);
        round_replies = round_replies | BIT(j);
        RESET_INDEXES
    }
    :: atomic { requester < INSTANCES -> finish_round() }

    /* A process restarts without any state. */
    :: atomic {
        PICK(i, CAN_RESTART);
        restart(i);
        RESET_INDEXES
    }
    od
}
