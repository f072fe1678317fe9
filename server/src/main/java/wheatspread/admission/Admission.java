package wheatspread.admission;

import java.util.List;

/**
 * Decides, inside one server, which requests are run, held and turned away. The host calls {@link #begin}
 * with the clock, then the events that have come in, in order, then {@link #decide}, which sends all actions.
 * One object serves one process life; it is not safe for use by several threads. Times are microseconds.
 */
public interface Admission {

    /** How often a request may take effect. */
    enum Effect {
        IDEMPOTENT,
        KEYED,
        AT_MOST_ONCE
    }

    /** What requests may call while they run. */
    enum Dependency {
        NONE,
        SHARED,
        TIER
    }

    /** What the host can do with running work. */
    enum Halt {
        NONE,
        ABORT,
        SUSPEND
    }

    /** What callers make of {@link Actions#advise}. */
    enum Advice {
        NONE,
        THRESHOLD,
        WINDOW,
        SHARE
    }

    /** How a run or a call ended. */
    enum Outcome {
        OK,
        FAILED,
        QUEUE_FULL,
        TIMED_OUT,
        CONNECT_ERROR,
        RESET,
        CANCELED,
        IGNORED
    }

    /** One class of requests; {@code skipWorth} is the part of the worth earned without the call. */
    record RequestClass(
            long aim,
            double aimStretch,
            long deadline,
            Effect effect,
            double worth,
            double lateWorth,
            long window,
            boolean calls,
            double skipWorth) {
        public RequestClass {
            atLeast("class deadline", deadline, 1);
            atLeast("class aim", aim, 1);
            atLeast("class aimStretch", aimStretch, 0);
            atLeast("class worth", worth, 0);
            atLeast("class lateWorth", lateWorth, 0);
            atLeast("class window", window, 0);
            atLeast("class skipWorth", skipWorth, 0);
            atMost("class lateWorth", lateWorth, 1);
            atMost("class skipWorth", skipWorth, 1);
            present("class effect", effect);
            if (aim > deadline) {
                throw new IllegalArgumentException("class aim: longer than the deadline");
            }
        }
    }

    /** A tenant and its told quota, in requests a second over the fleet; 0 where none is told. */
    record Tenant(double quota) {
        public Tenant {
            atLeast("tenant quota", quota, 0);
        }
    }

    /** What the server dies of; {@code speedFloor} is the least speed of a cold process. */
    record Limits(
            double memoryKb,
            double runFactor,
            double keyKb,
            double tipMultiple,
            double speedFloor,
            long coldFor,
            long answerSlack,
            long drainGrace) {
        public Limits {
            atLeast("memoryKb", memoryKb, 1);
            atLeast("runFactor", runFactor, 1);
            atLeast("keyKb", keyKb, 0);
            atLeast("tipMultiple", tipMultiple, 1);
            atLeast("speedFloor", speedFloor, 0);
            atLeast("coldFor", coldFor, 0);
            atLeast("answerSlack", answerSlack, 0);
            atLeast("drainGrace", drainGrace, 0);
            atMost("speedFloor", speedFloor, 1);
        }
    }

    /** What requests call: the calls it survives from this server, averaged over {@code window}. */
    record Below(Dependency kind, double callsOut, long window, long linger) {
        public Below {
            present("dependency kind", kind);
            atLeast("callsOut", callsOut, 0);
            atLeast("dependency window", window, 0);
            atLeast("linger", linger, 0);
        }
    }

    /**
     * What callers can be told; {@code maxStayAway} is 0 where they pass no such advice on. They close a
     * connection unused for {@code idle}, 0 where that is not known; the prices are those of an opening for
     * each first try and of a hundred connections kept open.
     */
    record Callers(
            int count,
            Advice advice,
            long heeded,
            long maxStayAway,
            boolean healthSteers,
            long idle,
            double openingPrice,
            double connectionPrice) {
        public Callers {
            atLeast("callers", count, 0);
            present("advice", advice);
            atLeast("heeded", heeded, 0);
            atLeast("maxStayAway", maxStayAway, 0);
            atLeast("idle", idle, 0);
            atLeast("openingPrice", openingPrice, 0);
            atLeast("connectionPrice", connectionPrice, 0);
        }
    }

    /** All that is told at start; {@code servers} is how many do this work, 0 where that is not known. */
    record Settings(
            int cores,
            int servers,
            boolean cold,
            Halt halt,
            long fresh,
            long resolution,
            Limits limits,
            Below below,
            Callers callers,
            List<RequestClass> classes,
            List<Tenant> tenants) {
        public Settings {
            atLeast("cores", cores, 1);
            atLeast("servers", servers, 0);
            present("halt", halt);
            atLeast("fresh", fresh, 0);
            atLeast("resolution", resolution, 0);
            present("limits", limits);
            present("below", below);
            present("callers", callers);
            present("classes", classes);
            present("tenants", tenants);
            atLeast("number of classes", classes.size(), 1);
            classes = List.copyOf(classes);
            tenants = TenantList.copyOf(tenants);
        }
    }

    /**
     * One try that was read. {@code left} is how long its caller still waits, 0 where that is not told;
     * {@code age} how long ago it reached the machine; {@code duplicateOf} the request it repeats, or 0;
     * {@code further} marks a try after the first where callers mark them; {@code hint} the expected work, as
     * time on a core of usual speed, 0 where none is told.
     */
    record Request(
            long id,
            int tenant,
            int kind,
            long age,
            long left,
            long duplicateOf,
            boolean further,
            boolean keyed,
            boolean write,
            double heldKb,
            double hint) {}

    /** Readings of the moment; NaN where missing. */
    record Gauges(double coreUse, double onCores, double memoryShare, double connections) {}

    /** Starts a batch of events at the given clock, which never goes back. */
    void begin(long now);

    /** A try was read and is held. */
    void arrived(Request request);

    /** A run or a join ended after {@code elapsed}. */
    void completed(long id, Outcome outcome, long elapsed);

    /** A run can go on only with a call. */
    void blocked(long id);

    /** A call ended after {@code elapsed}. */
    void called(long id, Outcome outcome, long elapsed);

    /** The caller has gone; no answer is owed. */
    void gone(long id);

    /** This process is stopped after {@code left}. */
    void retiring(long left);

    /**
     * The settings were retuned at SIGHUP: {@code next} has the classes it had, by the same index, and new
     * ones after them. Requests in hand keep their class.
     */
    void retuned(Settings next);

    /** A timer set by {@link Actions#wake} is due. */
    void timer(Gauges gauges);

    /** Ends the batch: all decisions are made now and sent to {@code actions}. */
    void decide(Actions actions);

    /** Where decisions go. */
    interface Actions {
        /** Starts a held request. */
        void run(long id);

        /** Turns a request away that never ran. */
        void refuse(long id, long stayAway, boolean dontRetry);

        /** Answers with an error that promises nothing. */
        void fail(long id);

        /** Stops running work. */
        void stop(long id);

        /** Makes the call a request stands at. */
        void call(long id, long giveUpAfter);

        /** Lets a request go on without its call. */
        void skipCall(long id);

        /** Remembers the request's key. */
        void pin(long id, long ttl);

        /** Forgets the request's key. */
        void unpin(long id);

        /** Answers a repeat with the result of the request it repeats. */
        void join(long id);

        /** Sets what health checks hear. */
        void health(boolean good, boolean stored);

        /** Sets the value that goes with every answer. */
        void advise(double value);

        /** Closes connections unused for this long; 0 means the longest allowed. */
        void closeIdle(long after);

        /** Asks for a {@link #timer} event. */
        void wake(long after);

        /** Leaves a line for the operators. */
        void log(String text);
    }

    private static void atLeast(String name, double value, double least) {
        if (!(value >= least) || Double.isInfinite(value)) {
            throw new IllegalArgumentException(name + ": " + value + " is under " + least + " or no number");
        }
    }

    private static void atMost(String name, double value, double most) {
        if (value > most) {
            throw new IllegalArgumentException(name + ": " + value + " is above " + most);
        }
    }

    private static void present(String name, Object value) {
        if (value == null) {
            throw new IllegalArgumentException(name + ": missing");
        }
    }
}
