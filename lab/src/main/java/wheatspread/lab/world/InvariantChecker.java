package wheatspread.lab.world;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.HdrHistogram.Histogram;
import org.json.JSONObject;
import wheatspread.lab.Sites;

/**
 * Books every try, answer and run of a fleet, and checks every promise by itself. All calls come from one
 * thread; times are Unix milliseconds.
 */
public final class InvariantChecker {
    /**
     * Answers may be this late: the slack of the settings, that of the protocol's page, and the proxies' own.
     */
    private static final long SLACK = 60 + 50 + 100;
    /** A request written so long after the notice is not run; 50 ms more by the protocol's page. */
    private static final long GRACE = 2_500 + 50;

    /** One request of a client, with all its tries. */
    static final class Asked {
        final long at;
        final Sites.Kind kind;
        final double work;
        final String key;
        boolean over;

        Asked(long at, Sites.Kind kind, double work, String key) {
            this.at = at;
            this.kind = kind;
            this.work = work;
            this.key = key;
        }

        double worth() {
            return kind.worth() * work;
        }
    }

    /** One try, as a proxy wrote it to a server. */
    static final class Tried {
        final Asked asked;
        final String server;
        final String txn;
        final long writtenAt;
        final long due;
        int answers;
        boolean excused;

        Tried(Asked asked, String server, String txn, long writtenAt, long due) {
            this.asked = asked;
            this.server = server;
            this.txn = txn;
            this.writtenAt = writtenAt;
            this.due = due;
        }
    }

    private final Map<String, Tried> tries = new HashMap<>();
    private final Set<String> runs = new HashSet<>();
    private final Map<String, Long> keyRuns = new HashMap<>();
    private final Map<String, Long> notices = new HashMap<>();
    private final Set<String> killed = new HashSet<>();
    private final Map<String, List<long[]>> pauses = new HashMap<>();
    private final List<String> faults = new ArrayList<>();
    private final List<double[]> seconds = new ArrayList<>();
    private final Map<String, Long> counts = new HashMap<>();
    private final Map<String, Long> mayLose = new HashMap<>();
    private Predicate<String> doomed = server -> false;
    private long beganAt;
    /** From the request to the answer that served it; ms. */
    private final Histogram took = new Histogram(60_000, 3);

    /** What is asked from now on counts. */
    void begin(long now) {
        beganAt = now;
    }

    private void count(String what) {
        counts.merge(what, 1L, Long::sum);
    }

    private void fault(String kind, String text) {
        count(kind);
        if (faults.size() < 50) {
            faults.add(kind + ": " + text);
        }
    }

    private double[] second(long at) {
        int index = (int) Math.max(0, (at - beganAt) / 1_000);
        while (seconds.size() <= index) {
            seconds.add(new double[2]);
        }
        return seconds.get(index);
    }

    void asked(Asked one) {
        count("asked");
        second(one.at)[0] += one.worth();
    }

    void tried(Tried one) {
        count("tries");
        tries.put(one.txn, one);
    }

    /** A client's request is over: served, refused everywhere, failed, or out of time. */
    void over(Asked one, String how, long now) {
        if (one.over) {
            return;
        }
        one.over = true;
        count(how);
        if (how.equals("served")) {
            took.recordValue(Math.max(0, Math.min(60_000, now - one.at)));
        }
        if (how.equals("served") && now <= one.at + one.kind.wanted()) {
            count("served_in_time");
            second(one.at)[1] += one.worth();
        }
    }

    /** A try was answered by its server. */
    void answered(Tried one, long now) {
        if (++one.answers > 1) {
            fault("answered_twice", one.txn + " by " + one.server);
        }
        if (now > one.due + SLACK + pausedFor(one.server, one.writtenAt, now)) {
            fault("late", one.txn + " by " + one.server + ", " + (now - one.due) + " ms after it was due");
        }
    }

    /** The answer came on a connection that knows of no such try. */
    void strayAnswer(String server, String line) {
        fault("answered_twice", "by " + server + ": " + line);
    }

    /** The process of a server was stopped from outside: what it owed then may come later by as much. */
    void paused(String server, long from, long to) {
        pauses.computeIfAbsent(server, name -> new ArrayList<>()).add(new long[] {from, to});
    }

    private long pausedFor(String server, long from, long to) {
        return pauses.getOrDefault(server, List.of()).stream()
                .mapToLong(one -> Math.max(0, Math.min(to, one[1]) - Math.max(from, one[0])))
                .sum();
    }

    /** A process of a server was ended outright while another goes on: what breaks until then is excused. */
    void mayLose(String server, long until) {
        mayLose.put(server, until);
    }

    void refusedWithoutTime() {
        count("refused_without_time");
    }

    long served() {
        return counts.getOrDefault("served", 0L);
    }

    /** The connection of a try ended without an answer. */
    void broken(Tried one) {
        boolean lost = isKilled(one.server) || System.currentTimeMillis() <= mayLose.getOrDefault(one.server, 0L);
        if (one.answers == 0 && lost) {
            one.excused = true;
            count("lost_on_killed");
        } else if (one.answers == 0) {
            fault("unanswered", one.txn + " on a connection that " + one.server + " closed");
        }
    }

    /** A server told the announce service that it takes no more. */
    void notice(String server, long now) {
        notices.putIfAbsent(server, now);
    }

    /** A server was ended outright: what it had in hand is lost, and nobody blames it. */
    void killed(String server) {
        killed.add(server);
    }

    /** Processes that are to die by themselves are excused like those that were ended. */
    void excuse(Predicate<String> dying) {
        doomed = dying;
    }

    boolean isKilled(String server) {
        return killed.contains(server) || doomed.test(server);
    }

    /** A process of it has come up: nothing of the one before can still be run. */
    void begins(String server) {
        killed.remove(server);
        notices.remove(server);
        keyRuns.keySet().removeIf(key -> key.startsWith(server + " "));
    }

    /** A kernel starts a run. */
    void ran(String server, String job, long now) {
        count("runs");
        Tried one = tries.get(job);
        if (one == null) {
            fault("unknown_run", job + " on " + server);
            return;
        }
        if (!runs.add(server + " " + job)) {
            fault("doubled", job + " ran twice on " + server);
        }
        if (one.asked.key != null && keyRuns.put(server + " " + one.asked.key, now) != null) {
            fault("doubled", "key " + one.asked.key + " ran twice on " + server);
        }
        Long notice = notices.get(server);
        if (notice != null && one.writtenAt > notice + GRACE) {
            fault("late_run", job + " on " + server + ", written " + (one.writtenAt - notice) + " ms after the notice");
        }
    }

    /** How many tries may still be answered. */
    int open(long now) {
        return (int) tries.values().stream()
                .filter(one -> one.answers == 0
                        && !one.excused
                        && now <= one.due + SLACK + pausedFor(one.server, one.writtenAt, now))
                .count();
    }

    /** Once all is over: what has no answer by now will never have one. */
    void close(long now) {
        for (Tried one : tries.values()) {
            if (one.answers == 0 && !one.excused && now > one.due + SLACK + pausedFor(one.server, one.writtenAt, now)) {
                fault("unanswered", one.txn + " by " + one.server);
                one.excused = true;
            }
        }
    }

    /** How often a promise was broken. */
    public long broken() {
        return List.of("answered_twice", "late", "unanswered", "unknown_run", "doubled", "late_run").stream()
                .mapToLong(kind -> counts.getOrDefault(kind, 0L))
                .sum();
    }

    public List<String> violations() {
        return List.copyOf(faults);
    }

    /** The worth answered within the wanted time over the worth asked for. */
    public double worthServed() {
        double asked = seconds.stream().mapToDouble(one -> one[0]).sum();
        return asked == 0 ? 0 : seconds.stream().mapToDouble(one -> one[1]).sum() / asked;
    }

    /** The same for each second, NaN where nothing was asked. */
    public double[] bySecond() {
        return seconds.stream()
                .mapToDouble(one -> one[0] == 0 ? Double.NaN : one[1] / one[0])
                .toArray();
    }

    /** Its figures. */
    public JSONObject figures() {
        JSONObject all = new JSONObject()
                .put("worth_served", worthServed())
                .put("served_p50_ms", took.getValueAtPercentile(50))
                .put("served_p99_ms", took.getValueAtPercentile(99));
        for (String kind : List.of(
                "asked",
                "tries",
                "runs",
                "served",
                "served_in_time",
                "refused",
                "failed",
                "timed_out",
                "unanswered",
                "answered_twice",
                "late",
                "doubled",
                "late_run",
                "unknown_run",
                "lost_on_killed",
                "refused_without_time")) {
            all.put(kind, counts.getOrDefault(kind, 0L));
        }
        return all;
    }
}
