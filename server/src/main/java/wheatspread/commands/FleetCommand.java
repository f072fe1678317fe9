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

/** Manages the servers of a fleet on this machine. */
@Command(
        name = "fleet",
        mixinStandardHelpOptions = true,
        synopsisSubcommandLabel = "COMMAND",
        description = "Starts, monitors, updates and stops the servers of a fleet on this machine.",
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
    /** The time limit for the supervisor's answer to a command. */
    private static final long ANSWER_TIMEOUT_MS = 5_000;

    private static final long STATUS_POLL_INTERVAL_MS = 200;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        throw new ParameterException(spec.commandLine(), "a command is required");
    }

    /** A command on a fleet, which its file names. */
    abstract static class FleetFileCommand implements Callable<Integer> {
        @Spec
        CommandSpec spec;

        @Parameters(index = "0", paramLabel = "FLEET_FILE", description = "The fleet's file, as JSON with comments.")
        Path file;

        FleetConfig config() {
            return FleetConfig.readFile(file);
        }

        PrintWriter out() {
            return spec.commandLine().getOut();
        }

        /** Sends a command to the supervisor and returns its answer. */
        JSONObject sendCommand(FleetConfig config, JSONObject command) throws InterruptedException {
            try {
                JSONObject answer = new CommandSpool(config.directory()).submit(command, ANSWER_TIMEOUT_MS);
                if (answer == null) {
                    throw new ExitCodes.Failure(
                            ExitCodes.TRY_LATER,
                            "no supervisor answered within " + ANSWER_TIMEOUT_MS + " ms for " + config.directory()
                                    + "; the command stays queued for the next supervisor");
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
                "Runs the fleet's supervisor in the foreground and starts every instance.",
                "Adopts instances that an earlier supervisor started and resumes an interrupted rollout.",
                "SIGTERM or SIGINT shuts the fleet down, SIGHUP reloads the file."
            },
            exitCodeListHeading = "%nExit codes:%n",
            exitCodeList = {
                "0:The fleet was shut down, or the supervisor was detached.",
                "75:Another supervisor is running for this fleet.",
                "78:The fleet's file has a fault."
            })
    static final class Up extends FleetFileCommand {
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
                        "the supervisor was started with "
                                + "SIGHUP ignored, so it and its instances cannot reload; start it with "
                                + "env --default-signal=HUP, or without nohup");
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

    /** Starts a rollout of another build and waits until it ends. */
    @Command(
            name = "roll",
            mixinStandardHelpOptions = true,
            description = "Rolls out a build to the instances, a few at a time, and waits until the rollout ends.",
            exitCodeListHeading = "%nExit codes:%n",
            exitCodeList = {
                "0:All selected instances run the new build.",
                "69:The rollout stopped or was rolled back; the reason is printed.",
                "75:No supervisor answered."
            })
    static final class Roll extends FleetFileCommand {
        @Option(names = "--to", required = true, paramLabel = "BUILD", description = "The label of the build.")
        private String buildLabel;

        @Option(
                names = "--member",
                paramLabel = "NAME",
                description = "An instance to update; may be repeated. Default: all.")
        private List<String> instanceNames = List.of();

        @Option(
                names = "--share",
                defaultValue = "1",
                description = "The share of the fleet to update (${DEFAULT-VALUE}).")
        private double share;

        @Option(names = "--no-wait", description = "Does not wait until the rollout ends.")
        private boolean noWait;

        @Override
        public Integer call() throws IOException, InterruptedException {
            FleetConfig config = config();
            if (!(share > 0 && share <= 1)) {
                throw new ParameterException(spec.commandLine(), "--share is " + share + "; allowed is above 0 to 1");
            }
            int count = instanceNames.isEmpty()
                    ? (int) Math.max(1, Math.round(share * config.members().size()))
                    : 0;
            long startedAtMillis = sendCommand(
                            config,
                            new JSONObject()
                                    .put("do", "roll")
                                    .put("to", buildLabel)
                                    .put("names", instanceNames)
                                    .put("count", count))
                    .getLong("at");
            return noWait ? ExitCodes.OK : followRollout(new StatusFile(config.directory()), startedAtMillis);
        }

        /** Prints the progress of the rollout until it ends; ignores a status written before {@code sinceMillis}. */
        private int followRollout(StatusFile statusFile, long sinceMillis) throws IOException, InterruptedException {
            String lastLine = "";
            while (true) {
                JSONObject status = statusFile.read();
                JSONObject roll =
                        status == null || status.getLong("at") < sinceMillis ? null : status.optJSONObject("roll");
                if (roll != null) {
                    String line = roll.getString("status") + (roll.getBoolean("paused") ? " (paused)" : "")
                            + ": "
                            + roll.getJSONObject("steps").getInt("done") + " of " + roll.getInt("members");
                    if (!line.equals(lastLine)) {
                        out().println(line);
                        out().flush();
                    }
                    lastLine = line;
                    switch (roll.getString("status")) {
                        case "DONE" -> {
                            return ExitCodes.OK;
                        }
                        case "STOPPED", "ROLLED_BACK" ->
                            throw new ExitCodes.Failure(
                                    ExitCodes.UNAVAILABLE,
                                    "the rollout of build "
                                            + buildLabel + " "
                                            + (roll.getString("status").equals("STOPPED")
                                                    ? "stopped"
                                                    : "was rolled back")
                                            + ": " + roll.getString("reason"));
                        default -> {}
                    }
                }
                TimeUnit.MILLISECONDS.sleep(STATUS_POLL_INTERVAL_MS);
            }
        }
    }

    /** Sends one command to the supervisor and waits for its answer, but not for the effect of the command. */
    abstract static class SupervisorCommand extends FleetFileCommand {
        abstract JSONObject toJson();

        @Override
        public final Integer call() throws InterruptedException {
            sendCommand(config(), toJson());
            return ExitCodes.OK;
        }
    }

    /** A supervisor command on one instance. */
    abstract static class InstanceCommand extends SupervisorCommand {
        @Parameters(index = "1", paramLabel = "NAME", description = "The name of the instance.")
        private String name;

        JSONObject toJson(String commandName) {
            return new JSONObject().put("do", commandName).put("name", name);
        }
    }

    /** Stops a rollout. */
    @Command(
            name = "stop-roll",
            mixinStandardHelpOptions = true,
            description = "Stops a rollout; every instance keeps its present build.")
    static final class StopRoll extends SupervisorCommand {
        @Override
        JSONObject toJson() {
            return new JSONObject().put("do", "stop-roll");
        }
    }

    /** Drains an instance. */
    @Command(
            name = "drain",
            mixinStandardHelpOptions = true,
            description = "Drains and stops an instance until it is started again.")
    static final class Drain extends InstanceCommand {
        @Override
        JSONObject toJson() {
            return toJson("drain");
        }
    }

    /** Starts an instance. */
    @Command(
            name = "start",
            mixinStandardHelpOptions = true,
            description = "Starts an instance that was drained, or that is held after too many exits.")
    static final class Start extends InstanceCommand {
        @Override
        JSONObject toJson() {
            return toJson("start");
        }
    }

    /** Shuts the fleet down. */
    @Command(
            name = "down",
            mixinStandardHelpOptions = true,
            description = "Drains and stops every instance, after which the supervisor exits.")
    static final class Down extends SupervisorCommand {
        @Override
        JSONObject toJson() {
            return new JSONObject().put("do", "down");
        }
    }

    /** Stops the supervisor, but not the instances. */
    @Command(
            name = "detach",
            mixinStandardHelpOptions = true,
            description = "Stops the supervisor without its instances, so that another supervisor can adopt them.")
    static final class Detach extends SupervisorCommand {
        @Override
        JSONObject toJson() {
            return new JSONObject().put("do", "detach");
        }
    }
}
