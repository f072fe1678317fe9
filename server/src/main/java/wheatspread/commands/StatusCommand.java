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

/** A table of the fleet in the terminal. */
@Command(
        name = "status",
        mixinStandardHelpOptions = true,
        description = {
            "Shows the fleet in a table that refreshes; q or Ctrl-C ends it.",
            "Without a terminal, or with --once, it prints the table and ends."
        },
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:Every member is in service.",
            "69:Some are not, or the status is stale.",
            "75:No supervisor has run here."
        })
final class StatusCommand extends FleetCommand.OnFile {
    private static final String ROW = "%-14s %-9s %-10s %4s %8s %9s %9s %8s %8s %6s";

    @Option(names = "--once", description = "Prints it once.")
    private boolean once;

    @Option(names = "--json", description = "Prints the supervisor's own status, once.")
    private boolean json;

    @Override
    public Integer call() throws IOException {
        StatusFile file = new StatusFile(config().directory());
        JSONObject status = file.read();
        if (status == null) {
            throw new ExitCodes.Failure(ExitCodes.TRY_LATER, "no supervisor has run for this fleet");
        }
        if (json) {
            out().println(status.toString(1));
        } else if (once || System.console() == null) {
            table(status, System.currentTimeMillis()).forEach(line -> out().println(line.toString()));
        } else {
            Screen.show(() -> table(file.read(), System.currentTimeMillis()));
        }
        out().flush();
        return inService(status, System.currentTimeMillis()) ? ExitCodes.OK : ExitCodes.UNAVAILABLE;
    }

    private static boolean isStale(JSONObject status, long now) {
        return now - status.getLong("at") > StatusFile.STALE_AFTER_MILLIS;
    }

    private static boolean inService(JSONObject status, long now) {
        boolean all = !isStale(status, now);
        for (Object told : status.getJSONArray("members")) {
            JSONObject one = (JSONObject) told;
            all &= !one.getBoolean("wanted") || one.getString("state").equals("UP") && !one.getBoolean("stale");
        }
        return all;
    }

    /** The lines of the table. */
    static List<AttributedString> table(JSONObject status, long now) {
        List<AttributedString> lines = new ArrayList<>();
        long age = now - status.getLong("at");
        lines.add(Screen.styled(
                isStale(status, now) ? AttributedStyle.RED : -1,
                isStale(status, now)
                        ? "no supervisor has written for " + age / 1_000 + " s; what follows is old"
                        : "supervisor " + status.getLong("pid")
                                + (status.getBoolean("going_down") ? ", going down" : "")));
        JSONObject roll = status.optJSONObject("roll");
        if (roll != null) {
            boolean bad = !roll.getString("reason").isEmpty();
            lines.add(Screen.styled(
                    bad ? AttributedStyle.RED : AttributedStyle.CYAN,
                    "roll to "
                            + roll.getString("to")
                            + ": " + roll.getString("status") + (roll.getBoolean("paused") ? ", paused" : "") + ", "
                            + roll.getJSONObject("steps").getInt("done") + " of " + roll.getInt("members") + ", "
                            + roll.getLong("took_ms") / 1_000 + " s" + (bad ? "; " + roll.getString("reason") : "")));
        }
        lines.add(new AttributedString(String.format(
                ROW, "MEMBER", "STATE", "BUILD", "GEN", "PID", "SINCE s", "HEARD ms", "SERVED", "REFUSED", "EXIT")));
        for (Object told : status.getJSONArray("members")) {
            JSONObject one = (JSONObject) told;
            String state = one.getString("state");
            boolean stale = one.getBoolean("stale");
            int color = stale || state.equals("HELD") || state.equals("UNWELL")
                    ? AttributedStyle.RED
                    : state.equals("UP") ? AttributedStyle.GREEN : AttributedStyle.YELLOW;
            lines.add(Screen.styled(
                    color,
                    String.format(
                            ROW,
                            one.getString("name"),
                            stale ? state + "?" : state,
                            one.getString("build"),
                            one.getInt("generation"),
                            one.getLong("pid") == 0 ? "-" : one.get("pid"),
                            one.getLong("in_state_ms") / 1_000,
                            one.getLong("heard_ms") < 0 ? "never" : one.get("heard_ms"),
                            one.opt("served") == null ? "-" : one.get("served"),
                            one.opt("refused") == null ? "-" : one.get("refused"),
                            one.opt("last_code") == null ? "-" : one.get("last_code"))));
        }
        return lines;
    }
}
