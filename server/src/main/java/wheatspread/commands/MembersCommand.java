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

/** Shows the cluster membership as one server reports it. */
@Command(
        name = "members",
        mixinStandardHelpOptions = true,
        description = {
            "Shows the cluster view of one server in a table that refreshes until q or Ctrl-C is pressed.",
            "Prints the table once if there is no terminal or with --once."
        },
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:The server is in a view with a reachable quorum, and no member is suspected.",
            "69:The quorum is unreachable, a member is suspected, the server does not answer, or it has no membership."
        },
        footerHeading = "%nExamples:%n",
        footer = {
            "  wheatspread members --door 127.0.0.1:7500 --once",
            "  wheatspread members --door 127.0.0.1:7500 form"
        })
final class MembersCommand implements Callable<Integer> {
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);
    private static final String ROW = "%-16s %-22s %-10s %-10s %8s %-24s %s";

    @Spec
    private CommandSpec spec;

    @Option(
            names = "--door",
            paramLabel = "HOST:PORT",
            required = true,
            scope = ScopeType.INHERIT,
            description = "The control address of any server (its setting control).")
    private String controlAddress;

    @Option(names = "--once", description = "Prints the table once.")
    private boolean once;

    @Option(names = "--json", description = "Prints the answer of the server once, as JSON.")
    private boolean json;

    @Override
    public Integer call() throws IOException {
        JSONObject status = fetchStatus();
        if (json) {
            spec.commandLine().getOut().println(status.toString(1));
        } else if (once || System.console() == null) {
            table(status).forEach(line -> spec.commandLine().getOut().println(line.toString()));
        } else {
            Screen.show(() -> table(fetchStatus()));
        }
        spec.commandLine().getOut().flush();
        return isHealthy(status) ? ExitCodes.OK : ExitCodes.UNAVAILABLE;
    }

    /** Forms the cluster anew after the permanent loss of its quorum. */
    @Command(
            name = "form",
            mixinStandardHelpOptions = true,
            description = {
                "Orders a seed to form the cluster anew with all servers that it can reach and that have no quorum.",
                "Use it only after the permanent loss of more than half of the servers. During a network partition "
                        + "it forms a second cluster, which is dissolved when the partition heals."
            },
            exitCodeListHeading = "%nExit codes:%n",
            exitCodeList = {
                "0:The server has started to form the cluster.",
                "69:The server rejected the request; the reason is printed."
            })
    int form() throws IOException {
        HttpResponse<String> response = sendRequest("POST", "/_members/form");
        if (response.statusCode() != 200) {
            throw new ExitCodes.Failure(
                    ExitCodes.UNAVAILABLE,
                    controlAddress + " rejected the request: " + response.body().strip());
        }
        spec.commandLine()
                .getOut()
                .println(controlAddress + " is forming the cluster in a new epoch; follow it with members --door "
                        + controlAddress);
        spec.commandLine().getOut().flush();
        return ExitCodes.OK;
    }

    private JSONObject fetchStatus() throws IOException {
        HttpResponse<String> response = sendRequest("GET", "/_members");
        if (response.statusCode() == 404) {
            throw new ExitCodes.Failure(
                    ExitCodes.UNAVAILABLE,
                    controlAddress
                            + " has no cluster membership: the key membership is missing from its operator's file");
        }
        try {
            return new JSONObject(response.body());
        } catch (JSONException e) {
            throw new ExitCodes.Failure(
                    ExitCodes.UNAVAILABLE,
                    controlAddress + " answered with status " + response.statusCode()
                            + " and a body that is not a JSON object; expected the members");
        }
    }

    private HttpResponse<String> sendRequest(String method, String path) throws IOException {
        try {
            return HttpClient.newBuilder()
                    .connectTimeout(REQUEST_TIMEOUT)
                    .version(HttpClient.Version.HTTP_1_1)
                    .build()
                    .send(
                            HttpRequest.newBuilder(URI.create("http://" + controlAddress + path))
                                    .timeout(REQUEST_TIMEOUT)
                                    .method(method, HttpRequest.BodyPublishers.noBody())
                                    .build(),
                            HttpResponse.BodyHandlers.ofString());
        } catch (ConnectException | HttpTimeoutException e) {
            throw new ExitCodes.Failure(
                    ExitCodes.UNAVAILABLE,
                    controlAddress + " refused the connection or did not answer within " + REQUEST_TIMEOUT.toSeconds()
                            + " s");
        } catch (IllegalArgumentException e) {
            throw new ExitCodes.Failure(ExitCodes.USAGE, "--door is " + controlAddress + "; expected HOST:PORT");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    private static boolean isHealthy(JSONObject status) {
        boolean healthy = status.getBoolean("stands");
        for (Object member : status.getJSONArray("members")) {
            healthy &= ((JSONObject) member).getJSONArray("suspected_by").isEmpty();
        }
        return healthy;
    }

    /** Returns the lines of the table, one for each member below a header. */
    static List<AttributedString> table(JSONObject status) {
        List<AttributedString> lines = new ArrayList<>();
        boolean quorumReachable = status.getBoolean("stands");
        JSONArray members = status.getJSONArray("members");
        String state = quorumReachable
                ? "stands"
                : status.getBoolean("in") ? "OLD: " + status.getString("why_not") : "not in it";
        lines.add(Screen.styled(
                quorumReachable ? -1 : AttributedStyle.RED,
                "cluster " + status.getString("cluster")
                        + ", server " + status.getString("name") + ", view " + status.getLong("epoch") + "."
                        + status.getLong("number") + " of " + members.length() + " (" + state + "), distrust of itself "
                        + status.getInt("distrust")));
        lines.add(new AttributedString(
                String.format(ROW, "MEMBER", "ADDRESS", "ZONE", "BUILD", "SUSP ms", "SUSPECTED BY", "MISSED BY")));
        for (Object element : members) {
            JSONObject member = (JSONObject) element;
            String suspected = member.getJSONArray("suspected_by").join(" ").replace("\"", "");
            String missed = member.getJSONArray("missed_by").join(" ").replace("\"", "");
            int color = !missed.isEmpty() ? AttributedStyle.RED : !suspected.isEmpty() ? AttributedStyle.YELLOW : -1;
            lines.add(Screen.styled(
                    color,
                    String.format(
                                    ROW,
                                    member.getString("name"),
                                    member.getString("address"),
                                    dashIfEmpty(member.getString("zone")),
                                    dashIfEmpty(member.getString("build")),
                                    member.getLong("suspected_ms") == 0 ? "-" : member.get("suspected_ms"),
                                    dashIfEmpty(suspected),
                                    dashIfEmpty(missed))
                            .stripTrailing()));
        }
        return lines;
    }

    private static String dashIfEmpty(String text) {
        return text.isEmpty() ? "-" : text;
    }
}
