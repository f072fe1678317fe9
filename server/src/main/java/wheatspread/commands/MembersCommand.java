package wheatspread.commands;

import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.jline.utils.AttributedString;
import org.jline.utils.AttributedStyle;
import org.json.JSONArray;
import org.json.JSONException;
import org.json.JSONObject;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ScopeType;
import picocli.CommandLine.Spec;

/** The fleet as one of its servers sees it. */
@Command(
        name = "members",
        mixinStandardHelpOptions = true,
        description = {
            "Shows the fleet as one server sees it, in a table that refreshes; q or Ctrl-C ends it.",
            "Without a terminal, or with --once, it prints the table and ends."
        },
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:The server is in a view that stands and suspects nobody.",
            "69:It is not, or does not answer, or has no membership."
        },
        footerHeading = "%nExamples:%n",
        footer = {
            "  wheatspread members --door 127.0.0.1:7500 --once",
            "  wheatspread members --door 127.0.0.1:7500 form"
        })
final class MembersCommand implements Callable<Integer> {
    private static final Duration PATIENCE = Duration.ofSeconds(2);
    private static final String ROW = "%-16s %-22s %-10s %-10s %8s %-24s %s";

    @Spec
    private CommandSpec spec;

    @Option(
            names = "--door",
            paramLabel = "HOST:PORT",
            required = true,
            scope = ScopeType.INHERIT,
            description = "The operators' door of any server (its key control).")
    private String door;

    @Option(names = "--once", description = "Prints it once.")
    private boolean once;

    @Option(names = "--json", description = "Prints what the server tells, once.")
    private boolean json;

    @Override
    public Integer call() throws IOException {
        JSONObject told = members();
        if (json) {
            spec.commandLine().getOut().println(told.toString(1));
        } else if (once || System.console() == null) {
            table(told).forEach(line -> spec.commandLine().getOut().println(line.toString()));
        } else {
            Screen.show(() -> table(members()));
        }
        spec.commandLine().getOut().flush();
        return isWell(told) ? ExitCodes.OK : ExitCodes.UNAVAILABLE;
    }

    /** Founds the fleet anew, where its quorum is gone for good. */
    @Command(
            name = "form",
            mixinStandardHelpOptions = true,
            description = {
                "Has a seed found the fleet anew with all that it hears, in no view or in one that",
                "does not stand. Only for a fleet that has lost more than half of its servers for good: behind a",
                "cut it makes a second fleet, which gives way when the cut heals."
            },
            exitCodeListHeading = "%nExit codes:%n",
            exitCodeList = {"0:It begins.", "69:The server refuses, and says why."})
    int form() throws IOException {
        HttpResponse<String> answer = ask("POST", "/_members/form");
        if (answer.statusCode() != 200) {
            throw new ExitCodes.Failure(
                    ExitCodes.UNAVAILABLE, door + " refuses: " + answer.body().strip());
        }
        spec.commandLine().getOut().println(door + " founds a new epoch; see members --door " + door);
        spec.commandLine().getOut().flush();
        return ExitCodes.OK;
    }

    private JSONObject members() throws IOException {
        HttpResponse<String> answer = ask("GET", "/_members");
        if (answer.statusCode() == 404) {
            throw new ExitCodes.Failure(
                    ExitCodes.UNAVAILABLE,
                    door + " has no membership: its operator's file lacks " + "the key membership");
        }
        try {
            return new JSONObject(answer.body());
        } catch (JSONException e) {
            throw new ExitCodes.Failure(
                    ExitCodes.UNAVAILABLE,
                    door + " answers " + answer.statusCode() + " with what is no list of members");
        }
    }

    private HttpResponse<String> ask(String method, String path) throws IOException {
        try {
            return HttpClient.newBuilder()
                    .connectTimeout(PATIENCE)
                    .version(HttpClient.Version.HTTP_1_1)
                    .build()
                    .send(
                            HttpRequest.newBuilder(URI.create("http://" + door + path))
                                    .timeout(PATIENCE)
                                    .method(method, HttpRequest.BodyPublishers.noBody())
                                    .build(),
                            HttpResponse.BodyHandlers.ofString());
        } catch (ConnectException | HttpTimeoutException e) {
            throw new ExitCodes.Failure(ExitCodes.UNAVAILABLE, door + " does not answer");
        } catch (IllegalArgumentException e) {
            throw new ExitCodes.Failure(ExitCodes.USAGE, "--door is no HOST:PORT: " + door);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    private static boolean isWell(JSONObject told) {
        boolean well = told.getBoolean("stands");
        for (Object one : told.getJSONArray("members")) {
            well &= ((JSONObject) one).getJSONArray("suspected_by").isEmpty();
        }
        return well;
    }

    /** The lines of the table. */
    static List<AttributedString> table(JSONObject told) {
        List<AttributedString> lines = new ArrayList<>();
        boolean stands = told.getBoolean("stands");
        JSONArray members = told.getJSONArray("members");
        String state = stands ? "stands" : told.getBoolean("in") ? "OLD: " + told.getString("why_not") : "not in it";
        lines.add(Screen.styled(
                stands ? -1 : AttributedStyle.RED,
                "cluster " + told.getString("cluster")
                        + ", server " + told.getString("name") + ", view " + told.getLong("epoch") + "."
                        + told.getLong("number") + " of " + members.length() + " (" + state + "), distrust of itself "
                        + told.getInt("distrust")));
        lines.add(new AttributedString(
                String.format(ROW, "MEMBER", "ADDRESS", "ZONE", "BUILD", "SUSP ms", "SUSPECTED BY", "MISSED BY")));
        for (Object each : members) {
            JSONObject one = (JSONObject) each;
            String suspected = one.getJSONArray("suspected_by").join(" ").replace("\"", "");
            String missed = one.getJSONArray("missed_by").join(" ").replace("\"", "");
            int color = !missed.isEmpty() ? AttributedStyle.RED : !suspected.isEmpty() ? AttributedStyle.YELLOW : -1;
            lines.add(Screen.styled(
                    color,
                    String.format(
                                    ROW,
                                    one.getString("name"),
                                    one.getString("address"),
                                    dash(one.getString("zone")),
                                    dash(one.getString("build")),
                                    one.getLong("suspected_ms") == 0 ? "-" : one.get("suspected_ms"),
                                    dash(suspected),
                                    dash(missed))
                            .stripTrailing()));
        }
        return lines;
    }

    private static String dash(String text) {
        return text.isEmpty() ? "-" : text;
    }
}
