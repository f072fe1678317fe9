package wheatspread.lab.deployments;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.json.JSONObject;
import wheatspread.admission.Idempotency;
import wheatspread.lab.deployments.RuleChecker.Try;

/** The kernel and the records service of a run, on its time; what the site does not allow is a fault. */
final class SimulatedKernel {
    /** Times are microseconds; what is to happen later is handed over. */
    interface Later {
        void after(long micros, Runnable what);
    }

    /** Who hears lines. */
    interface Out {
        void line(String text);
    }

    private static final long CALL = 40_000;
    private static final List<String> WORDS = List.of("WAIT", "ERROR", "nothing");

    private static final class Run {
        Try of;
        long left;
        long began;
        int turn;
        boolean onCores;
        boolean paused;
        boolean calls;
        boolean waits;
    }

    private final Deployment deployment;
    private final RuleChecker judge;
    private final long wellUntil;
    private final Later later;
    private final Out out;
    private final Map<String, Run> runs = new LinkedHashMap<>();
    private final Map<String, String> lastCall = new HashMap<>();
    private long now;
    private long notices;
    private double crowd;
    private long crowdAt;

    /** {@code wellUntil}: calls go well up to this time. */
    SimulatedKernel(Deployment deployment, RuleChecker judge, long wellUntil, Later later, Out out) {
        this.wellUntil = wellUntil;
        this.deployment = deployment;
        this.judge = judge;
        this.later = later;
        this.out = out;
    }

    private int onCores() {
        return (int) runs.values().stream().filter(run -> run.onCores).count();
    }

    /** The speed a cold process has at least, of 1. */
    double speed(long start) {
        double warmed = deployment.cold && deployment.coldFor > 0 && now < start + deployment.coldFor * 1_000
                ? (double) (now - start) / (deployment.coldFor * 1_000)
                : 1;
        return deployment.coldFrom + (1 - deployment.coldFrom) * warmed;
    }

    /** Moves the time on: the crowd on the cores is averaged over the 2 s of the rule. */
    void at(long time, long start) {
        double weight = Math.exp(-(time - crowdAt) / 2_000_000.0);
        crowd = crowd * weight + onCores() * (1 - weight);
        crowdAt = time;
        now = time;
        if (crowd > deployment.cores * (1 + (deployment.tip - 1) * speed(start)) + 0.5) {
            judge.broken("fall-over: " + crowd + " on " + deployment.cores + " cores");
        }
        judge.memory(
                runs.values().stream()
                        .mapToDouble(run -> run.of.ram * deployment.runFactor)
                        .sum(),
                now);
    }

    void command(JSONObject command) {
        String job = command.optString("job");
        Run run = runs.get(job);
        switch (command.getString("type")) {
            case "OPEN" ->
                send(new JSONObject()
                        .put("type", "BOOTED")
                        .put("state", deployment.cold ? "COLD" : "WARM")
                        .put("took", deployment.cold ? 1 : 60_000));
            case "SYSINFO" -> info(command.getString("ref"));
            case "SCHED" -> {
                if (run == null && judge.begins(job, command.getString("kind"), command.getString("data"))) {
                    start(job);
                }
            }
            case "PREEMPT" -> preempt(job, run);
            case "RESCHED" -> {
                if (!"suspend".equals(deployment.halt)) {
                    judge.broken("not allowed: RESCHED with halt " + deployment.halt);
                } else if (run != null && run.paused) {
                    run.paused = false;
                    work(job, run);
                }
            }
            case "IODONE", "NOIO" -> goOn(job, run, command);
            default -> judge.broken("no command: " + command);
        }
    }

    private void info(String ref) {
        List<Object> row = deployment.gauges.stream()
                .map(name -> switch (name) {
                    case "core_use" -> (Object) Math.min(1, (double) onCores() / deployment.cores);
                    case "on_cores" -> onCores();
                    case "links" -> 4;
                    default -> 0.1;
                })
                .toList();
        send(new JSONObject().put("type", "INFO").put("ref", ref).put("gauges", row));
    }

    private void start(String job) {
        Run run = new Run();
        run.of = judge.find(job);
        run.calls = run.of.kind.calls();
        run.left = 20_000 + Math.floorMod(job.hashCode(), 40) * 1_000L;
        runs.put(job, run);
        work(job, run);
    }

    private void work(String job, Run run) {
        run.onCores = true;
        run.began = now;
        int turn = ++run.turn;
        double slower =
                Math.max(1, (double) onCores() / deployment.cores) / (deployment.cold ? deployment.coldFrom : 1);
        later.after((long) (run.left * slower), () -> {
            if (runs.get(job) == run && run.turn == turn && run.onCores) {
                run.onCores = false;
                if (run.calls && (run.of.gone || run.of.answer != null)) {
                    end(job, "STOPPED", null); // a run whose request is over ends at its call
                } else if (run.calls) {
                    run.calls = false;
                    run.waits = true;
                    run.left = 5_000;
                    notice("IOREQ", job, new JSONObject().put("data", encode("call of " + job)));
                } else {
                    String result = "result of " + job + " in run " + turn;
                    judge.made(run.of, result);
                    end(job, "OK", result);
                }
            }
        });
    }

    private void preempt(String job, Run run) {
        if (deployment.halt == null || deployment.halt.equals("silent")) {
            judge.broken("not allowed: PREEMPT");
        } else if (run != null && run.onCores) {
            run.onCores = false;
            run.turn++;
            boolean owed = run.of.answer == null && !run.of.gone;
            if (owed && deployment.halt.equals("suspend")) {
                run.paused = true;
                run.left = Math.max(1_000, run.left - (now - run.began));
            } else {
                runs.remove(job);
            }
            notice("REAP", job, new JSONObject().put("state", "STOPPED").put("took", 1));
        }
    }

    private void goOn(String job, Run run, JSONObject command) {
        if (command.getString("type").equals("NOIO")) {
            if (run != null && run.of.kind.skipWorth() == 0) {
                judge.broken("not allowed: NOIO for " + run.of.kind.name());
            }
        } else if (!command.getString("data").equals(encode("reply to " + job))) {
            judge.broken("changed: the reply for " + job);
        }
        if (run != null && run.waits) {
            run.waits = false;
            work(job, run);
        }
    }

    /** A call reaches the records service: most go well, some are turned away, some fail, some hang. */
    void called(String job, Out reply) {
        Run run = runs.get(job);
        String before = lastCall.get(job);
        if (run != null && run.of.kind.effect() != Idempotency.IDEMPOTENT && before != null && !before.equals("WAIT")) {
            judge.broken("duplicate: a second call of " + job + " after " + before);
        }
        int how = now < wellUntil ? WORDS.size() : Math.floorMod(job.hashCode() >> 8, 20);
        String word = how < WORDS.size() ? WORDS.get(how) : "DONE";
        lastCall.put(job, word);
        String body = "reply to " + job;
        if (!word.equals("nothing")) {
            later.after(
                    CALL,
                    () -> reply.line(
                            word.equals("DONE")
                                    ? job + " DONE " + body.length() + "\r\n" + body + "\r\n"
                                    : job + " " + word + "\r\n"));
        }
    }

    /** Nobody waits for this try: a paused run ends, one that waits for a call too. */
    void gone(String job) {
        Run run = runs.get(job);
        if (run != null && (run.waits || run.paused)) {
            end(job, "STOPPED", null);
        }
    }

    private void end(String job, String state, String result) {
        runs.remove(job);
        JSONObject fields = new JSONObject().put("state", state).put("took", 5);
        notice("REAP", job, result == null ? fields : fields.put("data", encode(result)));
    }

    private void notice(String type, String job, JSONObject fields) {
        send(fields.put("type", type).put("n", ++notices).put("job", job));
    }

    private void send(JSONObject message) {
        out.line(message + "\n");
    }

    static String encode(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }
}
