package wheatspread.commands;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.json.JSONObject;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import wheatspread.config.FleetConfig;
import wheatspread.daemon.SignalHandlers;
import wheatspread.logging.EventLog;
import wheatspread.logging.LogSetup;
import wheatspread.logging.RepeatLimit;
import wheatspread.logging.StructuredLog;
import wheatspread.supervisor.CommandSpool;
import wheatspread.supervisor.FleetRunner;
import wheatspread.supervisor.StatusFile;

/** Starts, watches, rolls and replaces the servers of a fleet on this machine. */
@Command(
        name = "fleet",
        mixinStandardHelpOptions = true,
        synopsisSubcommandLabel = "COMMAND",
        description = "Starts, watches, rolls and replaces the servers of a fleet on this machine.",
        footerHeading = "%nExamples:%n",
        footer = {
            "  wheatspread fleet up deploy/fleet.json",
            "  wheatspread fleet roll deploy/fleet.json --to v2 --share 0.87",
            "  wheatspread fleet status deploy/fleet.json --once"
        },
        subcommands = {
            FleetCommand.Up.class,
            StatusCommand.class,
            FleetCommand.Roll.class,
            FleetCommand.StopRoll.class,
            FleetCommand.Drain.class,
            FleetCommand.Start.class,
            FleetCommand.Down.class,
            FleetCommand.Detach.class
        })
final class FleetCommand implements Callable<Integer> {
    /** How long a supervisor may take to answer a command. */
    private static final long ANSWER_MS = 5_000;

    private static final long LOOK_MS = 200;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        throw new ParameterException(spec.commandLine(), "a command is missing");
    }

    /** What all of them take. */
    abstract static class OnFile implements Callable<Integer> {
        @Spec
        CommandSpec spec;

        @Parameters(index = "0", paramLabel = "FLEET_FILE", description = "The fleet's file; JSON with comments.")
        Path file;

        FleetConfig config() {
            return FleetConfig.readFile(file);
        }

        PrintWriter out() {
            return spec.commandLine().getOut();
        }

        /** Gives a command to the supervisor. */
        JSONObject ask(FleetConfig config, JSONObject command) throws InterruptedException {
            try {
                JSONObject answer = new CommandSpool(config.directory()).submit(command, ANSWER_MS);
                if (answer == null) {
                    throw new ExitCodes.Failure(
                            ExitCodes.TRY_LATER,
                            "no supervisor answers for " + config.directory() + "; the command waits for one");
                } else if (answer.has("error")) {
                    throw new ExitCodes.Failure(ExitCodes.UNAVAILABLE, answer.getString("error"));
                }
                return answer;
            } catch (IOException e) {
                throw new ExitCodes.Failure(ExitCodes.UNAVAILABLE, e.toString());
            }
        }
    }

    /** Runs the supervisor. */
    @Command(
            name = "up",
            mixinStandardHelpOptions = true,
            description = {
                "Runs the fleet's supervisor in the foreground, and starts every member.",
                "It finds members that an earlier one started, and goes on with a roll that was under way.",
                "SIGTERM or SIGINT takes the fleet down, SIGHUP reads the file again."
            },
            exitCodeListHeading = "%nExit codes:%n",
            exitCodeList = {
                "0:The fleet is down, or was left alone.",
                "75:Another supervisor has this fleet.",
                "78:The fleet's file is wrong."
            })
    static final class Up extends OnFile {
        @Override
        public Integer call() throws IOException, InterruptedException {
            FleetConfig config = config();
            LogSetup.configureOutput(config.log().json(), config.log().level(), "fleet");
            EventLog log = new StructuredLog(
                    new RepeatLimit(
                            config.log().maxRepeats() * config.members().size(),
                            config.log().repeatWindowMicros()),
                    () -> System.nanoTime() / 1_000);
            FleetRunner runner = new FleetRunner(config, log);
            SignalHandlers.handle("TERM", runner::requestShutDown);
            SignalHandlers.handle("INT", runner::requestShutDown);
            if (!SignalHandlers.handle("HUP", runner::requestReload)) {
                log.error(
                        "signal_ignored",
                        "signals",
                        "HUP",
                        "reason",
                        "the supervisor and all that it "
                                + "starts hear no reload: start it with env --default-signal=HUP, or without nohup");
            }
            try {
                runner.run();
                return ExitCodes.OK;
            } catch (FleetRunner.SupervisorRunningException e) {
                throw new ExitCodes.Failure(ExitCodes.TRY_LATER, e.getMessage());
            } finally {
                LogSetup.flush();
            }
        }
    }

    /** Rolls to another build, and waits for the end. */
    @Command(
            name = "roll",
            mixinStandardHelpOptions = true,
            description = "Replaces the build that members run, a few at a time, and waits for the end of it.",
            exitCodeListHeading = "%nExit codes:%n",
            exitCodeList = {
                "0:All of them run the new build.",
                "69:It stopped, and says why; the old build serves where it was to roll back.",
                "75:No supervisor answers."
            })
    static final class Roll extends OnFile {
        @Option(names = "--to", required = true, paramLabel = "BUILD", description = "The build to run.")
        private String to;

        @Option(names = "--member", paramLabel = "NAME", description = "A member to roll; all without one.")
        private List<String> names = List.of();

        @Option(names = "--share", defaultValue = "1", description = "Of the fleet, in part (${DEFAULT-VALUE}).")
        private double share;

        @Option(names = "--no-wait", description = "Doesn't wait for the end.")
        private boolean noWait;

        @Override
        public Integer call() throws IOException, InterruptedException {
            FleetConfig config = config();
            if (!(share > 0 && share <= 1)) {
                throw new ParameterException(spec.commandLine(), "--share is " + share + ", not from 0 to 1");
            }
            int count = names.isEmpty()
                    ? (int) Math.max(1, Math.round(share * config.members().size()))
                    : 0;
            long at = ask(
                            config,
                            new JSONObject()
                                    .put("do", "roll")
                                    .put("to", to)
                                    .put("names", names)
                                    .put("count", count))
                    .getLong("at");
            return noWait ? ExitCodes.OK : follow(new StatusFile(config.directory()), at);
        }

        private int follow(StatusFile file, long since) throws IOException, InterruptedException {
            String told = "";
            while (true) {
                JSONObject status = file.read();
                JSONObject roll = status == null || status.getLong("at") < since ? null : status.optJSONObject("roll");
                if (roll != null) {
                    String line = roll.getString("status") + (roll.getBoolean("paused") ? " (paused)" : "")
                            + ": "
                            + roll.getJSONObject("steps").getInt("done") + " of " + roll.getInt("members");
                    if (!line.equals(told)) {
                        out().println(line);
                        out().flush();
                    }
                    told = line;
                    switch (roll.getString("status")) {
                        case "DONE" -> {
                            return ExitCodes.OK;
                        }
                        case "STOPPED", "ROLLED_BACK" ->
                            throw new ExitCodes.Failure(
                                    ExitCodes.UNAVAILABLE,
                                    "the roll to "
                                            + to + " "
                                            + (roll.getString("status").equals("STOPPED")
                                                    ? "stopped"
                                                    : "was rolled back")
                                            + ": " + roll.getString("reason"));
                        default -> {}
                    }
                }
                TimeUnit.MILLISECONDS.sleep(LOOK_MS);
            }
        }
    }

    /** Gives one command and waits for the answer to it, not for what comes of it. */
    abstract static class Order extends OnFile {
        abstract JSONObject order();

        @Override
        public final Integer call() throws InterruptedException {
            ask(config(), order());
            return ExitCodes.OK;
        }
    }

    /** One that names a member. */
    abstract static class MemberOrder extends Order {
        @Parameters(index = "1", paramLabel = "NAME", description = "The member.")
        private String name;

        JSONObject order(String what) {
            return new JSONObject().put("do", what).put("name", name);
        }
    }

    /** Stops a roll. */
    @Command(
            name = "stop-roll",
            mixinStandardHelpOptions = true,
            description = "Stops a roll where it stands; members keep the build they have.")
    static final class StopRoll extends Order {
        @Override
        JSONObject order() {
            return new JSONObject().put("do", "stop-roll");
        }
    }

    /** Takes a member out. */
    @Command(
            name = "drain",
            mixinStandardHelpOptions = true,
            description = "Gives a member its notice; it leaves and stays away until it is started.")
    static final class Drain extends MemberOrder {
        @Override
        JSONObject order() {
            return order("drain");
        }
    }

    /** Takes a member in again. */
    @Command(
            name = "start",
            mixinStandardHelpOptions = true,
            description = "Starts a member that was drained, or that is held since it ended too often.")
    static final class Start extends MemberOrder {
        @Override
        JSONObject order() {
            return order("start");
        }
    }

    /** Takes the fleet down. */
    @Command(
            name = "down",
            mixinStandardHelpOptions = true,
            description = "Gives every member its notice; the supervisor ends once all have left.")
    static final class Down extends Order {
        @Override
        JSONObject order() {
            return new JSONObject().put("do", "down");
        }
    }

    /** Ends the supervisor alone. */
    @Command(
            name = "detach",
            mixinStandardHelpOptions = true,
            description = "Ends the supervisor and leaves the members running, to replace it by another.")
    static final class Detach extends Order {
        @Override
        JSONObject order() {
            return new JSONObject().put("do", "detach");
        }
    }
}
