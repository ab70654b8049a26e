/* Token grants of one account: two owners of one shard in turn and two holders.
 *
 * Checked: the tokens left at the owners and the tokens spent never add up to more than the shard
 * ever had (nothing is spent twice), no token is spent after its expiry, and a new owner grants
 * from its own refill only once the old owner has stopped.
 *
 * Time is counted in periods. A grant may be spent in the period of its request and the next
 * EXPIRY ones. An owner serves in the period of its last confirmation and the next FRESH ones.
 * Any process may take no step for any number of periods, which is a pause.
 *
 * Broken variants: NO_EXPIRY, NO_WAITING, DUPLICATE_HANDOVER, DUPLICATE_GRANT.
 */

#define CAPACITY 2   /* tokens of the shard; refills are left out, so that the sum is exact */
#define EXPIRY 1     /* periods for which a grant is valid after its request was sent */
#define FRESH 1      /* periods for which an owner serves after its last confirmation */
#define LAST_PERIOD 4
#define HOLDERS 2
#define REQUESTS 2   /* requests for tokens per holder */

#define OLD 0
#define NEW 1

/* Messages may be delayed without bound. A receiver may leave a copy behind. */
chan to_owner[2] = [1] of { byte, byte };           /* holder, request number */
chan to_holder[HOLDERS] = [1] of { byte, byte };    /* request number, amount */
chan hand_over = [2] of { byte };                   /* tokens */

/* Used within one atomic step only, and therefore no part of the state. */
hidden byte from, asked, content, reply, amount, owner;

byte period = 0;
byte tokens[2];          /* content of the shard at each owner */
byte spent = 0;          /* tokens spent by the holders */
bool applied_old = false; /* whether the old owner has applied the new fleet version */
bool handed = false;     /* whether the old owner has given its tokens away */
bool new_active = false;
bool taken_over = false;
bool accepted = false;   /* whether the new fleet version is accepted */
byte accepted_at = 0;
byte confirmed_at = 0;   /* last period in which the old owner confirmed its old version */
byte late = 0;           /* tokens spent after their expiry */

/* The new shard starts empty, and its refill is what the account's rate allows after the waiting
 * period. Tokens that it grants earlier are beyond the rate; they count as spent twice. */
byte early = 0;

/* The invariant, checked after each step that changes one of its parts. */
inline check() {
	assert(spent + tokens[OLD] + tokens[NEW] <= CAPACITY && late == 0 && early == 0)
}

inline confirm_old() {
	/* The old version counts as current until the new one is accepted. */
	atomic {
		if
		:: !accepted && !applied_old -> confirmed_at = period
		:: else -> skip
		fi
	}
}

active proctype clock() {
	/* All instances see each period, but a paused process may take no step in several of them. */
	do
	:: period < LAST_PERIOD ->
		atomic { confirm_old(); period++ }
	:: else -> break
	od
}

active proctype platform() {
	atomic { accepted = true; accepted_at = period }
}

active proctype old_owner() {
	tokens[OLD] = CAPACITY;
end:
	do
	:: atomic {
		to_owner[OLD] ? from, asked ->
		if
		/* Freshness is checked with each request. */
		:: !applied_old && tokens[OLD] > 0 && period <= confirmed_at + FRESH ->
			tokens[OLD]--;
			if
			:: nfull(to_holder[from]) -> to_holder[from] ! asked, 1
			:: skip /* lost */
			fi
		:: else -> skip
		fi
	   }
	:: atomic {
		accepted && !applied_old ->
		applied_old = true;
		if
		:: period <= confirmed_at + FRESH ->
			handed = true;
			hand_over ! tokens[OLD];
			/* The message may be repeated when its reply is lost. */
			if
			:: hand_over ! tokens[OLD]
			:: skip
			fi
		:: skip
		fi;
		tokens[OLD] = 0
	   }
	od
}

active proctype new_owner() {
end:
	do
	:: atomic {
		hand_over ? content ->
		if
#ifdef DUPLICATE_HANDOVER
		:: accepted ->
#else
		:: accepted && !taken_over && !new_active ->
#endif
			taken_over = true;
			new_active = true;
			tokens[NEW] = tokens[NEW] + content;
			check()
		:: else -> skip
		fi
	   }
	:: atomic {
#ifdef NO_WAITING
		accepted && !new_active ->
#else
		accepted && !new_active && period > accepted_at + FRESH ->
#endif
		new_active = true
	   }
	:: atomic {
		to_owner[NEW] ? from, asked ->
		if
		:: new_active && tokens[NEW] > 0 ->
			tokens[NEW]--;
			if
			:: nfull(to_holder[from]) -> to_holder[from] ! asked, 1
			:: skip
			fi
		/* A shard that became active by waiting grants from its refill. The rate allows this
		 * only once the old owner has stopped. */
		:: new_active && tokens[NEW] == 0 && !taken_over ->
			if
			:: !applied_old && period <= confirmed_at + FRESH -> early++; check()
			:: else -> skip
			fi
		:: else -> skip
		fi
	   }
	od
}

proctype holder(byte self) {
	byte number = 0;
	byte sent_at = 0;
	byte held = 0;
	bool pending = false;
end:
	do
	/* One request at a time; a new number makes replies to earlier ones invalid. */
	:: atomic {
		number < REQUESTS ->
		number++;
		sent_at = period;
		held = 0;
		pending = true;
		if
		:: owner = OLD
		:: owner = NEW
		fi;
		if
		:: nfull(to_owner[owner]) -> to_owner[owner] ! self, number
		:: skip
		fi
	   }
	:: atomic {
		to_holder[self] ? reply, amount ->
		if
#ifdef DUPLICATE_GRANT
		:: reply == number ->
#else
		:: reply == number && pending ->
#endif
			pending = false;
			held = held + amount
		:: else -> skip
		fi;
		/* The network may deliver a copy later. */
		if
		:: nfull(to_holder[self]) && reply == number && amount > 0 && period < LAST_PERIOD ->
			to_holder[self] ! reply, amount
		:: skip
		fi
	   }
	/* Any number of periods may pass between the grant and this step: the holder may pause. */
	:: atomic {
#ifdef NO_EXPIRY
		held > 0 ->
#else
		held > 0 && period <= sent_at + EXPIRY ->
#endif
		held--;
		spent++;
		if
		:: period > sent_at + EXPIRY -> late++
		:: else -> skip
		fi;
		check()
	   }
	od
}

init {
	atomic { run holder(0); run holder(1) }
}
