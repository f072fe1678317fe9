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
 * The process of a supervisor: turns on one thread, which may wait for the disk and for children, commands
 * from a folder, and the status for whoever asks. Its members outlive it; the next one finds them.
 */
public final class FleetRunner {
    private static final long TURN_MS = 50;
    private static final long STATUS_MICROS = 500_000;

    private final EventLog log;
    private final AtomicBoolean askedDown = new AtomicBoolean();
    private final AtomicBoolean askedReload = new AtomicBoolean();
    private final AtomicBoolean detached = new AtomicBoolean();
    private FleetConfig config;
    private FleetController fleet;
    private Supervisor supervisor;
    private LocalHost machine;

    /** Another supervisor has the fleet. */
    public static final class Busy extends Exception {
        private static final long serialVersionUID = 1L;

        Busy(String message) {
            super(message);
        }
    }

    public FleetRunner(FleetConfig config, EventLog log) {
        this.config = config;
        this.log = log;
    }

    /** The fleet is to leave; for a signal. */
    public void goDown() {
        askedDown.set(true);
    }

    /** The fleet's file is to be read again; for a signal. */
    public void reload() {
        askedReload.set(true);
    }

    /** Runs until the fleet is down, or until it is told to leave the members alone. */
    public void run() throws IOException, InterruptedException, Busy {
        Files.createDirectories(config.dir());
        try (FileChannel lock = FileChannel.open(
                config.dir().resolve("supervisor.lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
            if (lock.tryLock() == null) {
                throw new Busy("a supervisor runs already for " + config.dir());
            }
            machine = new LocalHost(config);
            begin();
            try {
                loop();
            } finally {
                machine.close();
            }
        }
    }

    private void begin() throws IOException {
        fleet = new FleetController(config.plan(), System.nanoTime(), log);
        supervisor = new Supervisor(fleet, machine, config.checkEvery(), log);
        supervisor.begin(EventLoopClock.unixMicros());
        log.info(
                "supervisor_began",
                "dir",
                config.dir(),
                "members",
                config.members().size());
    }

    private void loop() throws IOException, InterruptedException {
        StatusFile status = new StatusFile(config.dir());
        CommandSpool spool = new CommandSpool(config.dir());
        long nextStatus = 0;
        boolean done = false;
        while (!done && !detached.get()) {
            long now = EventLoopClock.unixMicros();
            if (askedDown.getAndSet(false)) {
                fleet.goDown(now);
            }
            if (askedReload.getAndSet(false)) {
                readAgain();
            }
            CommandSpool.Command command = spool.next();
            JSONObject answer = command == null ? null : carryOut(command.told(), now);
            done = supervisor.turn(now); // writes the state down, before the command counts as carried out
            if (command != null) {
                spool.answer(command, answer);
            }
            if (command != null || done || now >= nextStatus) {
                status.write(StatusFile.of(fleet, now));
                nextStatus = now + STATUS_MICROS;
            }
            TimeUnit.MILLISECONDS.sleep(TURN_MS);
        }
        log.info("supervisor_ended", "down", done);
    }

    private JSONObject carryOut(JSONObject told, long now) {
        try {
            switch (told.optString("do")) {
                case "roll" -> {
                    String to = told.getString("to");
                    if (!config.builds().containsKey(to)) {
                        throw new IllegalArgumentException("there is no build " + to + "; known are "
                                + config.builds().keySet());
                    }
                    List<String> names = told.getJSONArray("names").toList().stream()
                            .map(String::valueOf)
                            .toList();
                    fleet.roll(to, names, told.getInt("count"), now);
                }
                case "stop-roll" -> fleet.stopRoll(now);
                case "drain" -> fleet.drain(told.getString("name"), now);
                case "start" -> fleet.start(told.getString("name"), now);
                case "down" -> fleet.goDown(now);
                case "detach" -> detached.set(true);
                default -> throw new IllegalArgumentException("is an unknown command");
            }
            return new JSONObject().put("ok", true).put("at", now / 1_000);
        } catch (IllegalArgumentException | JSONException e) {
            return new JSONObject().put("error", e.getMessage());
        }
    }

    /** A file that is wrong changes nothing. */
    private void readAgain() throws IOException {
        try {
            FleetConfig next = FleetConfig.readFile(config.file());
            if (!next.dir().equals(config.dir())) {
                throw new JsonFields.InvalidValueException("dir cannot change while the fleet runs");
            }
            config = next;
            machine.use(next);
            begin();
        } catch (JsonFields.InvalidValueException e) {
            log.warn("reload_refused", "reason", e.getMessage());
        }
    }
}
