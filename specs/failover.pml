/*
 * Terms, fencing, promotion by two proposers, replication and acknowledgement for three members
 * (design page, section 2.3).
 *
 * Each step is one call as a member executes it. Lost and delayed calls need no steps of their
 * own: a call may come at any later time or never, and a proposer may give up at any time, which
 * also models its death. Replicas read from term_log, the history of what the primary of a term
 * has written, because messages of an old primary can arrive late.
 *
 * Broken variants, each of which must violate an assertion:
 *   NO_FENCE_CHECK  replicas accept and confirm entries of older terms than their own
 *   NO_POSITION     any fenced member is promoted, not the one with the greatest log
 *   FENCE_ONE       one fenced member suffices for a promotion
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
/* Each term adds at most its no-op entry to the writes. */
#define LENGTH    (TERMS + WRITES)

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
byte entry[MEMBERS * (LENGTH + 1)];

/* Proposers. A vote is the fenced log position plus 1; 0 means that there is none. */
byte own_term[PROPOSERS];
byte vote[PROPOSERS * MEMBERS];
/* Chosen member plus 1; the choice is final for the term. */
byte choice[PROPOSERS];

/* History by term: the primary's log, the primary plus 1, and the acknowledged length. */
byte term_log[(TERMS + 1) * (LENGTH + 1)];
byte term_length[TERMS + 1];
byte term_primary[TERMS + 1];
bool is_chosen[TERMS + 1];
byte acknowledged[TERMS + 1];
byte writes;

/*
 * Every step sets these before use, so they are no part of the state. A d_step does not assign
 * at_prefix, because backtracking over a d_step would not restore it.
 */
hidden byte at_prefix;
hidden byte of_term, other_term, at_index, least_term;

#define ENTRY(member, place)   entry[(member) * (LENGTH + 1) + (place)]
#define TERM_ENTRY(log_term, place)  term_log[(log_term) * (LENGTH + 1) + (place)]
#define LAST_TERM(member)      ENTRY(member, length[member])
#define POSITION(member)       (LAST_TERM(member) * 16 + length[member])
#define VOTE(proposer, member) vote[(proposer) * MEMBERS + (member)]

/* Appends an entry of the member's term and records it in the history of that term. */
inline append_entry(member) {
    length[member]++;
    ENTRY(member, length[member]) = term[member];
    TERM_ENTRY(term[member], length[member]) = term[member];
    term_length[term[member]] = length[member]
}

/* An acknowledged prefix of an earlier term must be in the log of a later primary. */
inline check_contains(earlier, later) {
    at_index = 1;
    do
    :: at_index <= acknowledged[earlier] ->
        assert(TERM_ENTRY(later, at_index) == TERM_ENTRY(earlier, at_index));
        at_index++
    :: else -> break
    od
}

#define FORGET_ATTEMPT(proposer) \
    if \
    :: own_term[proposer] < least_term -> \
        choice[proposer] = 0; \
        VOTE(proposer, 0) = 0; VOTE(proposer, 1) = 0; VOTE(proposer, 2) = 0 \
    :: else \
    fi

/*
 * Clears what can no longer have an effect once all members have left a term, so that states that
 * differ only in it are the same. The acknowledged entries stay.
 */
inline forget_old_terms() {
#ifndef NO_FENCE_CHECK
    least_term = term[0];
    if :: term[1] < least_term -> least_term = term[1] :: else fi;
    if :: term[2] < least_term -> least_term = term[2] :: else fi;
    other_term = 1;
    do
    :: other_term < least_term ->
        is_chosen[other_term] = false;
        term_primary[other_term] = 0;
        do
        :: term_length[other_term] > acknowledged[other_term] ->
            TERM_ENTRY(other_term, term_length[other_term]) = 0;
            term_length[other_term]--
        :: else -> break
        od;
        other_term++
    :: else -> break
    od;
    FORGET_ATTEMPT(0);
    FORGET_ATTEMPT(1);
#endif
    skip
}

/* A primary and one confirming member are a majority of three. */
inline confirm_prefix(log_term, member) {
    if
    :: (length[member] <= term_length[log_term] && length[member] > acknowledged[log_term] &&
        term_primary[log_term] > 0 && term_primary[log_term] != member + 1 &&
#ifndef SKIP_NOOP
        LAST_TERM(member) == log_term &&
#endif
        LAST_TERM(member) == TERM_ENTRY(log_term, length[member])) ->
        acknowledged[log_term] = length[member];
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
 * A proposer starts an attempt at a greater term than its earlier ones. Terms that nobody uses
 * change nothing, so none is skipped.
 */
inline start_attempt(proposer, new_term) {
    /* The proposers are alike, so proposer 0 starts first. */
    ((proposer == 0 || own_term[0] > 1) && (new_term > own_term[proposer] && new_term <= own_term[1 - proposer] + 1
     || new_term == own_term[proposer] + 1)) ->
    d_step {
        own_term[proposer] = new_term;
        choice[proposer] = 0;
        VOTE(proposer, 0) = 0; VOTE(proposer, 1) = 0; VOTE(proposer, 2) = 0
    }
}

inline fence_member(proposer, member) {
    (own_term[proposer] > 1 && choice[proposer] == 0 && VOTE(proposer, member) == 0 &&
     (own_term[proposer] > term[member] ||
      (own_term[proposer] == term[member] && accepted_proposer[member] == proposer + 1))) ->
    d_step {
        if
        :: own_term[proposer] > term[member] ->
            term[member] = own_term[proposer];
            accepted_proposer[member] = proposer + 1;
            role[member] = FENCED
        :: else
        fi;
        VOTE(proposer, member) = POSITION(member) + 1;
        forget_old_terms()
    }
}

#define VOTES(proposer) \
    ((VOTE(proposer, 0) > 0) + (VOTE(proposer, 1) > 0) + (VOTE(proposer, 2) > 0))

#ifdef NO_POSITION
#define IS_GREATEST(proposer, member) (VOTE(proposer, member) > 0)
#else
#define IS_GREATEST(proposer, member) \
    (VOTE(proposer, member) > 0 && \
     VOTE(proposer, member) >= VOTE(proposer, 0) && \
     VOTE(proposer, member) >= VOTE(proposer, 1) && \
     VOTE(proposer, member) >= VOTE(proposer, 2))
#endif

inline choose_candidate(proposer, member) {
    (VOTES(proposer) >= MAJORITY && IS_GREATEST(proposer, member)) ->
    d_step {
        choice[proposer] = member + 1;
        is_chosen[own_term[proposer]] = true;
        VOTE(proposer, 0) = 0; VOTE(proposer, 1) = 0; VOTE(proposer, 2) = 0
    }
}

inline promote_candidate(proposer, member) {
    (choice[proposer] == member + 1 && term[member] == own_term[proposer] &&
     accepted_proposer[member] == proposer + 1 && role[member] == FENCED) ->
    d_step {
        of_term = term[member];
        /* No two primaries of one term. */
        assert(term_primary[of_term] == 0);
        term_primary[of_term] = member + 1;
        role[member] = PRIMARY;
        at_index = 1;
        do
        :: at_index <= length[member] ->
            TERM_ENTRY(of_term, at_index) = ENTRY(member, at_index);
            at_index++
        :: else -> break
        od;
        term_length[of_term] = length[member];
        other_term = 1;
        do
        :: other_term < of_term -> check_contains(other_term, of_term); other_term++
        :: else -> break
        od;
#ifndef SKIP_NOOP
        append_entry(member);
#endif
        skip
    }
}

#define IS_CHOICE(member, log_term) \
    ((choice[0] == member + 1 && own_term[0] == log_term) || \
     (choice[1] == member + 1 && own_term[1] == log_term) || term_primary[log_term] == member + 1)

/*
 * Any proposer that knows the choice of a term may tell the other members to follow, at any later
 * time. The chosen member itself gets no such call.
 */
inline follow_primary(member, log_term) {
    (is_chosen[log_term] && !IS_CHOICE(member, log_term) &&
     (log_term > term[member] || (log_term == term[member] && role[member] == FENCED))) ->
    d_step {
        term[member] = log_term;
        accepted_proposer[member] = 0;
        role[member] = REPLICA;
        forget_old_terms()
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
 * A replica takes over a prefix of the primary's log that is newer than its own log, and confirms
 * it at once: acknowledging later or never can only hide a violation.
 */
inline replicate_prefix(member, log_term) {
    (ACCEPTS_ENTRIES(member, log_term) && term_length[log_term] > 0) ->
    select(at_prefix : 1 .. LENGTH);
    if
    :: (at_prefix <= term_length[log_term] &&
        TERM_ENTRY(log_term, at_prefix) * 16 + at_prefix > POSITION(member)) ->
        d_step {
            at_index = 1;
            do
            :: at_index <= at_prefix ->
                ENTRY(member, at_index) = TERM_ENTRY(log_term, at_index);
                at_index++
            :: at_index > at_prefix && at_index <= LENGTH ->
                ENTRY(member, at_index) = 0;
                at_index++
            :: else -> break
            od;
            length[member] = at_prefix;
            confirm_prefix(log_term, member)
        }
    :: else
    fi
}

/* Without a no-op entry a member can confirm entries that it had before it followed. */
inline confirm_old_entries(member) {
    (role[member] == REPLICA && length[member] > acknowledged[term[member]]) ->
    d_step {
        of_term = term[member];
        confirm_prefix(of_term, member)
    }
}

#if TERMS > 4
#error "the steps below are listed for at most 4 terms"
#endif

/* The group starts in term 1 with member 0 as primary. The proposers are alike. */
inline start_group() {
    term[0] = 1; term[1] = 1; term[2] = 1;
    role[0] = PRIMARY; role[1] = REPLICA; role[2] = REPLICA;
    term_primary[1] = 1;
    own_term[0] = 1; own_term[1] = 1;
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
