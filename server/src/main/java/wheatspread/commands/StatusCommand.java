package wheatspread.commands;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.jline.utils.AttributedString;
import org.jline.utils.AttributedStyle;
import org.json.JSONObject;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import wheatspread.supervisor.StatusFile;

/** Shows the instances of the fleet in a table. */
@Command(
        name = "status",
        mixinStandardHelpOptions = true,
        description = {
            "Shows the fleet in a table that refreshes until q or Ctrl-C is pressed.",
            "Prints the table once if there is no terminal or with --once."
        },
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:Every instance is in service.",
            "69:An instance is not in service, or the status is stale.",
            "75:No supervisor has run for this fleet."
        })
final class StatusCommand extends FleetCommand.FleetFileCommand {
    private static final String ROW = "%-14s %-9s %-10s %4s %8s %9s %9s %8s %8s %6s";

    @Option(names = "--once", description = "Prints the table once.")
    private boolean once;

    @Option(names = "--json", description = "Prints the status once, as JSON.")
    private boolean json;

    @Override
    public Integer call() throws IOException {
        StatusFile statusFile = new StatusFile(config().directory());
        JSONObject status = statusFile.read();
        if (status == null) {
            throw new ExitCodes.Failure(
                    ExitCodes.TRY_LATER,
                    "no supervisor has run for the fleet of " + file + ": its directory has no status file");
        }
        if (json) {
            out().println(status.toString(1));
        } else if (once || System.console() == null) {
            table(status, System.currentTimeMillis()).forEach(line -> out().println(line.toString()));
        } else {
            Screen.show(() -> table(statusFile.read(), System.currentTimeMillis()));
        }
        out().flush();
        return isFleetInService(status, System.currentTimeMillis()) ? ExitCodes.OK : ExitCodes.UNAVAILABLE;
    }

    private static boolean isStale(JSONObject status, long nowMillis) {
        return nowMillis - status.getLong("at") > StatusFile.STALE_AFTER_MILLIS;
    }

    private static boolean isFleetInService(JSONObject status, long nowMillis) {
        boolean inService = !isStale(status, nowMillis);
        for (Object element : status.getJSONArray("members")) {
            JSONObject instance = (JSONObject) element;
            inService &= !instance.getBoolean("wanted")
                    || instance.getString("state").equals("UP") && !instance.getBoolean("stale");
        }
        return inService;
    }

    /** Returns the lines of the table, one for each instance below a header. */
    static List<AttributedString> table(JSONObject status, long nowMillis) {
        List<AttributedString> lines = new ArrayList<>();
        long ageMillis = nowMillis - status.getLong("at");
        lines.add(Screen.styled(
                isStale(status, nowMillis) ? AttributedStyle.RED : -1,
                isStale(status, nowMillis)
                        ? "no supervisor has written the status for " + ageMillis / 1_000 + " s; the table is stale"
                        : "supervisor " + status.getLong("pid")
                                + (status.getBoolean("going_down") ? ", shutting down" : "")));
        JSONObject roll = status.optJSONObject("roll");
        if (roll != null) {
            boolean failed = !roll.getString("reason").isEmpty();
            lines.add(Screen.styled(
                    failed ? AttributedStyle.RED : AttributedStyle.CYAN,
                    "rollout of build "
                            + roll.getString("to")
                            + ": " + roll.getString("status") + (roll.getBoolean("paused") ? ", paused" : "") + ", "
                            + roll.getJSONObject("steps").getInt("done") + " of " + roll.getInt("members") + ", "
                            + roll.getLong("took_ms") / 1_000 + " s"
                            + (failed ? "; " + roll.getString("reason") : "")));
        }
        lines.add(new AttributedString(String.format(
                ROW, "MEMBER", "STATE", "BUILD", "GEN", "PID", "SINCE s", "HEARD ms", "SERVED", "REFUSED", "EXIT")));
        for (Object element : status.getJSONArray("members")) {
            JSONObject instance = (JSONObject) element;
            String state = instance.getString("state");
            boolean stale = instance.getBoolean("stale");
            int color = stale || state.equals("HELD") || state.equals("UNWELL")
                    ? AttributedStyle.RED
                    : state.equals("UP") ? AttributedStyle.GREEN : AttributedStyle.YELLOW;
            lines.add(Screen.styled(
                    color,
                    String.format(
                            ROW,
                            instance.getString("name"),
                            stale ? state + "?" : state,
                            instance.getString("build"),
                            instance.getInt("generation"),
                            instance.getLong("pid") == 0 ? "-" : instance.get("pid"),
                            instance.getLong("in_state_ms") / 1_000,
                            instance.getLong("heard_ms") < 0 ? "never" : instance.get("heard_ms"),
                            instance.opt("served") == null ? "-" : instance.get("served"),
                            instance.opt("refused") == null ? "-" : instance.get("refused"),
                            instance.opt("last_code") == null ? "-" : instance.get("last_code"))));
        }
        return lines;
    }
}
