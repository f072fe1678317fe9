package wheatspread.lab.scale;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.json.JSONArray;
import org.json.JSONObject;

/**
 * What the rig asks of a process of hollow servers: one line of JSON each on its standard input. Every order is
 * answered by one {@link HollowReport} once it is carried out, restarts and leaves once they are begun.
 */
public sealed interface HollowOrder {
    /** The order's name on the wire. */
    String KIND = "order";

    /** Starts these members. */
    record Start(List<MemberSpec> members) implements HollowOrder {
        public Start {
            members = List.copyOf(members);
        }
    }

    /** Closes the sockets of these members at once, without a word to the others. */
    record Crash(Set<String> names) implements HollowOrder {
        public Crash {
            names = Set.copyOf(names);
        }
    }

    /**
     * Ends one member and starts it again.
     *
     * @param next the later start
     * @param clean whether it leaves the fleet before it ends, instead of ending at once
     */
    record Restart(MemberSpec next, boolean clean) implements HollowOrder {}

    /** Sets the faults of the links from now on. */
    record Links(LinkFaults faults) implements HollowOrder {}

    /** Asks for a report alone. */
    record Report() implements HollowOrder {}

    /** This order as one line of text. */
    default String toLine() {
        JSONObject told = new JSONObject();
        if (this instanceof Start start) {
            JSONArray members = new JSONArray();
            start.members.forEach(one -> members.put(one.toJson()));
            told.put(KIND, "start").put("members", members);
        } else if (this instanceof Crash crash) {
            told.put(KIND, "crash").put("names", new JSONArray(crash.names));
        } else if (this instanceof Restart restart) {
            told.put(KIND, "restart").put("next", restart.next.toJson()).put("clean", restart.clean);
        } else if (this instanceof Links links) {
            told.put(KIND, "links")
                    .put("loss", links.faults.loss())
                    .put("side", new JSONArray(links.faults.side()))
                    .put("unfiltered", new JSONArray(links.faults.unfiltered()));
        } else {
            told.put(KIND, "report");
        }
        return told.toString();
    }

    /** The order in a line; throws {@link IllegalArgumentException} where there is none of a known name. */
    static HollowOrder fromLine(String line) {
        JSONObject told = new JSONObject(line);
        return switch (told.getString(KIND)) {
            case "start" -> {
                JSONArray members = told.getJSONArray("members");
                List<MemberSpec> specs = new ArrayList<>();
                for (int i = 0; i < members.length(); i++) {
                    specs.add(MemberSpec.fromJson(members.getJSONObject(i)));
                }
                yield new Start(specs);
            }
            case "crash" -> new Crash(texts(told.getJSONArray("names")));
            case "restart" -> new Restart(MemberSpec.fromJson(told.getJSONObject("next")), told.getBoolean("clean"));
            case "links" ->
                new Links(new LinkFaults(
                        told.getDouble("loss"),
                        texts(told.getJSONArray("side")),
                        texts(told.getJSONArray("unfiltered"))));
            case "report" -> new Report();
            default -> throw new IllegalArgumentException("unknown order " + told.getString(KIND));
        };
    }

    private static Set<String> texts(JSONArray told) {
        Collection<String> all = new TreeSet<>();
        told.forEach(one -> all.add((String) one));
        return Set.copyOf(all);
    }
}
