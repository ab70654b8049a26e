/*
 * Usage reports of one window by holders of the duty, one after the other.
 *
 * A holder reads the record in the store, decides on counts, records them and sends them. Counts
 * known to a holder grow meanwhile, and a new holder may know more or fewer. Writes and calls may
 * be lost, or carried out late, after the caller has given up; the store checks the fencing token
 * and the revision of the record at that moment, the platform the fencing token. A former holder
 * goes on until it notices.
 *
 * Checked: the platform never accepts two reports of the window with different counts.
 *
 * Broken variants:
 *   SEND_FIRST     a report is sent before it is recorded
 *   NO_REVISION    a write needs the token but not the revision that was read
 */

#define HOLDERS 2
#define COUNTS 2
#define STEPS 6

/* The store: the token of the duty, the record and its revision. */
byte token = 1;
byte record = 0;
byte revision = 0;

/* The platform: the highest token seen and the accepted counts. */
byte seen_token = 0;
byte accepted = 0;

/* One write and one call that may be carried out late. */
byte late_write = 0;
byte late_write_token;
byte late_write_revision;
byte late_call = 0;
byte late_call_token;

inline write(value, own_token, known_revision, done) {
    done = false;
#ifdef NO_REVISION
    if
    :: own_token == token -> record = value; revision++; done = true
#else
    if
    :: own_token == token && known_revision == revision -> record = value; revision++; done = true
#endif
    :: else
    fi
}

inline call(value, own_token) {
    if
    :: own_token >= seen_token ->
        seen_token = own_token;
        assert(accepted == 0 || accepted == value);
        accepted = value
    :: else
    fi
}

proctype Holder(byte own_token) {
    byte recorded = 0;
    byte known_revision = 0;
    byte counts;
    byte steps = 0;
    bool is_read = false;
    bool done;
    do
    :: steps < STEPS && !is_read ->
        atomic { steps++; recorded = record; known_revision = revision; is_read = true }
#ifdef SEND_FIRST
    :: steps < STEPS && is_read && recorded == 0 ->
        /* Decides, sends and then records. */
        atomic { steps++; select(counts : 1 .. COUNTS); call(counts, own_token) }
        atomic { write(counts, own_token, known_revision, done) }
        if
        :: done -> recorded = counts; known_revision = revision
        :: else -> is_read = false
        fi
#else
    :: steps < STEPS && is_read && recorded == 0 ->
        steps++;
        atomic { select(counts : 1 .. COUNTS) }
        if
        :: atomic { write(counts, own_token, known_revision, done) }
            if
            /* The response may be lost. */
            :: done -> recorded = counts
            :: is_read = false
            fi
        :: atomic {
            late_write == 0 ->
            late_write = counts; late_write_token = own_token; late_write_revision = known_revision;
            is_read = false
        }
        fi
#endif
    :: steps < STEPS && is_read && recorded != 0 ->
        steps++;
        if
        :: atomic { call(recorded, own_token) }
        :: atomic { late_call == 0 -> late_call = recorded; late_call_token = own_token }
        fi
    :: break
    od
}

active proctype World() {
    bool done;
    byte holders = 1;
    run Holder(1);
    do
    :: atomic { holders < HOLDERS -> holders++; token++; run Holder(token) }
    :: atomic {
        late_write != 0 ->
        write(late_write, late_write_token, late_write_revision, done);
        late_write = 0
    }
    :: atomic { late_call != 0 -> call(late_call, late_call_token); late_call = 0 }
    :: break
    od
}
