package wheatspread.lab.deployments;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.json.JSONObject;
import wheatspread.admission.Idempotency;
import wheatspread.lab.deployments.RuleChecker.Attempt;

/** Simulates the kernel and the records service of a run; a command that the deployment forbids is a violation. */
final class SimulatedKernel {
    /** Schedules tasks on the clock of the run. */
    interface TaskScheduler {
        void schedule(long delayMicros, Runnable task);
    }

    /** Receives the lines that the simulator sends. */
    interface LineSink {
        void send(String text);
    }

    /** Time that the records service takes to answer a call. */
    private static final long CALL_MICROS = 40_000;
    /** Replies of the records service other than DONE; {@code nothing} stands for no reply. */
    private static final List<String> FAILURE_REPLIES = List.of("WAIT", "ERROR", "nothing");

    private static final class Run {
        Attempt attempt;
        /** Processor time until the next call or the end of the run. */
        long remainingMicros;

        long startMicros;
        /** Counts the periods on a core, to ignore outdated timers. */
        int period;

        boolean onCore;
        boolean suspended;
        /** Whether the run has still to make its dependency call. */
        boolean callPending;

        boolean awaitsReply;
    }

    private final Deployment deployment;
    private final RuleChecker checker;
    private final long callsSucceedUntilMicros;
    private final TaskScheduler scheduler;
    private final LineSink link;
    private final Map<String, Run> runs = new LinkedHashMap<>();
    private final Map<String, String> lastReply = new HashMap<>();
    private long nowMicros;
    private long notifications;
    /** Moving average of the number of runs on cores. */
    private double averageOnCores;

    private long averagedMicros;

    /** Until {@code callsSucceedUntilMicros} all dependency calls succeed. */
    SimulatedKernel(
            Deployment deployment,
            RuleChecker checker,
            long callsSucceedUntilMicros,
            TaskScheduler scheduler,
            LineSink link) {
        this.callsSucceedUntilMicros = callsSucceedUntilMicros;
        this.deployment = deployment;
        this.checker = checker;
        this.scheduler = scheduler;
        this.link = link;
    }

    private int runsOnCores() {
        return (int) runs.values().stream().filter(run -> run.onCore).count();
    }

    /** Lower bound of the speed at the current time, as a share of the full speed. */
    double minSpeed(long startMicros) {
        double warmUpProgress = deployment.startsCold
                        && deployment.coldMillis > 0
                        && nowMicros < startMicros + deployment.coldMillis * 1_000
                ? (double) (nowMicros - startMicros) / (deployment.coldMillis * 1_000)
                : 1;
        return deployment.coldSpeed + (1 - deployment.coldSpeed) * warmUpProgress;
    }

    /**
     * Advances the clock and checks the load on the cores and the memory. The number of runs on cores is averaged over
     * 2 s, as the overload rule prescribes.
     */
    void advanceTo(long timeMicros, long startMicros) {
        double weight = Math.exp(-(timeMicros - averagedMicros) / 2_000_000.0);
        averageOnCores = averageOnCores * weight + runsOnCores() * (1 - weight);
        averagedMicros = timeMicros;
        nowMicros = timeMicros;
        if (averageOnCores > deployment.cores * (1 + (deployment.overloadMultiple - 1) * minSpeed(startMicros)) + 0.5) {
            checker.addViolation("fall-over: " + averageOnCores + " runs on average on " + deployment.cores + " cores");
        }
        checker.checkMemory(
                runs.values().stream()
                        .mapToDouble(run -> run.attempt.memoryKb * deployment.runFactor)
                        .sum(),
                nowMicros);
    }

    void execute(JSONObject command) {
        String job = command.optString("job");
        Run run = runs.get(job);
        switch (command.getString("type")) {
            case "OPEN" ->
                send(new JSONObject()
                        .put("type", "BOOTED")
                        .put("state", deployment.startsCold ? "COLD" : "WARM")
                        .put("took", deployment.startsCold ? 1 : 60_000));
            case "SYSINFO" -> sendGauges(command.getString("ref"));
            case "SCHED" -> {
                if (run == null && checker.startRun(job, command.getString("kind"), command.getString("data"))) {
                    start(job);
                }
            }
            case "PREEMPT" -> preempt(job, run);
            case "RESCHED" -> {
                if (!"suspend".equals(deployment.preemption)) {
                    checker.addViolation("not allowed: RESCHED with preemption " + deployment.preemption);
                } else if (run != null && run.suspended) {
                    run.suspended = false;
                    putOnCore(job, run);
                }
            }
            case "IODONE", "NOIO" -> receiveReply(job, run, command);
            default -> checker.addViolation("unknown command: " + command);
        }
    }

    private void sendGauges(String ref) {
        List<Object> row = deployment.gauges.stream()
                .map(name -> switch (name) {
                    case "core_use" -> (Object) Math.min(1, (double) runsOnCores() / deployment.cores);
                    case "on_cores" -> runsOnCores();
                    case "links" -> 4;
                    default -> 0.1;
                })
                .toList();
        send(new JSONObject().put("type", "INFO").put("ref", ref).put("gauges", row));
    }

    private void start(String job) {
        Run run = new Run();
        run.attempt = checker.find(job);
        run.callPending = run.attempt.requestClass.callsDependency();
        run.remainingMicros = 20_000 + Math.floorMod(job.hashCode(), 40) * 1_000L;
        runs.put(job, run);
        putOnCore(job, run);
    }

    private void putOnCore(String job, Run run) {
        run.onCore = true;
        run.startMicros = nowMicros;
        int period = ++run.period;
        double slowdown = Math.max(1, (double) runsOnCores() / deployment.cores)
                / (deployment.startsCold ? deployment.coldSpeed : 1);
        scheduler.schedule((long) (run.remainingMicros * slowdown), () -> {
            if (runs.get(job) == run && run.period == period && run.onCore) {
                run.onCore = false;
                if (run.callPending && (run.attempt.cancelled || run.attempt.answer != null)) {
                    end(job, "STOPPED", null); // A run whose request has ended stops when it would make its call.
                } else if (run.callPending) {
                    run.callPending = false;
                    run.awaitsReply = true;
                    run.remainingMicros = 5_000;
                    sendNotification("IOREQ", job, new JSONObject().put("data", encode("call of " + job)));
                } else {
                    String result = "result of " + job + " in run " + period;
                    checker.runCompleted(run.attempt, result);
                    end(job, "OK", result);
                }
            }
        });
    }

    private void preempt(String job, Run run) {
        if (deployment.preemption == null || deployment.preemption.equals("silent")) {
            checker.addViolation("not allowed: PREEMPT");
        } else if (run != null && run.onCore) {
            run.onCore = false;
            run.period++;
            boolean answerPending = run.attempt.answer == null && !run.attempt.cancelled;
            if (answerPending && deployment.preemption.equals("suspend")) {
                run.suspended = true;
                run.remainingMicros = Math.max(1_000, run.remainingMicros - (nowMicros - run.startMicros));
            } else {
                runs.remove(job);
            }
            sendNotification(
                    "REAP", job, new JSONObject().put("state", "STOPPED").put("took", 1));
        }
    }

    private void receiveReply(String job, Run run, JSONObject command) {
        if (command.getString("type").equals("NOIO")) {
            if (run != null && run.attempt.requestClass.skipValue() == 0) {
                checker.addViolation("not allowed: NOIO for " + run.attempt.requestClass.name());
            }
        } else if (!command.getString("data").equals(encode("reply to " + job))) {
            checker.addViolation("changed: the server altered the reply to the call of " + job);
        }
        if (run != null && run.awaitsReply) {
            run.awaitsReply = false;
            putOnCore(job, run);
        }
    }

    /** Handles a call to the records service: 17 of 20 succeed, the others get WAIT, ERROR or no reply. */
    void dependencyCalled(String job, LineSink reply) {
        Run run = runs.get(job);
        String previousReply = lastReply.get(job);
        if (run != null
                && run.attempt.requestClass.idempotency() != Idempotency.IDEMPOTENT
                && previousReply != null
                && !previousReply.equals("WAIT")) {
            checker.addViolation("duplicate: a second call of " + job + " after " + previousReply);
        }
        int choice =
                nowMicros < callsSucceedUntilMicros ? FAILURE_REPLIES.size() : Math.floorMod(job.hashCode() >> 8, 20);
        String status = choice < FAILURE_REPLIES.size() ? FAILURE_REPLIES.get(choice) : "DONE";
        lastReply.put(job, status);
        String body = "reply to " + job;
        if (!status.equals("nothing")) {
            scheduler.schedule(
                    CALL_MICROS,
                    () -> reply.send(
                            status.equals("DONE")
                                    ? job + " DONE " + body.length() + "\r\n" + body + "\r\n"
                                    : job + " " + status + "\r\n"));
        }
    }

    /** The request has ended: stops its run if that is suspended or awaits the reply to a call. */
    void requestEnded(String job) {
        Run run = runs.get(job);
        if (run != null && (run.awaitsReply || run.suspended)) {
            end(job, "STOPPED", null);
        }
    }

    private void end(String job, String state, String result) {
        runs.remove(job);
        JSONObject fields = new JSONObject().put("state", state).put("took", 5);
        sendNotification("REAP", job, result == null ? fields : fields.put("data", encode(result)));
    }

    private void sendNotification(String type, String job, JSONObject fields) {
        send(fields.put("type", type).put("n", ++notifications).put("job", job));
    }

    private void send(JSONObject message) {
        link.send(message + "\n");
    }

    static String encode(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }
}
