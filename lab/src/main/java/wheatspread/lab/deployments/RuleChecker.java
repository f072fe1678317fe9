package wheatspread.lab.deployments;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.json.JSONObject;
import wheatspread.admission.Idempotency;
import wheatspread.lab.deployments.Deployment.Kind;

/** Books every try, run and answer, and names each rule that one of them breaks. Times in microseconds. */
final class RuleChecker {
    /** How much later than due an answer may come: the settings' slack and the 50 ms of sockets. */
    private static final long SLACK = 110_000;

    private static final long CROSSED = 50_000;
    private static final int REFUSED = -32066;
    private static final List<Integer> MALFORMED = List.of(-32700, -32600, -32601, -32602, -32002);

    /** One try that was written to the server. */
    static final class Try {
        final String txn;
        final Kind kind;
        final String key;
        final long door;
        final long due;
        final double ram;
        final boolean light;
        String answer;
        boolean gone;
        boolean ran;

        Try(String txn, Kind kind, String key, long door, long due, double ram, boolean light) {
            this.txn = txn;
            this.kind = kind;
            this.key = key;
            this.door = door;
            this.due = due;
            this.ram = ram;
            this.light = light;
        }

        String body() {
            return "body of " + (kind.effect() == Idempotency.IDEMPOTENT ? txn : key);
        }
    }

    private final Deployment deployment;
    final List<String> broken = new ArrayList<>();
    private final Map<String, Try> tries = new HashMap<>();
    private final Map<String, Long> ranAt = new HashMap<>();
    private final Map<String, List<String>> results = new HashMap<>();
    private long noticeAt = Long.MAX_VALUE;
    private int light;
    private int lightServed;

    RuleChecker(Deployment deployment) {
        this.deployment = deployment;
    }

    void broken(String what) {
        broken.add(what);
    }

    void written(Try request) {
        tries.put(request.txn, request);
        light += request.light ? 1 : 0;
    }

    Try find(String txn) {
        return tries.get(txn);
    }

    void notice(long now) {
        noticeAt = now;
    }

    /** The kernel is told to run a try; false where it is none, or was begun already and may not run anew. */
    boolean begins(String txn, String kind, String data) {
        Try request = tries.get(txn);
        if (request == null
                || !request.kind.name().equals(kind)
                || !new String(Base64.getDecoder().decode(data), StandardCharsets.UTF_8).equals(request.body())) {
            broken("changed: run of " + txn + " as " + kind);
            return false;
        }
        boolean safe = request.kind.effect() == Idempotency.IDEMPOTENT;
        if (request.ran && !(safe && "abort".equals(deployment.halt))) {
            broken("duplicate: a second run of " + txn);
        }
        if (request.kind.effect() == Idempotency.IDEMPOTENCY_KEY) {
            Long before = ranAt.get(request.key);
            if (before != null && !request.ran && request.door <= before + request.kind.window() * 1_000) {
                broken("duplicate: " + txn + " of key " + request.key + " runs within the window");
            }
            ranAt.put(request.key, request.door);
        }
        if (request.door - deployment.grace * 1_000 > noticeAt) {
            broken("drain: " + txn + " runs, " + (request.door - noticeAt) / 1_000 + " ms after the notice");
        }
        request.ran = true;
        return true;
    }

    /** A run made this result, for its try and for those that may share it. */
    void made(Try request, String result) {
        results.computeIfAbsent(request.key == null ? request.txn : request.key, key -> new ArrayList<>())
                .add(result);
    }

    void answered(String txn, JSONObject answer, long now) {
        Try request = tries.get(txn);
        JSONObject error = answer.optJSONObject("error");
        JSONObject fields = error == null ? answer.optJSONObject("result") : error.optJSONObject("data");
        if (request.answer != null) {
            broken("duplicate: two answers to " + txn);
        }
        request.answer = error == null ? "served" : Integer.toString(error.getInt("code"));
        if (!request.gone && now > request.due + SLACK) {
            broken("lost: " + txn + " answered " + (now - request.due) / 1_000 + " ms after it was due");
        }
        if (error == null) {
            String result = new String(
                    Base64.getDecoder().decode(answer.getJSONObject("result").getString("blob")),
                    StandardCharsets.UTF_8);
            if (!results.getOrDefault(request.key == null ? request.txn : request.key, List.of())
                    .contains(result)) {
                broken("lost: " + txn + " served with what no run made");
            }
            lightServed += request.light ? 1 : 0;
        } else if (error.getInt("code") == REFUSED && request.ran) {
            broken("duplicate: " + txn + " ran and was refused");
        } else if (MALFORMED.contains(error.getInt("code"))) {
            broken("not taken: " + txn + ": " + error.getString("message"));
        }
        if (fields != null && fields.has("feedback") && (!deployment.advises() || fields.getDouble("feedback") < 0)) {
            broken("advice: a free value " + fields.get("feedback") + " where none is used");
        }
        if (fields != null && fields.optDouble("later", 0) > deployment.mostStayAway) {
            broken("advice: later " + fields.get("later") + " of " + deployment.mostStayAway);
        }
    }

    /**
     * The connection of a try ended without its answer. One that crossed the close is sent again, on a
     * connection that is refused since the server leaves.
     */
    void crossed(String txn, long now) {
        Try request = tries.get(txn);
        if (!request.gone && (request.ran || now - request.door > CROSSED || noticeAt == Long.MAX_VALUE)) {
            broken("lost: the connection of " + txn + " ended after " + (now - request.door) / 1_000 + " ms");
        }
        tries.remove(txn);
    }

    /** What is held and runs needs memory. */
    void memory(double runningKb, long now) {
        double held = 0;
        for (Try request : tries.values()) {
            held += request.answer == null && !request.gone && !request.ran && now > request.door + 100_000
                    ? request.ram
                    : 0;
        }
        if (held + runningKb > deployment.memoryKb) {
            broken("fall-over: " + held + " and " + runningKb + " of " + deployment.memoryKb + " KB");
        }
    }

    /**
     * The server has left: all that was read has its answer, and most of what a calm server was asked was
     * served. What crossed its close is sent again, on a connection that is refused.
     */
    void end(long leftAt) {
        tries.values().stream()
                .filter(request -> request.answer == null && !request.gone)
                .filter(request -> request.ran || request.door < leftAt - CROSSED)
                .forEach(request ->
                        broken("lost: " + request.txn + " has no answer, came " + (leftAt - request.door) / 1_000
                                + " ms before the server left, " + (request.ran ? "ran" : "never ran")));
        if (lightServed < light * (deployment.cold ? 0.2 : 0.6)) {
            broken("not served: " + lightServed + " of " + light + " under a light load: "
                    + tries.values().stream()
                            .filter(request -> request.light)
                            .map(request -> request.answer)
                            .toList());
        }
    }
}
