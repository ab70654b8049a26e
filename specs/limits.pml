/* Token grants of one account: two successive owners of one shard and two grant clients.
 *
 * Checked: the remaining tokens of the owners and the spent tokens never add up to more than the
 * capacity of the shard (no token is spent twice), no token is spent after its expiry, and a new
 * owner grants from its own refill only after the old owner has stopped granting.
 *
 * Time is counted in periods. A grant may be spent in the period of its request and the next
 * EXPIRY ones. An owner grants in the period of its last confirmation and the next FRESHNESS ones.
 * Any process may take no step for any number of periods, which models a pause.
 *
 * Broken variants, each of which must violate the assertion:
 *   NO_EXPIRY           a client spends tokens after their expiry
 *   NO_WAITING          a new owner grants from its refill without the waiting period
 *   DUPLICATE_HANDOVER  a new owner accepts each copy of a hand-over
 *   DUPLICATE_GRANT     a client accepts each copy of a grant
 */

#define CAPACITY 2   /* tokens of the shard; refills are not modeled, so that the sum is exact */
#define EXPIRY 1     /* periods for which a grant is valid after its request was sent */
#define FRESHNESS 1  /* periods for which an owner grants after its last confirmation */
#define LAST_PERIOD 4
#define CLIENTS 2
#define REQUESTS 2   /* requests for tokens per client */

#define OLD_OWNER 0
#define NEW_OWNER 1

/* Messages may be delayed without bound. A receiver may put a copy into the channel again. */
chan to_owner[2] = [1] of { byte, byte };           /* client, request number */
chan to_client[CLIENTS] = [1] of { byte, byte };    /* request number, amount */
chan hand_over = [2] of { byte };                   /* tokens */

/* Used only within one atomic step, and therefore not part of the state. */
hidden byte sender, requested_number, handed_tokens, reply_number, amount, owner;

byte period = 0;
byte tokens[2];                 /* tokens of the shard at each owner */
byte spent = 0;                 /* tokens spent by the clients */
bool old_owner_applied = false; /* whether the old owner has applied the new fleet version */
bool handed_over = false;       /* whether the old owner has handed over its tokens */
bool new_owner_active = false;
bool received_hand_over = false;
bool accepted = false;          /* whether the new fleet version is accepted */
byte accepted_at = 0;
byte confirmed_at = 0;          /* last period in which the old owner confirmed its old version */
byte spent_late = 0;            /* tokens spent after their expiry */

/* Tokens that the new owner grants too early. Its shard starts empty, and its refill is what the
 * account's rate allows after the waiting period. Tokens granted earlier exceed the rate and count
 * as spent twice. */
byte granted_early = 0;

/* The invariant, checked after each step that changes one of its parts. */
inline check_invariant() {
	assert(spent + tokens[OLD_OWNER] + tokens[NEW_OWNER] <= CAPACITY &&
		spent_late == 0 && granted_early == 0)
}

inline confirm_old_version() {
	/* The old version counts as current until the new one is accepted. */
	atomic {
		if
		:: !accepted && !old_owner_applied -> confirmed_at = period
		:: else -> skip
		fi
	}
}

active proctype clock() {
	/* The period is the same for all instances, but a paused process may take no step in several
	 * periods. */
	do
	:: period < LAST_PERIOD ->
		atomic { confirm_old_version(); period++ }
	:: else -> break
	od
}

active proctype platform() {
	atomic { accepted = true; accepted_at = period }
}

active proctype old_owner() {
	tokens[OLD_OWNER] = CAPACITY;
end:
	do
	:: atomic {
		to_owner[OLD_OWNER] ? sender, requested_number ->
		if
		/* Freshness is checked for each request. */
		:: !old_owner_applied && tokens[OLD_OWNER] > 0 && period <= confirmed_at + FRESHNESS ->
			tokens[OLD_OWNER]--;
			if
			:: nfull(to_client[sender]) -> to_client[sender] ! requested_number, 1
			:: skip /* lost */
			fi
		:: else -> skip
		fi
	   }
	:: atomic {
		accepted && !old_owner_applied ->
		old_owner_applied = true;
		if
		:: period <= confirmed_at + FRESHNESS ->
			handed_over = true;
			hand_over ! tokens[OLD_OWNER];
			/* The message may be sent again after its reply is lost. */
			if
			:: hand_over ! tokens[OLD_OWNER]
			:: skip
			fi
		:: skip
		fi;
		tokens[OLD_OWNER] = 0
	   }
	od
}

active proctype new_owner() {
end:
	do
	:: atomic {
		hand_over ? handed_tokens ->
		if
#ifdef DUPLICATE_HANDOVER
		:: accepted ->
#else
		:: accepted && !received_hand_over && !new_owner_active ->
#endif
			received_hand_over = true;
			new_owner_active = true;
			tokens[NEW_OWNER] = tokens[NEW_OWNER] + handed_tokens;
			check_invariant()
		:: else -> skip
		fi
	   }
	:: atomic {
#ifdef NO_WAITING
		accepted && !new_owner_active ->
#else
		accepted && !new_owner_active && period > accepted_at + FRESHNESS ->
#endif
		new_owner_active = true
	   }
	:: atomic {
		to_owner[NEW_OWNER] ? sender, requested_number ->
		if
		:: new_owner_active && tokens[NEW_OWNER] > 0 ->
			tokens[NEW_OWNER]--;
			if
			:: nfull(to_client[sender]) -> to_client[sender] ! requested_number, 1
			:: skip
			fi
		/* A shard that became active after the waiting period grants from its refill. The rate
		 * allows this only after the old owner has stopped granting. */
		:: new_owner_active && tokens[NEW_OWNER] == 0 && !received_hand_over ->
			if
			:: !old_owner_applied && period <= confirmed_at + FRESHNESS ->
				granted_early++;
				check_invariant()
			:: else -> skip
			fi
		:: else -> skip
		fi
	   }
	od
}

proctype grant_client(byte self) {
	byte request_number = 0;
	byte sent_at = 0;
	byte granted = 0;
	bool request_pending = false;
end:
	do
	/* One request at a time; a new number invalidates replies to earlier requests. */
	:: atomic {
		request_number < REQUESTS ->
		request_number++;
		sent_at = period;
		granted = 0;
		request_pending = true;
		if
		:: owner = OLD_OWNER
		:: owner = NEW_OWNER
		fi;
		if
		:: nfull(to_owner[owner]) -> to_owner[owner] ! self, request_number
		:: skip
		fi
	   }
	:: atomic {
		to_client[self] ? reply_number, amount ->
		if
#ifdef DUPLICATE_GRANT
		:: reply_number == request_number ->
#else
		:: reply_number == request_number && request_pending ->
#endif
			request_pending = false;
			granted = granted + amount
		:: else -> skip
		fi;
		/* The network may deliver a copy later. */
		if
		:: nfull(to_client[self]) && reply_number == request_number && amount > 0 &&
			period < LAST_PERIOD ->
			to_client[self] ! reply_number, amount
		:: skip
		fi
	   }
	/* Any number of periods may pass between the grant and this step: the client may be paused. */
	:: atomic {
#ifdef NO_EXPIRY
		granted > 0 ->
#else
		granted > 0 && period <= sent_at + EXPIRY ->
#endif
		granted--;
		spent++;
		if
		:: period > sent_at + EXPIRY -> spent_late++
		:: else -> skip
		fi;
		check_invariant()
	   }
	od
}

init {
	atomic { run grant_client(0); run grant_client(1) }
}
