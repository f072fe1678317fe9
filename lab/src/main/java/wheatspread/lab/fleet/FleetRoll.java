package wheatspread.lab.fleet;

import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.json.JSONObject;
import wheatspread.lab.world.InvariantChecker;

/**
 * Runs a fleet under load from its start through one action, such as a rollout, to its shutdown, and checks the
 * invariants.
 */
public final class FleetRoll {
    /** What is done to the fleet while it serves. */
    public enum Action {
        NOTHING,
        ROLL,
        ROLL_AND_KILL,
        BUILD_THAT_FAILS_ITS_START,
        BUILD_THAT_FAILS_LATER,
        SUPERVISOR_KILLED
    }

    private static final long READY_TIMEOUT_MS = 90_000;
    /** Time until all proxies see the announced servers, which the simulated announce service delays. */
    private static final long ANNOUNCE_DELAY_MS = 2_300;

    private static final long SHUTDOWN_TIMEOUT_MS = 15_000;
    /** Time after which every request has reached its deadline. */
    private static final long PENDING_TIMEOUT_MS = 15_000;

    private static final Map<Action, String> SCRIPTS = Map.of(
            Action.BUILD_THAT_FAILS_ITS_START,
            "echo a build that fails its start; exit 78",
            Action.BUILD_THAT_FAILS_LATER,
            "exec timeout -s KILL 5 {serve} \"$@\"");

    private final Path jar;
    private final List<String> flags;
    private final int size;
    private final double rate;
    private final JSONObject rolling;

    /**
     * @param rate requests per second for all servers together
     * @param rolling the {@code roll} object of the fleet file
     */
    public FleetRoll(Path jar, List<String> flags, int size, double rate, JSONObject rolling) {
        this.jar = jar;
        this.flags = flags;
        this.size = size;
        this.rate = rate;
        this.rolling = rolling;
    }

    /** Figures of one run; {@code servedValueBySecond} is NaN for seconds without requests. */
    public record Outcome(JSONObject figures, double[] servedValueBySecond, List<String> violations) {}

    /**
     * Performs one run: applies the load for {@code millis} in total, and the action after {@code beforeMillis}.
     * {@code share} is the share of the fleet that a rollout updates.
     */
    public Outcome run(Action action, double share, long beforeMillis, long millis)
            throws IOException, InterruptedException {
        Map<String, String> builds = new LinkedHashMap<>(Map.of("v1", ""));
        builds.put("v2", SCRIPTS.getOrDefault(action, ""));
        try (FleetProcess fleet = new FleetProcess(jar, flags, size, builds, rolling)) {
            fleet.startSupervisor();
            fleet.await("all members up", READY_TIMEOUT_MS, status -> FleetProcess.count(status, "UP", null) == size);
            TimeUnit.MILLISECONDS.sleep(ANNOUNCE_DELAY_MS);
            if (action == Action.BUILD_THAT_FAILS_LATER) {
                fleet.world().expectSecondProcessesToExit();
            }
            long beganNanos = System.nanoTime();
            fleet.world().setRequestRate(rate);
            TimeUnit.MILLISECONDS.sleep(beforeMillis);
            JSONObject figures = new JSONObject();
            if (action != Action.NOTHING) {
                roll(fleet, action, share, figures);
            }
            long remainingMillis = millis - (System.nanoTime() - beganNanos) / 1_000_000;
            TimeUnit.MILLISECONDS.sleep(Math.max(0, remainingMillis));
            fleet.world().setRequestRate(0);
            if (action != Action.NOTHING) {
                fleet.await(
                        "all members up again",
                        READY_TIMEOUT_MS,
                        status -> FleetProcess.count(status, "UP", null) == size);
                figures.put("on_v2", FleetProcess.count(fleet.status(), "UP", "v2"));
            }
            long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PENDING_TIMEOUT_MS);
            while (fleet.world().countPendingAttempts() > 0 && System.nanoTime() < deadlineNanos) {
                TimeUnit.MILLISECONDS.sleep(50);
            }
            figures.put("went_down", fleet.shutDown(SHUTDOWN_TIMEOUT_MS));
            InvariantChecker checker = fleet.world().checker();
            checker.figures().toMap().forEach(figures::put);
            return new Outcome(
                    figures.put("broken_promises", checker.countViolations()),
                    checker.servedValueBySecond(),
                    checker.violations());
        }
    }

    private void roll(FleetProcess fleet, Action action, double share, JSONObject figures)
            throws IOException, InterruptedException {
        List<String> arguments = List.of("--to", "v2", "--share", Double.toString(share));
        if (action == Action.ROLL_AND_KILL || action == Action.SUPERVISOR_KILLED) {
            List<String> argumentsWithoutWait = new java.util.ArrayList<>(arguments);
            argumentsWithoutWait.add("--no-wait");
            FleetProcess.CommandResult started = fleet.runCommand("roll", argumentsWithoutWait.toArray(String[]::new));
            if (started.exitCode() != 0) {
                throw new IOException("fleet roll exited with code " + started.exitCode() + ": " + started.output());
            }
            if (action == Action.ROLL_AND_KILL) {
                TimeUnit.SECONDS.sleep(4);
                for (int i = 0; i < Math.max(1, size / 5); i++) {
                    fleet.kill("n" + (size - i));
                }
                figures.put(
                        "paused",
                        fleet.await(
                                        "paused rollout",
                                        5_000,
                                        status -> status.getJSONObject("roll").getBoolean("paused"))
                                .getJSONObject("roll")
                                .getBoolean("paused"));
            } else {
                for (int i = 0; i < 4; i++) {
                    TimeUnit.MILLISECONDS.sleep(1_300);
                    fleet.killSupervisor();
                    TimeUnit.MILLISECONDS.sleep(300);
                    fleet.startSupervisor();
                }
            }
            JSONObject roll = fleet.await(
                            "end of the rollout",
                            READY_TIMEOUT_MS,
                            status -> List.of("DONE", "STOPPED", "ROLLED_BACK")
                                    .contains(status.getJSONObject("roll").getString("status")))
                    .getJSONObject("roll");
            figures.put("roll", roll);
            return;
        }
        long beganNanos = System.nanoTime();
        FleetProcess.CommandResult result = fleet.runCommand("roll", arguments.toArray(String[]::new));
        figures.put("command_took_ms", (System.nanoTime() - beganNanos) / 1_000_000)
                .put("exit_code", result.exitCode())
                .put("said", result.output().strip())
                .put("roll", fleet.status().getJSONObject("roll"));
    }
}
