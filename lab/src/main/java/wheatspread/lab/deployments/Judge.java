package wheatspread.lab.deployments;

import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.json.JSONObject;
import wheatspread.admission.Admission.Effect;
import wheatspread.lab.deployments.Deployment.Kind;

/** Books every try, run and answer, and names each rule that one of them breaks. Times in microseconds. */
final class Judge {
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
            return "body of " + (kind.effect() == Effect.IDEMPOTENT ? txn : key);
        }
    }

    private final Deployment site;
    final List<String> broken = new ArrayList<>();
    private final Map<String, Try> tries = new HashMap<>();
    private final Map<String, Long> ranAt = new HashMap<>();
    private final Map<String, List<String>> results = new HashMap<>();
    private long noticeAt = Long.MAX_VALUE;
    private int light;
    private int lightServed;

    Judge(Deployment site) {
        this.site = site;
    }

    void broken(String what) {
        broken.add(what);
    }

    void written(Try one) {
        tries.put(one.txn, one);
        light += one.light ? 1 : 0;
    }

    Try find(String txn) {
        return tries.get(txn);
    }

    void notice(long now) {
        noticeAt = now;
    }

    /** The kernel is told to run a try; false where it is none, or was begun already and may not run anew. */
    boolean begins(String txn, String kind, String data) {
        Try one = tries.get(txn);
        if (one == null
                || !one.kind.name().equals(kind)
                || !new String(Base64.getDecoder().decode(data)).equals(one.body())) {
            broken("changed: run of " + txn + " as " + kind);
            return false;
        }
        boolean safe = one.kind.effect() == Effect.IDEMPOTENT;
        if (one.ran && !(safe && "abort".equals(site.halt))) {
            broken("duplicate: a second run of " + txn);
        }
        if (one.kind.effect() == Effect.KEYED) {
            Long before = ranAt.get(one.key);
            if (before != null && !one.ran && one.door <= before + one.kind.window() * 1_000) {
                broken("duplicate: " + txn + " of key " + one.key + " runs within the window");
            }
            ranAt.put(one.key, one.door);
        }
        if (one.door - site.grace * 1_000 > noticeAt) {
            broken("drain: " + txn + " runs, " + (one.door - noticeAt) / 1_000 + " ms after the notice");
        }
        one.ran = true;
        return true;
    }

    /** A run made this result, for its try and for those that may share it. */
    void made(Try one, String result) {
        results.computeIfAbsent(one.key == null ? one.txn : one.key, key -> new ArrayList<>())
                .add(result);
    }

    void answered(String txn, JSONObject answer, long now) {
        Try one = tries.get(txn);
        JSONObject error = answer.optJSONObject("error");
        JSONObject fields = error == null ? answer.optJSONObject("result") : error.optJSONObject("data");
        if (one.answer != null) {
            broken("duplicate: two answers to " + txn);
        }
        one.answer = error == null ? "served" : Integer.toString(error.getInt("code"));
        if (!one.gone && now > one.due + SLACK) {
            broken("lost: " + txn + " answered " + (now - one.due) / 1_000 + " ms after it was due");
        }
        if (error == null) {
            String result = new String(
                    Base64.getDecoder().decode(answer.getJSONObject("result").getString("blob")));
            if (!results.getOrDefault(one.key == null ? one.txn : one.key, List.of())
                    .contains(result)) {
                broken("lost: " + txn + " served with what no run made");
            }
            lightServed += one.light ? 1 : 0;
        } else if (error.getInt("code") == REFUSED && one.ran) {
            broken("duplicate: " + txn + " ran and was refused");
        } else if (MALFORMED.contains(error.getInt("code"))) {
            broken("not taken: " + txn + ": " + error.getString("message"));
        }
        if (fields != null && fields.has("feedback") && (!site.advises() || fields.getDouble("feedback") < 0)) {
            broken("advice: a free value " + fields.get("feedback") + " where none is used");
        }
        if (fields != null && fields.optDouble("later", 0) > site.mostStayAway) {
            broken("advice: later " + fields.get("later") + " of " + site.mostStayAway);
        }
    }

    /**
     * The connection of a try ended without its answer. One that crossed the close is sent again, on a
     * connection that is refused since the server leaves.
     */
    void crossed(String txn, long now) {
        Try one = tries.get(txn);
        if (!one.gone && (one.ran || now - one.door > CROSSED || noticeAt == Long.MAX_VALUE)) {
            broken("lost: the connection of " + txn + " ended after " + (now - one.door) / 1_000 + " ms");
        }
        tries.remove(txn);
    }

    /** What is held and runs needs memory. */
    void memory(double runningKb, long now) {
        double held = 0;
        for (Try one : tries.values()) {
            held += one.answer == null && !one.gone && !one.ran && now > one.door + 100_000 ? one.ram : 0;
        }
        if (held + runningKb > site.memoryKb) {
            broken("fall-over: " + held + " and " + runningKb + " of " + site.memoryKb + " KB");
        }
    }

    /**
     * The server has left: all that was read has its answer, and most of what a calm server was asked was
     * served. What crossed its close is sent again, on a connection that is refused.
     */
    void end(long leftAt) {
        tries.values().stream()
                .filter(one -> one.answer == null && !one.gone)
                .filter(one -> one.ran || one.door < leftAt - CROSSED)
                .forEach(one -> broken("lost: " + one.txn + " has no answer, came " + (leftAt - one.door) / 1_000
                        + " ms before the server left, " + (one.ran ? "ran" : "never ran")));
        if (lightServed < light * (site.cold ? 0.2 : 0.6)) {
            broken("not served: " + lightServed + " of " + light + " under a light load: "
                    + tries.values().stream()
                            .filter(one -> one.light)
                            .map(one -> one.answer)
                            .toList());
        }
    }
}
