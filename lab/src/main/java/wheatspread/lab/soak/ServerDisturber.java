package wheatspread.lab.soak;

import java.io.IOException;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import wheatspread.lab.rig.Rig;
import wheatspread.lab.rig.RigServer;
import wheatspread.lab.standins.StandInEndpoint;

/** Carries out the disturbances of a soak and records processes that do not end as they should. */
final class ServerDisturber {
    /** The time from SIGTERM to SIGKILL, {@code stop_ms} of the configuration. */
    private static final long STOP_MS = 4_000;
    /** How long the old address of a service stays open after a move, by the protocol's page. */
    private static final long OLD_ADDRESS_CLOSE_MS = 1_500;

    private static final int MAX_RELOADS = 6;
    private static final int MAX_RELOAD_INTERVAL_MS = 60;
    private static final int MAX_PAUSE_MS = 700;
    private static final int MAX_OUTAGE_MS = 1_500;
    private static final int MAX_SIGNAL_DELAY_MS = 600;
    private static final long FIRST_EVENT_TIMEOUT_MS = 20_000;
    private static final int KILLED_CODE = 137;

    private final Rig rig;
    private final List<String> violations;

    ServerDisturber(Rig rig, List<String> violations) {
        this.rig = rig;
        this.violations = violations;
    }

    /** Carries out one step; returns when the server serves again. */
    void apply(SoakPlan.Step step) throws IOException, InterruptedException {
        apply(step, rig.members().get(step.server()), new Random(step.seed()));
    }

    private void apply(SoakPlan.Step step, RigServer server, Random random) throws IOException, InterruptedException {
        switch (step.kind()) {
            case RELOAD_SERIES -> reloadInSeries(server, random);
            case SERVICES_MOVE -> moveServices(random);
            case PAUSE -> pause(server, 1 + random.nextInt(MAX_PAUSE_MS));
            case COLD_KERNEL -> rig.world().restartKernelCold(server.name());
            case RECORDS_GONE -> interrupt(rig.world().recordsEndpoint(), random.nextInt(MAX_OUTAGE_MS));
            case ANNOUNCE_GONE -> interrupt(rig.world().announceEndpoint(), random.nextInt(MAX_OUTAGE_MS));
            case KILL -> {
                kill(server);
                server.start();
                server.awaitServing();
            }
            case DRAIN -> {
                drain(server, random);
                server.start();
                server.awaitServing();
            }
            case SIGNALS_DURING_START -> signalDuringStart(server, random);
            default -> throw new IllegalArgumentException("unknown disturbance " + step.kind());
        }
    }

    /** Refuses connections for a while; the service moves if another process has taken its port meanwhile. */
    private void interrupt(StandInEndpoint service, long millis) throws IOException, InterruptedException {
        service.refuse();
        TimeUnit.MILLISECONDS.sleep(millis);
        if (service.acceptAgain()) {
            return;
        }
        service.move(OLD_ADDRESS_CLOSE_MS);
        for (RigServer server : rig.members()) {
            rig.configure(server);
            server.signal("HUP");
        }
    }

    private static void reloadInSeries(RigServer server, Random random) throws IOException, InterruptedException {
        for (int i = 1 + random.nextInt(MAX_RELOADS); i > 0; i--) {
            server.signal("HUP");
            TimeUnit.MILLISECONDS.sleep(random.nextInt(MAX_RELOAD_INTERVAL_MS));
        }
    }

    private void moveServices(Random random) throws IOException, InterruptedException {
        if (random.nextBoolean()) {
            rig.world().recordsEndpoint().move(OLD_ADDRESS_CLOSE_MS);
        }
        if (random.nextBoolean()) {
            rig.world().announceEndpoint().move(OLD_ADDRESS_CLOSE_MS);
        }
        for (RigServer server : rig.members()) {
            rig.world().kernelEndpoint(server.name()).move(OLD_ADDRESS_CLOSE_MS);
            rig.configure(server);
            server.signal("HUP");
        }
    }

    private void pause(RigServer server, long millis) throws IOException, InterruptedException {
        long pausedAtMillis = System.currentTimeMillis();
        server.pause(millis);
        rig.world().recordPause(server.name(), pausedAtMillis, System.currentTimeMillis());
    }

    private void kill(RigServer server) throws InterruptedException {
        rig.world().recordKill(server.name());
        server.kill();
    }

    /** Sends SIGTERM, with SIGHUP around it and a second SIGTERM in some runs, and SIGKILL after the stop time. */
    private void drain(RigServer server, Random random) throws IOException, InterruptedException {
        if (random.nextBoolean()) {
            server.signal("HUP");
        }
        long beganNanos = System.nanoTime();
        server.signal("TERM");
        if (random.nextBoolean()) {
            server.signal("HUP");
        }
        if (random.nextBoolean()) {
            TimeUnit.MILLISECONDS.sleep(random.nextInt(MAX_SIGNAL_DELAY_MS));
            server.signal("TERM");
        }
        long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - beganNanos);
        int code = server.awaitExit(STOP_MS - elapsedMillis);
        if (code < 0) {
            server.kill(); // what the server had read by now must have been answered
        } else if (code != 0) {
            violations.add("exit_code: " + server.name() + " exited with " + code + ", log: " + server.logTail());
        }
    }

    /** Kills the server and sends its successor a SIGHUP or SIGTERM once it handles signals; starts it again if so. */
    private void signalDuringStart(RigServer server, Random random) throws IOException, InterruptedException {
        kill(server);
        server.start();
        if (server.log().await(line -> line.contains("to=REHEARSING"), FIRST_EVENT_TIMEOUT_MS) == null) {
            violations.add("start: " + server.name() + " logged nothing, log: " + server.logTail());
            return;
        }
        TimeUnit.MILLISECONDS.sleep(random.nextInt(MAX_SIGNAL_DELAY_MS));
        server.signal("HUP");
        if (random.nextBoolean()) {
            server.signal("TERM");
            int code = server.awaitExit(STOP_MS);
            if (code < 0) {
                server.kill();
            }
            if (code > 0 && code != KILLED_CODE) {
                violations.add("exit_code: " + server.name() + " exited with " + code + ", log: " + server.logTail());
            }
            server.start();
        }
        server.awaitServing();
    }
}
