package wheatspread.admission.sfq;

import wheatspread.admission.AdmissionSettings;
import wheatspread.admission.ClientSettings;
import wheatspread.admission.LoadFeedbackMode;

/** What callers hear: health, advice how much to send, and for how long an unused connection stays. */
abstract class Signals extends Calls {
    private static final double ADVICE_GAIN = 0.015; // change a tick and unit of pressure; slow: all obey
    private static final double FILL_MARK = 0.6; // fill of the hold that counts as a pressure of one
    private static final double UNREAD_MARK = 0.1; // time unread, as a share of the aim, that does so too
    /** Share refused that counts as a pressure of one, where callers can be told what to leave out. */
    private static final double REFUSED_MARK = 0.25;

    private static final double PRESSURE_MOST = 3; // more of it changes nothing
    private static final double PRESSURE_MEAN = 0.05; // smoothing, per request, of the refused share
    private static final double UNREAD_MEAN = 0.2; // the same of the unread time
    private static final double ADVICE_MOST = 0.5; // kept away at most: a server must not starve itself
    /** Time unread, as a share of the aim, at which all that is read is too late: the server is jammed. */
    private static final double JAMMED = 0.35;

    private static final double JAM_OVER = 0.15; // the share under which a jam is over
    /** Rate of tries over what the quotas give a server of the mean above which the fleet counts as flooded:
     * quotas may promise half of what the fleet can do, and load may go beyond that by a quarter. */
    private static final double FLOODED = 2.5;

    private static final double ROOM_MOST = 4; // times twice D that callers may have out there, in clumps
    /** Growth of that multiple per tick while the pressure is under this mark; it shrinks twice as fast. */
    private static final double ROOM_GAIN = 0.1;

    private static final double IDLE_PRESSURE = 0.3;
    private static final double ADVICE_STEP = 0.02; // a smaller change of advice is not sent
    /** Mean time between two tries of one caller, as a share of the idle time told, above which connections
     * count as mostly silent; well under one, since each takes some of the cores while it is open. */
    private static final double SILENT = 0.2;
    /** Rest of such a connection, as a share of the shortest aim: long for a burst, short to the next try. */
    private static final double LINK_REST = 0.1;

    private static final double RATE_MEAN = 0.01; // smoothing of the rate of arrivals, per tick: some seconds

    private boolean healthTold = true;
    /** A late timer shows that the process stood still: tries that come in a clump then are no load. */
    long stall, stallOver;

    private int arrivedSinceTick, ticks;
    private double unread, refused, perTick;
    private boolean jammed, closing;
    private long restSent;
    private double advice, adviceSent, room = ROOM_MOST, roomSent = ROOM_MOST;

    Signals(AdmissionSettings settings) {
        super(settings);
    }

    void countArrival(Job job) {
        arrivedSinceTick++;
        long age = job.request.ageMicros();
        long waited = now <= stallOver ? Math.max(0, age - stall) : age;
        unread += UNREAD_MEAN * ((double) waited / job.kind.latencyObjectiveMicros() - unread);
    }

    void countTurn(int away) {
        refused += PRESSURE_MEAN * (away - refused);
    }

    void steer() {
        if (arrivedSinceTick == 0) {
            unread -= PRESSURE_MEAN * unread;
        }
        closeSilent();
        arrivedSinceTick = 0;
        jam();
        boolean healthy = retiredAt < 0 && !(jammed && slowNotFlooded());
        if (healthy != healthTold) {
            healthTold = healthy;
            actions.setHealth(healthy, true);
        }
        if (settings.clients().feedbackMode() == LoadFeedbackMode.NONE) {
            return;
        }
        advice += ADVICE_GAIN * (Math.min(PRESSURE_MOST, pressure()) - 1);
        advice = Math.max(0, Math.min(ADVICE_MOST, advice));
        // guards against callers kept from idle cores, for good, by what one short jam made them heed
        room *= pressure() < IDLE_PRESSURE && held == 0 ? 1 + ROOM_GAIN : 1 - 2 * ROOM_GAIN;
        room = Math.max(1, Math.min(ROOM_MOST, room));
        double wanted = Math.max(advice, Math.min(1, (unread - UNREAD_MARK) / (JAMMED - UNREAD_MARK)));
        double offered = room * shown();
        boolean moved = settings.clients().feedbackMode() == LoadFeedbackMode.WINDOW
                && Math.abs(offered - roomSent) > ROOM_GAIN * roomSent;
        if (moved || Math.abs(wanted - adviceSent) >= ADVICE_STEP || wanted == 0 && adviceSent > 0) {
            adviceSent = wanted;
            roomSent = offered;
            actions.setLoadFeedback(value());
        }
    }

    /** Guards against a table of connections filled by callers that are many and mostly silent: it takes of
     * the cores, and past its unknown cap callers get no connection. Where a caller comes back only after a
     * good part of the told idle time, keeping its connection hardly saves an opening, so it is closed soon;
     * where tries wait unread, openings eat the cores and it rests for an aim: a fuller table turns openings
     * away. May harm where few of many told callers send nearly all. No gauge: callers close them. */
    private void closeSilent() {
        perTick += Math.max(RATE_MEAN, 1.0 / ++ticks) * (arrivedSinceTick - perTick);
        ClientSettings callers = settings.clients();
        if (callers.idleTimeoutMicros() == 0
                || lastGauges == null
                || now <= startedAt + callers.idleTimeoutMicros() / 10) {
            return;
        }
        double gap = callers.count() * TICK / Math.max(perTick, 1e-9);
        double spare = lastGauges.openConnections() - begun - held;
        double saved = Math.min(1, callers.idleTimeoutMicros() / gap) * callers.connectionOpenCost();
        boolean dear = spare / 100 * callers.idleConnectionsCost() > saved;
        boolean silent = gap > callers.idleTimeoutMicros() * SILENT * (closing ? 0.5 : 1);
        boolean readable = !Double.isNaN(spare) && !stuck();
        closing = readable && (silent && (closing || spare > settings.cores()) || dear);
        double rest = shortestAim * (unread > UNREAD_MARK ? 1 : LINK_REST);
        long wanted = closing ? Math.min(callers.idleTimeoutMicros(), (long) rest) : 0;
        if (wanted != restSent) {
            restSent = wanted;
            actions.setIdleTimeout(wanted);
        }
    }

    /** Not far more tries come here than the quotas give a server of the mean: a jam then is its own, and
     * others can take its part. Else the fleet is flooded, and each server that left would jam the next. */
    private boolean slowNotFlooded() {
        return quotas == 0 || perTick * settings.servers() * 1_000_000 <= FLOODED * quotas * TICK;
    }

    /** Guards against a standing line of unread tries: the cores go into reading what is already too late,
     * callers give up and try again, and the line never ends. Until it is read off, callers are told to
     * send nothing; work is there, so this starves nobody. Checks hear bad where the jam is its own. */
    private void jam() {
        boolean was = jammed;
        jammed = unread > (jammed ? JAM_OVER : JAMMED);
        if (was != jammed) {
            actions.log(jammed ? "jam of unread tries begins" : "jam of unread tries ends");
        }
    }

    /** How far the worst of hold, wait unread and refusals is beyond its mark; 1 is at it. */
    double pressure() {
        double waiting = Math.max(fill() / FILL_MARK, unread / UNREAD_MARK);
        boolean byRank = settings.clients().feedbackMode() == LoadFeedbackMode.THRESHOLD;
        return byRank ? Math.max(waiting, refused / REFUSED_MARK) : waiting;
    }

    private double value() {
        return switch (settings.clients().feedbackMode()) {
            case THRESHOLD -> adviceSent;
            case SHARE -> 1 - adviceSent;
            default ->
                Math.max(
                        1,
                        2.0
                                * depth
                                * room
                                * shown()
                                * (1 - adviceSent)
                                / Math.max(1, settings.clients().count()));
        };
    }
}
