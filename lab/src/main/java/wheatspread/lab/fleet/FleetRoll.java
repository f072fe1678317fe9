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
 * One run of a fleet under load: from nothing, through what is done to it, to its end, with the ledger's
 * word.
 */
public final class FleetRoll {
    /** What is done to a fleet while it serves. */
    public enum Action {
        NOTHING,
        ROLL,
        ROLL_AND_KILL,
        BUILD_THAT_FAILS_ITS_START,
        BUILD_THAT_FAILS_LATER,
        SUPERVISOR_KILLED
    }

    private static final long UP_MS = 90_000;
    /** Proxies see the list of servers late. */
    private static final long SEEN_MS = 2_300;

    private static final long DOWN_MS = 15_000;
    /** After this long every request is over. */
    private static final long LAST_ANSWERS_MS = 15_000;

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
     * @param rate requests a second for all together
     * @param rolling the object {@code roll} of the fleet's file
     */
    public FleetRoll(Path jar, List<String> flags, int size, double rate, JSONObject rolling) {
        this.jar = jar;
        this.flags = flags;
        this.size = size;
        this.rate = rate;
        this.rolling = rolling;
    }

    /** What came of one run. */
    public record Outcome(JSONObject figures, double[] servedValueBySecond, List<String> violations) {}

    /** Serves for so long before and, all in all, so long; {@code share} of the fleet is rolled. */
    public Outcome run(Action deed, double share, long beforeMillis, long millis)
            throws IOException, InterruptedException {
        Map<String, String> builds = new LinkedHashMap<>(Map.of("v1", ""));
        builds.put("v2", SCRIPTS.getOrDefault(deed, ""));
        try (FleetProcess fleet = new FleetProcess(jar, flags, size, builds, rolling)) {
            fleet.supervise();
            fleet.await("a fleet that is up", UP_MS, status -> FleetProcess.count(status, "UP", null) == size);
            TimeUnit.MILLISECONDS.sleep(SEEN_MS);
            if (deed == Action.BUILD_THAT_FAILS_LATER) {
                fleet.world().expectSecondProcessesToExit();
            }
            long began = System.nanoTime();
            fleet.world().setRequestRate(rate);
            TimeUnit.MILLISECONDS.sleep(beforeMillis);
            JSONObject figures = new JSONObject();
            if (deed != Action.NOTHING) {
                roll(fleet, deed, share, figures);
            }
            long left = millis - (System.nanoTime() - began) / 1_000_000;
            TimeUnit.MILLISECONDS.sleep(Math.max(0, left));
            fleet.world().setRequestRate(0);
            if (deed != Action.NOTHING) {
                fleet.await(
                        "a fleet that is up again", UP_MS, status -> FleetProcess.count(status, "UP", null) == size);
                figures.put("on_v2", FleetProcess.count(fleet.status(), "UP", "v2"));
            }
            long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LAST_ANSWERS_MS);
            while (fleet.world().countPendingAttempts() > 0 && System.nanoTime() < until) {
                TimeUnit.MILLISECONDS.sleep(50);
            }
            figures.put("went_down", fleet.down(DOWN_MS));
            InvariantChecker checker = fleet.world().checker();
            checker.figures().toMap().forEach(figures::put);
            return new Outcome(
                    figures.put("broken_promises", checker.countViolations()),
                    checker.servedValueBySecond(),
                    checker.violations());
        }
    }

    private void roll(FleetProcess fleet, Action deed, double share, JSONObject figures)
            throws IOException, InterruptedException {
        List<String> words = List.of("--to", "v2", "--share", Double.toString(share));
        if (deed == Action.ROLL_AND_KILL || deed == Action.SUPERVISOR_KILLED) {
            List<String> unwaited = new java.util.ArrayList<>(words);
            unwaited.add("--no-wait");
            FleetProcess.Ended given = fleet.fleet("roll", unwaited.toArray(String[]::new));
            if (given.code() != 0) {
                throw new IOException(given.text());
            }
            if (deed == Action.ROLL_AND_KILL) {
                TimeUnit.SECONDS.sleep(4);
                for (int i = 0; i < Math.max(1, size / 5); i++) {
                    fleet.kill("n" + (size - i));
                }
                figures.put(
                        "paused",
                        fleet.await(
                                        "a pause",
                                        5_000,
                                        status -> status.getJSONObject("roll").getBoolean("paused"))
                                .getJSONObject("roll")
                                .getBoolean("paused"));
            } else {
                for (int i = 0; i < 4; i++) {
                    TimeUnit.MILLISECONDS.sleep(1_300);
                    fleet.killSupervisor();
                    TimeUnit.MILLISECONDS.sleep(300);
                    fleet.supervise();
                }
            }
            JSONObject roll = fleet.await(
                            "the end of the roll",
                            UP_MS,
                            status -> List.of("DONE", "STOPPED", "ROLLED_BACK")
                                    .contains(status.getJSONObject("roll").getString("status")))
                    .getJSONObject("roll");
            figures.put("roll", roll);
            return;
        }
        long began = System.nanoTime();
        FleetProcess.Ended ended = fleet.fleet("roll", words.toArray(String[]::new));
        figures.put("command_took_ms", (System.nanoTime() - began) / 1_000_000)
                .put("exit_code", ended.code())
                .put("said", ended.text().strip())
                .put("roll", fleet.status().getJSONObject("roll"));
    }
}
