package wheatspread.config;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import wheatspread.membership.Membership;
import wheatspread.peers.PeerAddress;

/**
 * The operator's file: membership among the servers, which is off where the key is absent. No address has a
 * default.
 *
 * @param cluster servers of another one are not heard
 * @param advertise where other servers reach this one
 * @param seeds advertised addresses of the servers that found a fleet and are asked for it
 * @param zone the part of the installation that this server stands in; empty for none
 */
public record MembershipConfig(
        String cluster, InetSocketAddress listen, String advertise, List<String> seeds, String zone) {
    private static final int MOST_TEXT = 64;

    static MembershipConfig read(JsonFields told) {
        told.only(Set.of("cluster", "listen", "advertise", "seeds", "zone"));
        String cluster = text(told, "cluster", told.text("cluster"));
        if (cluster.isBlank() && told.has("cluster")) {
            told.fault("cluster", "is empty; give the fleet a name", null);
        }
        String listen = address(told, "listen", told.text("listen"));
        boolean any = listen.startsWith("0.0.0.0:");
        if (any && !told.has("advertise")) {
            told.fault("advertise", "is missing; with listen on all addresses it says which one others use", null);
        }
        String advertise =
                any || told.has("advertise") ? address(told, "advertise", told.text("advertise", listen)) : listen;
        List<String> seeds = told.texts("seeds");
        if (seeds.isEmpty() || seeds.size() > Membership.MOST_SEEDS || new HashSet<>(seeds).size() < seeds.size()) {
            told.fault(
                    "seeds",
                    "holds " + seeds.size() + " addresses; allowed are 1 to "
                            + Membership.MOST_SEEDS
                            + " different ones, best 3 or 5",
                    null);
        }
        seeds.forEach(one -> address(told, "seeds", one));
        return new MembershipConfig(
                cluster, PeerAddress.parse(listen), advertise, seeds, text(told, "zone", told.text("zone", "")));
    }

    private static String text(JsonFields told, String key, String text) {
        return text.length() <= MOST_TEXT
                ? text
                : told.fault(key, "has " + text.length() + " characters; allowed are " + MOST_TEXT, "");
    }

    /** Names are not looked up: that would hold the loop. */
    private static String address(JsonFields told, String key, String text) {
        if (PeerAddress.isOne(text)) {
            return text;
        }
        return told.has(key)
                ? told.fault(key, "is no IPv4 address and port, as 10.0.0.7:7400: " + text, "127.0.0.1:1")
                : "127.0.0.1:1";
    }
}
