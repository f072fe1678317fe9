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
 * Runs a supervisor: executes turns on one thread, which may block for the disk, reads commands from the
 * {@link CommandSpool}, and writes the status to the {@link StatusFile}. The instances continue to run after the
 * supervisor exits; the next supervisor adopts them.
 *
 * <p>{@link #run} does all work on its calling thread. {@link #requestShutDown} and {@link #requestReload} are called
 * by signal handler threads, and only set a flag that the next turn reads.
 */
public final class FleetRunner {
    private static final long TURN_INTERVAL_MILLIS = 50;
    private static final long STATUS_INTERVAL_MICROS = 500_000;
    private static final long MICROS_PER_MILLI = 1_000;

    private final EventLog log;
    private final AtomicBoolean shutDownRequested = new AtomicBoolean();
    private final AtomicBoolean reloadRequested = new AtomicBoolean();
    /** Whether this supervisor must exit and leave the instances running. */
    private boolean detachRequested;

    private FleetConfig config;
    private FleetController fleet;
    private Supervisor supervisor;
    private LocalHost host;

    /** Thrown when another supervisor is running for the same fleet. */
    public static final class SupervisorRunningException extends Exception {
        private static final long serialVersionUID = 1L;

        SupervisorRunningException(String message) {
            super(message);
        }
    }

    /** Creates a runner; {@link #requestReload} reads the file of {@code config} again. */
    public FleetRunner(FleetConfig config, EventLog log) {
        this.config = config;
        this.log = log;
    }

    /** Requests the shutdown of the fleet (SIGTERM, SIGINT). Thread-safe. */
    public void requestShutDown() {
        shutDownRequested.set(true);
    }

    /** Requests a reload of the fleet's file (SIGHUP). Thread-safe. */
    public void requestReload() {
        reloadRequested.set(true);
    }

    /** Runs until the fleet is shut down, or until an operator detaches the supervisor from the running instances. */
    public void run() throws IOException, InterruptedException, SupervisorRunningException {
        Files.createDirectories(config.directory());
        try (FileChannel lock = FileChannel.open(
                config.directory().resolve("supervisor.lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
            if (lock.tryLock() == null) {
                throw new SupervisorRunningException("another supervisor is already running for " + config.directory());
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
            shutDown = supervisor.runTurn(nowMicros); // saves the state before the command is answered
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

    /** Executes a command and returns its answer. */
    private JSONObject execute(JSONObject arguments, long nowMicros) {
        try {
            switch (arguments.optString("do")) {
                case "roll" -> startRollout(arguments, nowMicros);
                case "stop-roll" -> fleet.stopRollout(nowMicros);
                case "drain" -> fleet.drain(arguments.getString("name"), nowMicros);
                case "start" -> fleet.enable(arguments.getString("name"), nowMicros);
                case "down" -> fleet.shutDown(nowMicros);
                case "detach" -> detachRequested = true;
                default ->
                    throw new IllegalArgumentException("unknown command \"" + arguments.optString("do")
                            + "\"; expected roll, stop-roll, drain, start, down or detach");
            }
            return new JSONObject().put("ok", true).put("at", nowMicros / MICROS_PER_MILLI);
        } catch (IllegalArgumentException | JSONException e) {
            return new JSONObject().put("error", e.getMessage());
        }
    }

    private void startRollout(JSONObject arguments, long nowMicros) {
        String toBuild = arguments.getString("to");
        if (!config.builds().containsKey(toBuild)) {
            throw new IllegalArgumentException("unknown build " + toBuild + "; expected one of "
                    + config.builds().keySet());
        }
        List<String> names = arguments.getJSONArray("names").toList().stream()
                .map(String::valueOf)
                .toList();
        fleet.startRollout(toBuild, names, arguments.getInt("count"), nowMicros);
    }

    /** Reads the fleet's file again and applies it; an invalid file is logged and changes nothing. */
    private void reloadConfig() throws IOException {
        try {
            FleetConfig next = FleetConfig.readFile(config.file());
            if (!next.directory().equals(config.directory())) {
                throw new JsonFields.InvalidValueException("dir changed from " + config.directory() + " to "
                        + next.directory() + "; it cannot change while the fleet runs");
            }
            config = next;
            host.reconfigure(next);
            startSupervisor();
        } catch (JsonFields.InvalidValueException e) {
            log.warn("reload_rejected", "reason", e.getMessage());
        }
    }
}
