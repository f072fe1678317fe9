package wheatspread.lab.world;

import java.util.ArrayList;
import java.util.EnumSet;
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
 * Records every attempt, response and run of a fleet and checks the protocol's invariants independently of the
 * servers: each attempt gets exactly one response in time, each job and each idempotency key runs at most once,
 * and no server runs a request that was sent too long after its drain notice. Not thread-safe; times are Unix
 * milliseconds.
 */
public final class InvariantChecker {
    /**
     * How late a response may be: the slack of the settings (60 ms), that of the protocol's page (50 ms), and the
     * proxies' own delay (100 ms).
     */
    private static final long RESPONSE_SLACK_MS = 60 + 50 + 100;
    /**
     * A server does not run a request sent this long after its drain notice: the drain grace of the settings
     * (2,500 ms) and the protocol page's slack (50 ms).
     */
    private static final long DRAIN_GRACE_MS = 2_500 + 50;

    private static final int MAX_VIOLATION_TEXTS = 50;

    /** One request of a client, with all its attempts. */
    static final class ClientRequest {
        final long startedAtMillis;
        final Sites.Kind kind;
        final double work;
        final String key;
        boolean ended;

        ClientRequest(long startedAtMillis, Sites.Kind kind, double work, String key) {
            this.startedAtMillis = startedAtMillis;
            this.kind = kind;
            this.work = work;
            this.key = key;
        }

        double value() {
            return kind.weight() * work;
        }
    }

    /** One attempt, as a proxy sent it to a server. */
    static final class Attempt {
        final ClientRequest request;
        final String server;
        final String txn;
        final long sentAtMillis;
        final long dueMillis;
        int responses;
        boolean excused;

        Attempt(ClientRequest request, String server, String txn, long sentAtMillis, long dueMillis) {
            this.request = request;
            this.server = server;
            this.txn = txn;
            this.sentAtMillis = sentAtMillis;
            this.dueMillis = dueMillis;
        }
    }

    private final Map<String, Attempt> attempts = new HashMap<>();
    private final Set<String> runs = new HashSet<>();
    private final Map<String, Long> keyRuns = new HashMap<>();
    private final Map<String, Long> drainNotices = new HashMap<>();
    private final Set<String> killed = new HashSet<>();
    private final Map<String, List<long[]>> pauses = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private final List<double[]> seconds = new ArrayList<>();
    private final Map<String, Long> counts = new HashMap<>();
    private final Map<String, Long> lossExcusedUntil = new HashMap<>();
    private final Set<PlantedFault> planted = EnumSet.noneOf(PlantedFault.class);
    private Predicate<String> exitExpected = server -> false;
    private long beganAtMillis;
    /** Time from the client's request to the response that served it, in milliseconds. */
    private final Histogram responseMillis = new Histogram(60_000, 3);

    /** Sets the time from which the per-second figures are counted. */
    void beginMeasurement(long nowMillis) {
        beganAtMillis = nowMillis;
    }

    private void count(String figure) {
        counts.merge(figure, 1L, Long::sum);
    }

    private void addViolation(String kind, String text) {
        count(kind);
        if (violations.size() < MAX_VIOLATION_TEXTS) {
            violations.add(kind + ": " + text);
        }
    }

    private double[] secondAt(long timeMillis) {
        int index = (int) Math.max(0, (timeMillis - beganAtMillis) / 1_000);
        while (seconds.size() <= index) {
            seconds.add(new double[2]);
        }
        return seconds.get(index);
    }

    void recordRequest(ClientRequest request) {
        count("asked");
        secondAt(request.startedAtMillis)[0] += request.value();
    }

    void recordAttempt(Attempt attempt) {
        count("tries");
        attempts.put(attempt.txn, attempt);
    }

    /**
     * Ends a client's request. {@code outcome} is the figure to count: served, refused, failed or timed_out. Only
     * the first outcome of a request counts.
     */
    void recordOutcome(ClientRequest request, String outcome, long nowMillis) {
        if (request.ended) {
            return;
        }
        request.ended = true;
        count(outcome);
        if (outcome.equals("served")) {
            responseMillis.recordValue(Math.max(0, Math.min(60_000, nowMillis - request.startedAtMillis)));
        }
        if (outcome.equals("served") && nowMillis <= request.startedAtMillis + request.kind.latencyObjectiveMillis()) {
            count("served_in_time");
            secondAt(request.startedAtMillis)[1] += request.value();
        }
    }

    /** Falsifies the next observation of the fault's kind, as if a server had broken the invariant. */
    void plant(PlantedFault fault) {
        planted.add(fault);
    }

    /** Records a response to an attempt; a second response or a late one is a violation. */
    void recordResponse(Attempt attempt, long nowMillis) {
        if (planted.remove(PlantedFault.DROPPED_ANSWER)) {
            return;
        }
        if (++attempt.responses > 1) {
            addViolation("answered_twice", attempt.txn + " by " + attempt.server);
        }
        if (nowMillis
                > attempt.dueMillis + RESPONSE_SLACK_MS + pausedFor(attempt.server, attempt.sentAtMillis, nowMillis)) {
            addViolation(
                    "late",
                    attempt.txn + " by " + attempt.server + ", " + (nowMillis - attempt.dueMillis)
                            + " ms after its deadline");
        }
    }

    /** Records a response whose id matches no pending attempt of its connection; a violation. */
    void recordUnmatchedResponse(String server, String line) {
        addViolation("answered_twice", "by " + server + ": " + line);
    }

    /** Records that a server's process was stopped for a time; responses due then may be late by as much. */
    void recordPause(String server, long from, long to) {
        pauses.computeIfAbsent(server, name -> new ArrayList<>()).add(new long[] {from, to});
    }

    private long pausedFor(String server, long from, long to) {
        return pauses.getOrDefault(server, List.of()).stream()
                .mapToLong(pause -> Math.max(0, Math.min(to, pause[1]) - Math.max(from, pause[0])))
                .sum();
    }

    /**
     * Excuses unanswered attempts on connections of this server that break until the given time, for a process
     * that is killed while another process of the server continues.
     */
    void excuseLossesUntil(String server, long untilMillis) {
        lossExcusedUntil.put(server, untilMillis);
    }

    /** Counts a refusal that had no retry-after time. */
    void recordRefusalWithoutRetryTime() {
        count("refused_without_time");
    }

    long countServed() {
        return counts.getOrDefault("served", 0L);
    }

    /** Records that an attempt's connection closed; a violation if it had no response and no loss is excused. */
    void recordBrokenConnection(Attempt attempt) {
        boolean lost = isKilled(attempt.server)
                || System.currentTimeMillis() <= lossExcusedUntil.getOrDefault(attempt.server, 0L);
        if (attempt.responses == 0 && lost) {
            attempt.excused = true;
            count("lost_on_killed");
        } else if (attempt.responses == 0) {
            addViolation(
                    "unanswered",
                    attempt.txn + " on a connection that " + attempt.server + " closed "
                            + describeTimes(attempt, System.currentTimeMillis()));
        }
    }

    private String describeTimes(Attempt attempt, long nowMillis) {
        Long notice = drainNotices.get(attempt.server);
        String sinceNotice =
                notice == null ? "" : ", which was " + (attempt.sentAtMillis - notice) + " ms after the drain notice";
        return (nowMillis - attempt.sentAtMillis) + " ms after it was sent" + sinceNotice;
    }

    /** Records that a server announced that it accepts no more requests; the first notice counts. */
    void recordDrainNotice(String server, long nowMillis) {
        drainNotices.putIfAbsent(server, nowMillis);
    }

    /** Records that a server was killed; its unanswered attempts are excused until its next start. */
    void recordKill(String server) {
        killed.add(server);
    }

    /** Excuses servers whose process is expected to end by itself, like killed ones. */
    void excuseServers(Predicate<String> expectedToEnd) {
        exitExpected = expectedToEnd;
    }

    boolean isKilled(String server) {
        return killed.contains(server) || exitExpected.test(server);
    }

    /** Records the start of a server's process, which cannot run any request of the previous process. */
    void recordStart(String server) {
        killed.remove(server);
        drainNotices.remove(server);
        keyRuns.keySet().removeIf(key -> key.startsWith(server + " "));
    }

    /** Records the start of a run; checks that its attempt is known, runs once and is not after the drain grace. */
    void recordRun(String server, String job, long nowMillis) {
        count("runs");
        Attempt attempt = attempts.get(job);
        if (attempt == null) {
            addViolation("unknown_run", job + " on " + server);
            return;
        }
        if (!runs.add(server + " " + job)) {
            addViolation("doubled", job + " ran twice on " + server);
        }
        if (attempt.request.key != null && keyRuns.put(server + " " + attempt.request.key, nowMillis) != null) {
            addViolation("doubled", "key " + attempt.request.key + " ran twice on " + server);
        }
        if (attempt.request.key != null && planted.remove(PlantedFault.KEY_RUN_TWICE)) {
            recordRun(server, job, nowMillis);
        }
        if (planted.remove(PlantedFault.RUN_PAST_GRACE)) {
            drainNotices.put(server, attempt.sentAtMillis - DRAIN_GRACE_MS - 1);
        }
        Long notice = drainNotices.get(server);
        if (notice != null && attempt.sentAtMillis > notice + DRAIN_GRACE_MS) {
            addViolation(
                    "late_run",
                    job + " on " + server + ", sent " + (attempt.sentAtMillis - notice) + " ms after the drain notice");
        }
    }

    /** Returns the number of attempts without a response whose deadline has not passed. */
    int countPending(long nowMillis) {
        return (int) attempts.values().stream()
                .filter(attempt -> attempt.responses == 0
                        && !attempt.excused
                        && nowMillis
                                <= attempt.dueMillis
                                        + RESPONSE_SLACK_MS
                                        + pausedFor(attempt.server, attempt.sentAtMillis, nowMillis))
                .count();
    }

    /** Reports attempts without a response whose deadline has passed; to be called after the load has ended. */
    void recordUnanswered(long nowMillis) {
        for (Attempt attempt : attempts.values()) {
            if (attempt.responses == 0
                    && !attempt.excused
                    && nowMillis
                            > attempt.dueMillis
                                    + RESPONSE_SLACK_MS
                                    + pausedFor(attempt.server, attempt.sentAtMillis, nowMillis)) {
                addViolation("unanswered", attempt.txn + " by " + attempt.server);
                attempt.excused = true;
            }
        }
    }

    /** Returns the number of violations, including those whose text was not kept. */
    public long countViolations() {
        return List.of("answered_twice", "late", "unanswered", "unknown_run", "doubled", "late_run").stream()
                .mapToLong(kind -> counts.getOrDefault(kind, 0L))
                .sum();
    }

    /** Returns the texts of the first {@link #MAX_VIOLATION_TEXTS} violations. */
    public List<String> violations() {
        return List.copyOf(violations);
    }

    /** Returns the value of requests served within their wanted time over that of all requests; 0 without any. */
    public double servedValueShare() {
        double requested = seconds.stream().mapToDouble(second -> second[0]).sum();
        return requested == 0
                ? 0
                : seconds.stream().mapToDouble(second -> second[1]).sum() / requested;
    }

    /** Returns {@link #servedValueShare} for each second by when requests began; NaN for seconds without any. */
    public double[] servedValueBySecond() {
        return seconds.stream()
                .mapToDouble(second -> second[0] == 0 ? Double.NaN : second[1] / second[0])
                .toArray();
    }

    /** Returns counts and response times under their report keys; response times are in milliseconds. */
    public JSONObject figures() {
        JSONObject figures = new JSONObject()
                .put("worth_served", servedValueShare())
                .put("served_p50_ms", responseMillis.getValueAtPercentile(50))
                .put("served_p99_ms", responseMillis.getValueAtPercentile(99));
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
            figures.put(kind, counts.getOrDefault(kind, 0L));
        }
        return figures;
    }
}
