/*
 * Acceptance of configuration changes (section 2.5 of the design page).
 *
 * Four instances. Version 1 has the fleet {0,1,2} and a valid key. Version 2 replaces instance 0
 * by instance 3 in the fleet, version 3 withdraws the key. Each may stay unwritten or unconfirmed.
 * With LAST=2 one change does both, which leaves room for more restarts.
 *
 * Time is left out: a confirmation is judged by the version that was accepted when its request
 * was sent. If every confirmation covers that version, no instance serves under an older one
 * after the freshness period. Loss, delay, partitions and isolation appear as steps that do not
 * happen.
 *
 * Broken variants, each of which must be caught:
 *   SKIP_CONFIRMATION  a change counts as accepted when it is written
 *   COUNT_RESTARTED    a restarted instance confirms whatever it has fetched
 *   NEW_FLEET_ONLY     only the fleet of the new version confirms
 *   NEIGHBOUR_FLEETS   only the fleets of the last two versions confirm
 *   SERVE_MINORITY     one instance confirms its version alone
 *   ONE_ANSWER         one answer of each instance is enough for acceptance
 * Variants whose assertion shows that the interesting states are reached:
 *   REACH_OUTAGE       a majority confirms the last version while the platform is down
 *   REACH_RELOAD       a restarted instance loads the last version from the others
 */

#define N 4             /* instances */
#ifndef LAST
#define LAST 3          /* last version, which withdraws the key */
#endif
#ifndef RESTARTS
#define RESTARTS 1      /* restarts in a history */
#endif

#define BIT(i) (1 << (i))
#define OLD_FLEET 7     /* {0,1,2} */
#define NEW_FLEET 14    /* {1,2,3} */
#define FLEET(v) ((v) == 1 -> OLD_FLEET : NEW_FLEET)
#define COUNT(m) (((m) & 1) + (((m) >> 1) & 1) + (((m) >> 2) & 1) + (((m) >> 3) & 1))
#define IS_MAJORITY(m, f) (COUNT((m) & (f)) >= 2)
#ifdef SERVE_MINORITY
#define MAY_SERVE(m, f) (COUNT((m) & (f)) >= 1)
#else
#define MAY_SERVE(m, f) IS_MAJORITY(m, f)
#endif

byte applied[N];        /* applied version; 0 after a restart */
byte loaded;            /* instances that count as confirming */
byte restarts;
byte root = 1;          /* version in the platform */
bool up = true;         /* whether the platform answers */
byte accepted = 1;      /* greatest version reported as accepted */
bool settled;           /* whether version 2 was known to be accepted when 3 was written */

/* An instance that has read the root but not applied its sections yet. */
byte reader = N;
byte pending;

/* Confirmation of a version. Confirmations do not influence each other, so one at a time is
   enough; it can be given up and started again. */
byte target;            /* version; 0 if none is being confirmed */
bool chosen;            /* whether the moment has been chosen */
byte first;             /* processes that answered before the moment */
byte second;            /* processes that answered again after it */
#ifdef ONE_ANSWER
byte once;              /* instances that have ever answered */
#define ANSWERED(i) once = once | BIT(i)
#define FORGET once = 0
#define ANSWERS once
#else
#define ANSWERED(i) skip
#define FORGET skip
#define ANSWERS second
#endif

/* A round of requests by which an instance confirms its version without the platform. */
byte poller = N;        /* asking instance; N if there is none */
byte poll_accepted;     /* version that was accepted when the round started */
byte answers;           /* instances that have answered and have nothing newer */

#ifdef COUNT_RESTARTED
#define CONFIRMS(i) (applied[i] > 0)
#else
#define CONFIRMS(i) (loaded & BIT(i))
#endif

/* Fleets that must confirm a version: those since the last version known to be accepted. */
#if defined(NEW_FLEET_ONLY)
#define FLEETS_CONFIRM(m) IS_MAJORITY(m, FLEET(target))
#elif defined(NEIGHBOUR_FLEETS)
#define FLEETS_CONFIRM(m) (IS_MAJORITY(m, FLEET(target)) && IS_MAJORITY(m, FLEET(target - 1)))
#else
#define FLEETS_CONFIRM(m) (IS_MAJORITY(m, NEW_FLEET) && \
    ((target == LAST && settled) || IS_MAJORITY(m, OLD_FLEET)))
#endif

/* Chooses an instance for which a condition holds. As the first statement of an atomic sequence it
   is the guard of the whole sequence. */
#define PICK(x, C) if :: C(0) -> x = 0 :: C(1) -> x = 1 :: C(2) -> x = 2 :: C(3) -> x = 3 fi
#define RESET i = 0; j = 0

#define IS_BEHIND(i) (up && reader == N && applied[i] < root)
#define IS_CURRENT(i) (up && applied[i] == root)
#define HAS_OLDER(i) (applied[i] < applied[0] || applied[i] < applied[1] || \
    applied[i] < applied[2] || applied[i] < applied[3])
#define HAS_NEWER(j) (applied[j] > applied[i])
#define CAN_ASK(i) (poller == N && applied[i] > 0)
#define CAN_RESTART(i) (restarts < RESTARTS && applied[i] > 0)
#define HOLDS(i) (CONFIRMS(i) && applied[i] >= target)
#define GIVES_FIRST(i) (target > 0 && !chosen && HOLDS(i) && !(first & BIT(i)))
#define GIVES_SECOND(i) (chosen && HOLDS(i) && (first & BIT(i)) && !(second & BIT(i)))
#define GIVES_ANSWER(j) (poller < N && j != poller && CONFIRMS(j) && applied[j] <= applied[poller] && \
    !(answers & BIT(j)))

/* An instance may serve: it must know every version accepted when its request was sent. */
inline serve(who, since) {
    assert(applied[who] >= since);
    /* The withdrawn key is not accepted any more. */
    assert(!(since == LAST && applied[who] < LAST))
}

inline end_confirmation() {
    target = 0; chosen = false; first = 0; second = 0; FORGET
}

inline end_poll() {
    poller = N; poll_accepted = 0; answers = 0
}

inline restart(i) {
    applied[i] = 0;
    loaded = loaded & ~BIT(i);
    /* The new process has another incarnation, so its answers do not continue the old ones. */
    first = first & ~BIT(i);
    if
    :: reader == i -> reader = N; pending = 0
    :: else
    fi;
    if
    :: poller == i -> end_poll()
    :: else
    fi;
    restarts++
}

/* The answers of others, and the instance itself if it counts, are a majority of its fleet. */
inline finish_poll() {
    if
    :: IS_MAJORITY(answers, FLEET(applied[poller])) ->
#ifdef REACH_RELOAD
        assert((loaded & BIT(poller)) || applied[poller] < LAST);
#endif
        loaded = loaded | BIT(poller)
    :: else
    fi;
    if
    :: CONFIRMS(poller) -> answers = answers | BIT(poller)
    :: else
    fi;
    if
    :: MAY_SERVE(answers, FLEET(applied[poller])) ->
#ifdef REACH_OUTAGE
        assert(up || accepted < LAST);
#endif
        serve(poller, poll_accepted)
    :: else
    fi;
    end_poll()
}

active proctype world() {
    byte i, j;
    atomic {
        applied[0] = 1; applied[1] = 1; applied[2] = 1; applied[3] = 1;
        loaded = 15
    }
end:
    do
    /* The platform fails. Its return needs no step: until the failure no step has to happen. */
    :: up -> up = false

    /* An operator's change is written with compare-and-swap. */
    :: up && root < LAST -> atomic {
        root++;
        if
        :: root == LAST && accepted >= 2 -> settled = true
        :: true
        fi;
#ifdef SKIP_CONFIRMATION
        accepted = root
#endif
    }

    /* An instance reads the root. If it is newer, the sections follow later. */
    :: atomic {
        PICK(i, IS_CURRENT);
        loaded = loaded | BIT(i);
        serve(i, accepted);
        RESET
    }
    :: atomic {
        PICK(i, IS_BEHIND);
        reader = i;
        pending = root;
        RESET
    }
    :: atomic {
        reader < N ->
        if
        :: applied[reader] < pending -> applied[reader] = pending
        :: else
        fi;
        loaded = loaded | BIT(reader);
        reader = N; pending = 0
    }

    /* An instance fetches a newer version from another one. */
    :: atomic {
        PICK(i, HAS_OLDER);
        PICK(j, HAS_NEWER);
        applied[i] = applied[j];
        RESET
    }

    /* Confirmation: first answers, chosen moment, second answers, acceptance. */
    :: atomic {
        if
        :: target == 0 && root >= 2 && accepted < 2 -> target = 2
        :: target == 0 && root >= 3 && accepted < 3 -> target = 3
        fi
    }
    :: atomic { target > 0 -> end_confirmation() }
    :: atomic {
        PICK(i, GIVES_FIRST);
        first = first | BIT(i);
        ANSWERED(i);
        RESET
    }
    :: target > 0 && !chosen && FLEETS_CONFIRM(first) -> chosen = true
    :: atomic {
        PICK(i, GIVES_SECOND);
        second = second | BIT(i);
        RESET
    }
    :: atomic {
        target > 0 && FLEETS_CONFIRM(ANSWERS) ->
        accepted = (accepted > target -> accepted : target);
        end_confirmation()
    }

    /* An instance asks the others. */
    :: atomic {
        PICK(i, CAN_ASK);
        poller = i;
        poll_accepted = accepted;
        RESET
    }
    :: atomic {
        PICK(j, GIVES_ANSWER);
        answers = answers | BIT(j);
        RESET
    }
    :: atomic { poller < N -> finish_poll() }

    /* A process restarts and forgets everything. */
    :: atomic {
        PICK(i, CAN_RESTART);
        restart(i);
        RESET
    }
    od
}
