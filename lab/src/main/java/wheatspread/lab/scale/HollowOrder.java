package wheatspread.lab.scale;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.json.JSONArray;
import org.json.JSONObject;

/**
 * An order from the rig to a process of hollow servers, sent as one line of JSON on its standard input. The process
 * answers every order with one {@link HollowReport} after executing it; it answers restarts and leaves when they begin.
 */
public sealed interface HollowOrder {
    /** Key of the order's name on the wire. */
    String KIND = "order";

    /** Starts members. */
    record Start(List<MemberSpec> members) implements HollowOrder {
        public Start {
            members = List.copyOf(members);
        }
    }

    /** Closes the sockets of the named members at once, without notifying their peers. */
    record Crash(Set<String> names) implements HollowOrder {
        public Crash {
            names = Set.copyOf(names);
        }
    }

    /**
     * Ends one member and starts it again.
     *
     * @param next the member with the number of its next start
     * @param clean whether the member leaves the fleet before it closes its sockets
     */
    record Restart(MemberSpec next, boolean clean) implements HollowOrder {}

    /** Replaces the link faults of all members. */
    record Links(LinkFaults faults) implements HollowOrder {}

    /** Requests a report and changes nothing. */
    record Report() implements HollowOrder {}

    /** Returns this order as one line of JSON, without the line end. */
    default String toLine() {
        JSONObject json = new JSONObject();
        if (this instanceof Start start) {
            JSONArray members = new JSONArray();
            start.members.forEach(member -> members.put(member.toJson()));
            json.put(KIND, "start").put("members", members);
        } else if (this instanceof Crash crash) {
            json.put(KIND, "crash").put("names", new JSONArray(crash.names));
        } else if (this instanceof Restart restart) {
            json.put(KIND, "restart").put("next", restart.next.toJson()).put("clean", restart.clean);
        } else if (this instanceof Links links) {
            json.put(KIND, "links")
                    .put("loss", links.faults.lossShare())
                    .put("side", new JSONArray(links.faults.partitionSide()))
                    .put("unfiltered", new JSONArray(links.faults.unfiltered()));
        } else {
            json.put(KIND, "report");
        }
        return json.toString();
    }

    /** Parses a line; throws {@link IllegalArgumentException} if the name of the order is unknown. */
    static HollowOrder fromLine(String line) {
        JSONObject json = new JSONObject(line);
        return switch (json.getString(KIND)) {
            case "start" -> {
                JSONArray members = json.getJSONArray("members");
                List<MemberSpec> specs = new ArrayList<>();
                for (int i = 0; i < members.length(); i++) {
                    specs.add(MemberSpec.fromJson(members.getJSONObject(i)));
                }
                yield new Start(specs);
            }
            case "crash" -> new Crash(texts(json.getJSONArray("names")));
            case "restart" -> new Restart(MemberSpec.fromJson(json.getJSONObject("next")), json.getBoolean("clean"));
            case "links" ->
                new Links(new LinkFaults(
                        json.getDouble("loss"),
                        texts(json.getJSONArray("side")),
                        texts(json.getJSONArray("unfiltered"))));
            case "report" -> new Report();
            default -> throw new IllegalArgumentException("unknown order " + json.getString(KIND));
        };
    }

    private static Set<String> texts(JSONArray array) {
        Collection<String> texts = new TreeSet<>();
        array.forEach(element -> texts.add((String) element));
        return Set.copyOf(texts);
    }
}
