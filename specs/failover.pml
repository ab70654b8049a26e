/*
 * Terms, fencing, promotion by two proposers, replication and acknowledgement for three members
 * (design page, section 2.3).
 *
 * Each step is one call that a member executes. Lost and delayed calls need no steps of their own:
 * a call may arrive at any later time or never, and a proposer may stop at any time, which also
 * models its crash. Replicas read from term_log, the log that the primary of a term has written,
 * because messages of an old primary can arrive late.
 *
 * Broken variants, each of which must violate an assertion:
 *   NO_FENCE_CHECK  replicas accept and confirm entries of older terms than their own
 *   NO_POSITION     any fenced member is promoted, not the one with the greatest log position
 *   FENCE_ONE       one fenced member is sufficient for a promotion
 *   SKIP_NOOP       a promoted member writes no entry of its own term
 */

#define MEMBERS   3
#define PROPOSERS 2
#ifndef TERMS
#define TERMS     4
#endif
#ifndef WRITES
#define WRITES    2
#endif
/* Each term adds at most one no-op entry to the writes. */
#define MAX_LENGTH    (TERMS + WRITES)

#ifdef FENCE_ONE
#define MAJORITY 1
#else
#define MAJORITY 2
#endif

#define FENCED  0
#define REPLICA 1
#define PRIMARY 2

/* Members. Index 0 of a log is not used. */
byte term[MEMBERS];
byte accepted_proposer[MEMBERS];
byte role[MEMBERS];
byte length[MEMBERS];
byte entry[MEMBERS * (MAX_LENGTH + 1)];

/* Proposers. A vote is the log position of a fenced member plus 1, or 0 if there is none. */
byte attempt_term[PROPOSERS];
byte vote[PROPOSERS * MEMBERS];
/* Chosen member plus 1, or 0 if there is none. The choice is final for the term. */
byte candidate[PROPOSERS];

/* By term: the primary's log, the primary plus 1, and the length of the acknowledged prefix. */
byte term_log[(TERMS + 1) * (MAX_LENGTH + 1)];
byte term_length[TERMS + 1];
byte term_primary[TERMS + 1];
bool candidate_chosen[TERMS + 1];
byte acknowledged_length[TERMS + 1];
byte writes;

/*
 * Every step sets these before use, so they are not part of the state. A d_step does not assign
 * prefix_length, because backtracking over a d_step would not restore it.
 */
hidden byte prefix_length;
hidden byte member_term, other_term, log_index, min_term;

#define ENTRY(member, entry_index)   entry[(member) * (MAX_LENGTH + 1) + (entry_index)]
#define TERM_ENTRY(log_term, entry_index)  term_log[(log_term) * (MAX_LENGTH + 1) + (entry_index)]
#define LAST_TERM(member)      ENTRY(member, length[member])
#define POSITION(member)       (LAST_TERM(member) * 16 + length[member])
#define VOTE(proposer, member) vote[(proposer) * MEMBERS + (member)]

/* Appends an entry of the member's term and records it in the log of that term. */
inline append_entry(member) {
    length[member]++;
    ENTRY(member, length[member]) = term[member];
    TERM_ENTRY(term[member], length[member]) = term[member];
    term_length[term[member]] = length[member]
}

/* An acknowledged prefix of an earlier term must be in the log of a later primary. */
inline check_contains(earlier, later) {
    log_index = 1;
    do
    :: log_index <= acknowledged_length[earlier] ->
        assert(TERM_ENTRY(later, log_index) == TERM_ENTRY(earlier, log_index));
        log_index++
    :: else -> break
    od
}

#define CLEAR_ATTEMPT(proposer) \
    if \
    :: attempt_term[proposer] < min_term -> \
        candidate[proposer] = 0; \
        VOTE(proposer, 0) = 0; VOTE(proposer, 1) = 0; VOTE(proposer, 2) = 0 \
    :: else \
    fi

/*
 * Clears the data of terms that all members have left. It has no further effect, so states that
 * differ only in it become equal. The acknowledged entries remain.
 */
inline clear_old_terms() {
#ifndef NO_FENCE_CHECK
    min_term = term[0];
    if :: term[1] < min_term -> min_term = term[1] :: else fi;
    if :: term[2] < min_term -> min_term = term[2] :: else fi;
    other_term = 1;
    do
    :: other_term < min_term ->
        candidate_chosen[other_term] = false;
        term_primary[other_term] = 0;
        do
        :: term_length[other_term] > acknowledged_length[other_term] ->
            TERM_ENTRY(other_term, term_length[other_term]) = 0;
            term_length[other_term]--
        :: else -> break
        od;
        other_term++
    :: else -> break
    od;
    CLEAR_ATTEMPT(0);
    CLEAR_ATTEMPT(1);
#endif
    skip
}

/* A primary and one confirming member are a majority of three. */
inline confirm_prefix(log_term, member) {
    if
    :: (length[member] <= term_length[log_term] && length[member] > acknowledged_length[log_term] &&
        term_primary[log_term] > 0 && term_primary[log_term] != member + 1 &&
#ifndef SKIP_NOOP
        LAST_TERM(member) == log_term &&
#endif
        LAST_TERM(member) == TERM_ENTRY(log_term, length[member])) ->
        acknowledged_length[log_term] = length[member];
        other_term = log_term + 1;
        do
        :: other_term <= TERMS ->
            if
            :: term_primary[other_term] > 0 -> check_contains(log_term, other_term)
            :: else
            fi;
            other_term++
        :: else -> break
        od
    :: else
    fi
}

/*
 * A proposer starts an attempt with a greater term than its earlier ones. A term that no proposer
 * uses has no effect, so no term is skipped.
 */
inline start_attempt(proposer, new_term) {
    /* The proposers are symmetric, so proposer 0 starts first. */
    ((proposer == 0 || attempt_term[0] > 1) &&
     (new_term > attempt_term[proposer] && new_term <= attempt_term[1 - proposer] + 1
      || new_term == attempt_term[proposer] + 1)) ->
    d_step {
        attempt_term[proposer] = new_term;
        candidate[proposer] = 0;
        VOTE(proposer, 0) = 0; VOTE(proposer, 1) = 0; VOTE(proposer, 2) = 0
    }
}

inline fence_member(proposer, member) {
    (attempt_term[proposer] > 1 && candidate[proposer] == 0 && VOTE(proposer, member) == 0 &&
     (attempt_term[proposer] > term[member] ||
      (attempt_term[proposer] == term[member] && accepted_proposer[member] == proposer + 1))) ->
    d_step {
        if
        :: attempt_term[proposer] > term[member] ->
            term[member] = attempt_term[proposer];
            accepted_proposer[member] = proposer + 1;
            role[member] = FENCED
        :: else
        fi;
        VOTE(proposer, member) = POSITION(member) + 1;
        clear_old_terms()
    }
}

#define VOTES(proposer) \
    ((VOTE(proposer, 0) > 0) + (VOTE(proposer, 1) > 0) + (VOTE(proposer, 2) > 0))

#ifdef NO_POSITION
#define HAS_GREATEST_POSITION(proposer, member) (VOTE(proposer, member) > 0)
#else
#define HAS_GREATEST_POSITION(proposer, member) \
    (VOTE(proposer, member) > 0 && \
     VOTE(proposer, member) >= VOTE(proposer, 0) && \
     VOTE(proposer, member) >= VOTE(proposer, 1) && \
     VOTE(proposer, member) >= VOTE(proposer, 2))
#endif

inline choose_candidate(proposer, member) {
    (VOTES(proposer) >= MAJORITY && HAS_GREATEST_POSITION(proposer, member)) ->
    d_step {
        candidate[proposer] = member + 1;
        candidate_chosen[attempt_term[proposer]] = true;
        VOTE(proposer, 0) = 0; VOTE(proposer, 1) = 0; VOTE(proposer, 2) = 0
    }
}

inline promote_candidate(proposer, member) {
    (candidate[proposer] == member + 1 && term[member] == attempt_term[proposer] &&
     accepted_proposer[member] == proposer + 1 && role[member] == FENCED) ->
    d_step {
        member_term = term[member];
        /* A term has at most one primary. */
        assert(term_primary[member_term] == 0);
        term_primary[member_term] = member + 1;
        role[member] = PRIMARY;
        log_index = 1;
        do
        :: log_index <= length[member] ->
            TERM_ENTRY(member_term, log_index) = ENTRY(member, log_index);
            log_index++
        :: else -> break
        od;
        term_length[member_term] = length[member];
        other_term = 1;
        do
        :: other_term < member_term -> check_contains(other_term, member_term); other_term++
        :: else -> break
        od;
#ifndef SKIP_NOOP
        append_entry(member);
#endif
        skip
    }
}

#define IS_CANDIDATE(member, log_term) \
    ((candidate[0] == member + 1 && attempt_term[0] == log_term) || \
     (candidate[1] == member + 1 && attempt_term[1] == log_term) || \
     term_primary[log_term] == member + 1)

/*
 * Any proposer that has received the choice of a term may call the other members to follow, at any
 * later time. The chosen member itself receives no such call.
 */
inline follow_primary(member, log_term) {
    (candidate_chosen[log_term] && !IS_CANDIDATE(member, log_term) &&
     (log_term > term[member] || (log_term == term[member] && role[member] == FENCED))) ->
    d_step {
        term[member] = log_term;
        accepted_proposer[member] = 0;
        role[member] = REPLICA;
        clear_old_terms()
    }
}

inline write_entry(member) {
    (role[member] == PRIMARY && writes < WRITES) ->
    d_step {
        writes++;
        append_entry(member)
    }
}

#ifdef NO_FENCE_CHECK
#define ACCEPTS_ENTRIES(member, log_term) (role[member] != PRIMARY && log_term <= term[member])
#else
#define ACCEPTS_ENTRIES(member, log_term) (role[member] == REPLICA && log_term == term[member])
#endif

/*
 * A replica copies a prefix of the primary's log that is newer than its own log, and confirms it in
 * the same step: a later or missing acknowledgement can only hide a violation.
 */
inline replicate_prefix(member, log_term) {
    (ACCEPTS_ENTRIES(member, log_term) && term_length[log_term] > 0) ->
    select(prefix_length : 1 .. MAX_LENGTH);
    if
    :: (prefix_length <= term_length[log_term] &&
        TERM_ENTRY(log_term, prefix_length) * 16 + prefix_length > POSITION(member)) ->
        d_step {
            log_index = 1;
            do
            :: log_index <= prefix_length ->
                ENTRY(member, log_index) = TERM_ENTRY(log_term, log_index);
                log_index++
            :: log_index > prefix_length && log_index <= MAX_LENGTH ->
                ENTRY(member, log_index) = 0;
                log_index++
            :: else -> break
            od;
            length[member] = prefix_length;
            confirm_prefix(log_term, member)
        }
    :: else
    fi
}

/* Without a no-op entry a member can confirm entries that it had before it became a replica. */
inline confirm_old_entries(member) {
    (role[member] == REPLICA && length[member] > acknowledged_length[term[member]]) ->
    d_step {
        member_term = term[member];
        confirm_prefix(member_term, member)
    }
}

#if TERMS > 4
#error "the steps below are listed for at most 4 terms"
#endif

/* The group starts in term 1 with member 0 as primary. The proposers start in the same state. */
inline start_group() {
    term[0] = 1; term[1] = 1; term[2] = 1;
    role[0] = PRIMARY; role[1] = REPLICA; role[2] = REPLICA;
    term_primary[1] = 1;
    attempt_term[0] = 1; attempt_term[1] = 1;
#ifndef SKIP_NOOP
    append_entry(0);
#endif
    skip
}

active proctype group() {
    d_step { start_group() };
end:
    do
    :: atomic { start_attempt(0, 2) }
    :: atomic { start_attempt(1, 2) }
#if TERMS > 2
    :: atomic { start_attempt(0, 3) }
    :: atomic { start_attempt(1, 3) }
#endif
#if TERMS > 3
    :: atomic { start_attempt(0, 4) }
    :: atomic { start_attempt(1, 4) }
#endif
    :: atomic { fence_member(0, 0) }
    :: atomic { fence_member(0, 1) }
    :: atomic { fence_member(0, 2) }
    :: atomic { fence_member(1, 0) }
    :: atomic { fence_member(1, 1) }
    :: atomic { fence_member(1, 2) }
    :: atomic { choose_candidate(0, 0) }
    :: atomic { choose_candidate(0, 1) }
    :: atomic { choose_candidate(0, 2) }
    :: atomic { choose_candidate(1, 0) }
    :: atomic { choose_candidate(1, 1) }
    :: atomic { choose_candidate(1, 2) }
    :: atomic { promote_candidate(0, 0) }
    :: atomic { promote_candidate(0, 1) }
    :: atomic { promote_candidate(0, 2) }
    :: atomic { promote_candidate(1, 0) }
    :: atomic { promote_candidate(1, 1) }
    :: atomic { promote_candidate(1, 2) }
    :: atomic { write_entry(0) }
    :: atomic { write_entry(1) }
    :: atomic { write_entry(2) }
    :: atomic { follow_primary(0, 2) }
    :: atomic { follow_primary(1, 2) }
    :: atomic { follow_primary(2, 2) }
    :: atomic { replicate_prefix(0, 1) }
    :: atomic { replicate_prefix(1, 1) }
    :: atomic { replicate_prefix(2, 1) }
    :: atomic { replicate_prefix(0, 2) }
    :: atomic { replicate_prefix(1, 2) }
    :: atomic { replicate_prefix(2, 2) }
#if TERMS > 2
    :: atomic { follow_primary(0, 3) }
    :: atomic { follow_primary(1, 3) }
    :: atomic { follow_primary(2, 3) }
    :: atomic { replicate_prefix(0, 3) }
    :: atomic { replicate_prefix(1, 3) }
    :: atomic { replicate_prefix(2, 3) }
#endif
#if TERMS > 3
    :: atomic { follow_primary(0, 4) }
    :: atomic { follow_primary(1, 4) }
    :: atomic { follow_primary(2, 4) }
    :: atomic { replicate_prefix(0, 4) }
    :: atomic { replicate_prefix(1, 4) }
    :: atomic { replicate_prefix(2, 4) }
#endif
#ifdef SKIP_NOOP
    :: atomic { confirm_old_entries(0) }
    :: atomic { confirm_old_entries(1) }
    :: atomic { confirm_old_entries(2) }
#endif
    od
}
