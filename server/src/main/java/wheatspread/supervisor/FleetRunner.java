package wheatspread.supervisor;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.json.JSONException;
import org.json.JSONObject;
import wheatspread.config.FleetConfig;
import wheatspread.config.JsonFields;
import wheatspread.daemon.EventLoopClock;
import wheatspread.fleet.FleetController;
import wheatspread.logging.EventLog;

/**
 * The process of a supervisor: turns on one thread, which may wait for the disk, with commands from the
 * {@link CommandSpool} and the status in the {@link StatusFile}. The instances outlive it; the next supervisor adopts
 * them.
 *
 * <p>{@link #run} makes all calls on the thread that calls it; {@link #requestShutDown} and {@link #requestReload}
 * are for the threads
 * of signals and only set a flag, which the next turn reads.
 */
public final class FleetRunner {
    private static final long TURN_INTERVAL_MILLIS = 50;
    private static final long STATUS_INTERVAL_MICROS = 500_000;
    private static final long MICROS_PER_MILLI = 1_000;

    private final EventLog log;
    private final AtomicBoolean shutDownRequested = new AtomicBoolean();
    private final AtomicBoolean reloadRequested = new AtomicBoolean();
    /** Whether this supervisor is to end and leave the instances running. */
    private boolean detachRequested;

    private FleetConfig config;
    private FleetController fleet;
    private Supervisor supervisor;
    private LocalHost host;

    /** Another supervisor runs for this fleet. */
    public static final class SupervisorRunningException extends Exception {
        private static final long serialVersionUID = 1L;

        SupervisorRunningException(String message) {
            super(message);
        }
    }

    /** {@code config} is that of the start; {@link #requestReload} reads its file again. */
    public FleetRunner(FleetConfig config, EventLog log) {
        this.config = config;
        this.log = log;
    }

    /** SIGTERM or SIGINT: shuts the fleet down. Any thread may call. */
    public void requestShutDown() {
        shutDownRequested.set(true);
    }

    /** SIGHUP: reads the fleet's file again. Any thread may call. */
    public void requestReload() {
        reloadRequested.set(true);
    }

    /** Runs until the fleet is shut down, or an operator detaches the supervisor and leaves the instances running. */
    public void run() throws IOException, InterruptedException, SupervisorRunningException {
        Files.createDirectories(config.directory());
        try (FileChannel lock = FileChannel.open(
                config.directory().resolve("supervisor.lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
            if (lock.tryLock() == null) {
                throw new SupervisorRunningException("a supervisor runs already for " + config.directory());
            }
            host = new LocalHost(config);
            startSupervisor();
            try {
                runTurns();
            } finally {
                host.close();
            }
        }
    }

    private void startSupervisor() throws IOException {
        fleet = new FleetController(config.plan(), System.nanoTime(), log);
        supervisor = new Supervisor(fleet, host, config.checkIntervalMicros(), log);
        supervisor.recover(EventLoopClock.unixMicros());
        log.info(
                "supervisor_started",
                "dir",
                config.directory(),
                "members",
                config.members().size());
    }

    private void runTurns() throws IOException, InterruptedException {
        StatusFile statusFile = new StatusFile(config.directory());
        CommandSpool commands = new CommandSpool(config.directory());
        long nextStatusMicros = 0;
        boolean shutDown = false;
        while (!shutDown && !detachRequested) {
            long nowMicros = EventLoopClock.unixMicros();
            applySignals(nowMicros);
            CommandSpool.Command command = commands.next();
            JSONObject answer = command == null ? null : execute(command.arguments(), nowMicros);
            shutDown = supervisor.runTurn(nowMicros); // saves the state, before the command counts as carried out
            if (command != null) {
                commands.answer(command, answer);
            }
            if (command != null || shutDown || nowMicros >= nextStatusMicros) {
                statusFile.write(StatusFile.toJson(fleet, nowMicros));
                nextStatusMicros = nowMicros + STATUS_INTERVAL_MICROS;
            }
            TimeUnit.MILLISECONDS.sleep(TURN_INTERVAL_MILLIS);
        }
        log.info("supervisor_ended", "down", shutDown);
    }

    private void applySignals(long nowMicros) throws IOException {
        if (shutDownRequested.getAndSet(false)) {
            fleet.shutDown(nowMicros);
        }
        if (reloadRequested.getAndSet(false)) {
            reloadConfig();
        }
    }

    /** Carries a command out, and returns its answer. */
    private JSONObject execute(JSONObject arguments, long nowMicros) {
        try {
            switch (arguments.optString("do")) {
                case "roll" -> startRollout(arguments, nowMicros);
                case "stop-roll" -> fleet.stopRollout(nowMicros);
                case "drain" -> fleet.drain(arguments.getString("name"), nowMicros);
                case "start" -> fleet.enable(arguments.getString("name"), nowMicros);
                case "down" -> fleet.shutDown(nowMicros);
                case "detach" -> detachRequested = true;
                default -> throw new IllegalArgumentException("is an unknown command");
            }
            return new JSONObject().put("ok", true).put("at", nowMicros / MICROS_PER_MILLI);
        } catch (IllegalArgumentException | JSONException e) {
            return new JSONObject().put("error", e.getMessage());
        }
    }

    private void startRollout(JSONObject arguments, long nowMicros) {
        String toBuild = arguments.getString("to");
        if (!config.builds().containsKey(toBuild)) {
            throw new IllegalArgumentException("there is no build " + toBuild + "; known are "
                    + config.builds().keySet());
        }
        List<String> names = arguments.getJSONArray("names").toList().stream()
                .map(String::valueOf)
                .toList();
        fleet.startRollout(toBuild, names, arguments.getInt("count"), nowMicros);
    }

    /** A file that is not valid changes nothing. */
    private void reloadConfig() throws IOException {
        try {
            FleetConfig next = FleetConfig.readFile(config.file());
            if (!next.directory().equals(config.directory())) {
                throw new JsonFields.InvalidValueException("dir cannot change while the fleet runs");
            }
            config = next;
            host.reconfigure(next);
            startSupervisor();
        } catch (JsonFields.InvalidValueException e) {
            log.warn("reload_rejected", "reason", e.getMessage());
        }
    }
}
