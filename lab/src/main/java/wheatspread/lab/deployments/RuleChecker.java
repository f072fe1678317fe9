package wheatspread.lab.deployments;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.json.JSONObject;
import wheatspread.admission.Idempotency;
import wheatspread.lab.deployments.Deployment.RequestClass;

/** Records every attempt, run and answer, and reports each violation of a rule. Times are in microseconds. */
final class RuleChecker {
    /** Permitted delay of an answer after its deadline: the slack of the settings and 50 ms for the sockets. */
    private static final long ANSWER_SLACK_MICROS = 110_000;

    /** Requests sent in this time before the server closes a connection may cross the close unread. */
    private static final long CROSSING_MICROS = 50_000;

    private static final int REJECTED = -32066;
    private static final List<Integer> MALFORMED = List.of(-32700, -32600, -32601, -32602, -32002);

    /** An attempt that was sent to the server. */
    static final class Attempt {
        final String txn;
        final RequestClass requestClass;
        final String key;
        final long sentMicros;
        final long dueMicros;
        final double memoryKb;
        final boolean light;
        /** "served" or the error code; null before the answer. */
        String answer;

        /** Whether the client has cancelled the request. */
        boolean cancelled;

        boolean ran;

        Attempt(
                String txn,
                RequestClass requestClass,
                String key,
                long sentMicros,
                long dueMicros,
                double memoryKb,
                boolean light) {
            this.txn = txn;
            this.requestClass = requestClass;
            this.key = key;
            this.sentMicros = sentMicros;
            this.dueMicros = dueMicros;
            this.memoryKb = memoryKb;
            this.light = light;
        }

        String body() {
            return "body of " + (requestClass.idempotency() == Idempotency.IDEMPOTENT ? txn : key);
        }
    }

    private final Deployment deployment;
    final List<String> violations = new ArrayList<>();
    private final Map<String, Attempt> attempts = new HashMap<>();
    /** Sending time of the last attempt that ran, by idempotency key. */
    private final Map<String, Long> lastRunSentMicros = new HashMap<>();

    private final Map<String, List<String>> resultsByKey = new HashMap<>();
    private long drainNoticeMicros = Long.MAX_VALUE;
    private int lightRequests;
    private int lightServed;

    RuleChecker(Deployment deployment) {
        this.deployment = deployment;
    }

    void addViolation(String violation) {
        violations.add(violation);
    }

    void requestSent(Attempt request) {
        attempts.put(request.txn, request);
        lightRequests += request.light ? 1 : 0;
    }

    Attempt find(String txn) {
        return attempts.get(txn);
    }

    void drainNotified(long nowMicros) {
        drainNoticeMicros = nowMicros;
    }

    /**
     * Records that the server orders the kernel to run an attempt. Returns false if there is no such attempt or if its
     * class or body was changed.
     */
    boolean startRun(String txn, String className, String data) {
        Attempt request = attempts.get(txn);
        if (request == null
                || !request.requestClass.name().equals(className)
                || !new String(Base64.getDecoder().decode(data), StandardCharsets.UTF_8).equals(request.body())) {
            addViolation("changed: run of " + txn + " as " + className);
            return false;
        }
        boolean idempotent = request.requestClass.idempotency() == Idempotency.IDEMPOTENT;
        if (request.ran && !(idempotent && "abort".equals(deployment.preemption))) {
            addViolation("duplicate: a second run of " + txn);
        }
        if (request.requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY) {
            Long previousMicros = lastRunSentMicros.get(request.key);
            if (previousMicros != null
                    && !request.ran
                    && request.sentMicros <= previousMicros + request.requestClass.windowMillis() * 1_000) {
                addViolation("duplicate: " + txn + " of key " + request.key + " runs within the window");
            }
            lastRunSentMicros.put(request.key, request.sentMicros);
        }
        if (request.sentMicros - deployment.drainGraceMillis * 1_000 > drainNoticeMicros) {
            addViolation("drain: " + txn + " runs, " + (request.sentMicros - drainNoticeMicros) / 1_000
                    + " ms after the notice");
        }
        request.ran = true;
        return true;
    }

    /** Records the result of a run, for its attempt and for the attempts that may share the result. */
    void runCompleted(Attempt request, String result) {
        resultsByKey
                .computeIfAbsent(request.key == null ? request.txn : request.key, key -> new ArrayList<>())
                .add(result);
    }

    void answered(String txn, JSONObject answer, long nowMicros) {
        Attempt request = attempts.get(txn);
        JSONObject error = answer.optJSONObject("error");
        JSONObject fields = error == null ? answer.optJSONObject("result") : error.optJSONObject("data");
        if (request.answer != null) {
            addViolation("duplicate: two answers to " + txn);
        }
        request.answer = error == null ? "served" : Integer.toString(error.getInt("code"));
        if (!request.cancelled && nowMicros > request.dueMicros + ANSWER_SLACK_MICROS) {
            addViolation(
                    "lost: " + txn + " answered " + (nowMicros - request.dueMicros) / 1_000 + " ms after its deadline");
        }
        if (error == null) {
            String result = new String(
                    Base64.getDecoder().decode(answer.getJSONObject("result").getString("blob")),
                    StandardCharsets.UTF_8);
            if (!resultsByKey
                    .getOrDefault(request.key == null ? request.txn : request.key, List.of())
                    .contains(result)) {
                addViolation("lost: " + txn + " was served with a result that no run returned");
            }
            lightServed += request.light ? 1 : 0;
        } else if (error.getInt("code") == REJECTED && request.ran) {
            addViolation("duplicate: " + txn + " ran and was rejected");
        } else if (MALFORMED.contains(error.getInt("code"))) {
            addViolation("not taken: " + txn + ": " + error.getString("message"));
        }
        if (fields != null
                && fields.has("feedback")
                && (!deployment.sendsLoadFeedback() || fields.getDouble("feedback") < 0)) {
            addViolation("advice: load feedback " + fields.get("feedback") + " is negative or not configured");
        }
        if (fields != null && fields.optDouble("later", 0) > deployment.maxRetryAfterMillis) {
            addViolation("advice: retry-after " + fields.get("later") + " exceeds the maximum of "
                    + deployment.maxRetryAfterMillis);
        }
    }

    /**
     * Records that a connection ended without the answer to an attempt. That is permitted during a drain if the attempt
     * crossed the close; the client then repeats it on a new connection, which the draining server refuses.
     */
    void connectionEnded(String txn, long nowMicros) {
        Attempt request = attempts.get(txn);
        if (!request.cancelled
                && (request.ran
                        || nowMicros - request.sentMicros > CROSSING_MICROS
                        || drainNoticeMicros == Long.MAX_VALUE)) {
            addViolation("lost: the connection of " + txn + " ended after " + (nowMicros - request.sentMicros) / 1_000
                    + " ms");
        }
        attempts.remove(txn);
    }

    /** Checks that the queued and the running requests fit into the memory of the process. */
    void checkMemory(double runningKb, long nowMicros) {
        double queuedKb = 0;
        for (Attempt request : attempts.values()) {
            queuedKb += request.answer == null
                            && !request.cancelled
                            && !request.ran
                            && nowMicros > request.sentMicros + 100_000
                    ? request.memoryKb
                    : 0;
        }
        if (queuedKb + runningKb > deployment.memoryKb) {
            addViolation("fall-over: " + queuedKb + " KB queued and " + runningKb + " KB running exceed "
                    + deployment.memoryKb + " KB");
        }
    }

    /**
     * Checks the rules about the whole run after the server has stopped: every request that it read has an answer, and
     * under light load it served the required share of the requests. Requests that crossed the close of their
     * connection are exempt: the client repeats them on a new connection, which the server refuses.
     */
    void serverStopped(long stoppedMicros) {
        attempts.values().stream()
                .filter(request -> request.answer == null && !request.cancelled)
                .filter(request -> request.ran || request.sentMicros < stoppedMicros - CROSSING_MICROS)
                .forEach(request -> addViolation("lost: " + request.txn + " has no answer; it was sent "
                        + (stoppedMicros - request.sentMicros) / 1_000 + " ms before the server stopped and "
                        + (request.ran ? "ran" : "never ran")));
        if (lightServed < lightRequests * (deployment.startsCold ? 0.2 : 0.6)) {
            addViolation("not served: " + lightServed + " of " + lightRequests + " under a light load: "
                    + attempts.values().stream()
                            .filter(request -> request.light)
                            .map(request -> request.answer)
                            .toList());
        }
    }
}
