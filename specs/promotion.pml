/*
 * Promotions of the session service on a platform that promotes on request.
 *
 * A group of members with one log each; one holder of the promotion duty after the other, who share
 * the records in the store. A request may be executed or lost, and the holder may or may not see its
 * effect, before or after the first commits of the new term.
 *
 * Checked: a member is promoted only if its log contains everything that the newest term started
 * with, so that no commit that a promotion discarded returns in place of a newer one.
 *
 * Broken variants:
 *   RECORD_AFTER   a promotion is recorded when its effect is seen, with the position seen then
 *   NEWEST_ONLY    only the newest record is compared
 */

#ifndef PROMOTIONS
#define PROMOTIONS 3
#endif
#ifndef COMMITS
#define COMMITS 4
#endif

#define MEMBERS 3
#define NONE 255

/* Terms of the commits of each member, and their number. */
byte commits[MEMBERS * COMMITS];
byte length[MEMBERS];
byte primary = 0;
byte newest_term = 1;
byte commit_count = 0;

/* The log of the primary when the newest term started. */
byte start[COMMITS];
byte start_len = 0;

/* Recorded promotions: the term, and the end of the member's log before. */
byte origin_term[PROMOTIONS + 1];
byte parent_term[PROMOTIONS + 1];
byte parent_index[PROMOTIONS + 1];
byte origin_count = 0;

byte request_count = 0;
byte requested = NONE;
bool effect_unseen = false;

/* Scratch variables of the inline steps; reset to keep the number of states small. */
byte i;
byte last;
bool ok;

#define COMMIT_OF(m, n) commits[(m) * COMMITS + (n)]

inline find_last_term(m) {
    last = 1;
    if
    :: length[m] > 0 -> last = COMMIT_OF(m, length[m] - 1)
    :: else
    fi
}

/* Sets ok to whether the records show no discarded commit in the log of a member. */
inline check_records(m) {
    find_last_term(m);
    ok = true;
#ifdef NEWEST_ONLY
    i = (origin_count > 0 -> origin_count - 1 : 0);
#else
    i = 0;
#endif
    do
    :: i < origin_count ->
        if
#ifdef RECORD_AFTER
        :: origin_term[i] > last && length[m] > parent_index[i] -> ok = false
#else
        :: origin_term[i] > last && (last > parent_term[i] || length[m] > parent_index[i]) -> ok = false
#endif
        :: else
        fi;
        i++
    :: else -> break
    od;
    i = 0
}

/* Sets ok to whether the log of a member is the start of the newest term, a part of it, or more. */
inline check_log(m) {
    find_last_term(m);
    ok = (length[m] <= start_len || last == newest_term);
    i = 0;
    do
    :: i < length[m] && i < start_len ->
        if
        :: COMMIT_OF(m, i) != start[i] -> ok = false
        :: else
        fi;
        i++
    :: else -> break
    od;
    i = 0
}

inline record(term_number, term_before, index_before) {
    origin_term[origin_count] = term_number;
    parent_term[origin_count] = term_before;
    parent_index[origin_count] = index_before;
    origin_count++
}

inline commit_on_primary() {
    COMMIT_OF(primary, length[primary]) = newest_term;
    length[primary]++;
    commit_count++
}

inline replicate_to(m, count) {
    i = 0;
    do
    :: i < count -> COMMIT_OF(m, i) = COMMIT_OF(primary, i); i++
    :: else -> break
    od;
    length[m] = count;
    i = 0;
    do
    :: i < COMMITS ->
        if
        :: i >= count -> COMMIT_OF(m, i) = 0
        :: else
        fi;
        i++
    :: else -> break
    od;
    i = 0
}

inline request_promotion(m) {
    check_records(m);
    if
    :: ok ->
        request_count++;
        requested = m;
#ifndef RECORD_AFTER
        /* The highest term that the promotion can start. */
        record(request_count + 1, last, length[m])
#endif
    :: else
    fi
}

inline execute_request() {
    check_log(requested);
    assert(ok);
    newest_term++;
    primary = requested;
    start_len = length[primary];
    i = 0;
    do
    :: i < COMMITS -> start[i] = (i < start_len -> COMMIT_OF(primary, i) : 0); i++
    :: else -> break
    od;
    i = 0;
    requested = NONE;
    effect_unseen = true
}

inline see_effect() {
    effect_unseen = false;
#ifdef RECORD_AFTER
    record(newest_term, 0, length[primary])
#endif
}

active proctype group() {
    byte m;
    do
    :: atomic { commit_count < COMMITS && length[primary] < COMMITS -> commit_on_primary() }
    :: atomic {
        select (m : 0 .. MEMBERS - 1);
        if
        :: m != primary && length[m] != length[primary] -> replicate_to(m, length[primary])
        :: m != primary && length[primary] > 1 && length[m] < length[primary] - 1 ->
            replicate_to(m, length[primary] - 1)
        :: else
        fi;
        m = 0; last = 0; ok = false
       }
    :: atomic { requested == NONE && request_count < PROMOTIONS ->
        select (m : 0 .. MEMBERS - 1);
        if
        :: m != primary -> request_promotion(m)
        :: else
        fi;
        m = 0; last = 0; ok = false
       }
    :: atomic { requested != NONE -> execute_request(); last = 0; ok = false }
    :: atomic { requested != NONE -> requested = NONE }
    :: atomic { effect_unseen -> see_effect() }
    :: atomic { effect_unseen -> effect_unseen = false }
    od
}
