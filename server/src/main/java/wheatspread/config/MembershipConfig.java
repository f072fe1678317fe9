package wheatspread.config;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import wheatspread.membership.Membership;
import wheatspread.peers.PeerAddress;

/**
 * The settings of cluster membership in the operator's file. Membership is disabled if its key is absent. Addresses
 * have no defaults.
 *
 * @param cluster the name of the cluster; messages of other clusters are ignored
 * @param advertise the address at which other servers reach this server
 * @param seeds the advertised addresses of the servers that bootstrap the cluster and answer join requests
 * @param zone the availability zone of this server; empty for none
 */
public record MembershipConfig(
        String cluster, InetSocketAddress listen, String advertise, List<String> seeds, String zone) {
    private static final int MAX_TEXT_CHARS = 64;

    static MembershipConfig read(JsonFields fields) {
        fields.requireKnownKeys(Set.of("cluster", "listen", "advertise", "seeds", "zone"));
        String cluster = text(fields, "cluster", fields.text("cluster"));
        if (cluster.isBlank() && fields.has("cluster")) {
            fields.report("cluster", "is blank; expected the name of the cluster", null);
        }
        String listen = address(fields, "listen", fields.text("listen"));
        boolean anyAddress = listen.startsWith("0.0.0.0:");
        if (anyAddress && !fields.has("advertise")) {
            fields.report(
                    "advertise",
                    "is missing; it is required if listen is 0.0.0.0, and names the address for other servers",
                    null);
        }
        String advertise = anyAddress || fields.has("advertise")
                ? address(fields, "advertise", fields.text("advertise", listen))
                : listen;
        List<String> seeds = fields.textList("seeds");
        if (seeds.isEmpty() || seeds.size() > Membership.MAX_SEEDS || new HashSet<>(seeds).size() < seeds.size()) {
            fields.report(
                    "seeds",
                    "has " + seeds.size() + " addresses; allowed are 1 to "
                            + Membership.MAX_SEEDS
                            + " different addresses, recommended are 3 or 5",
                    null);
        }
        seeds.forEach(seed -> address(fields, "seeds", seed));
        return new MembershipConfig(
                cluster, PeerAddress.parse(listen), advertise, seeds, text(fields, "zone", fields.text("zone", "")));
    }

    private static String text(JsonFields fields, String key, String text) {
        return text.length() <= MAX_TEXT_CHARS
                ? text
                : fields.report(key, "has " + text.length() + " characters; allowed are up to " + MAX_TEXT_CHARS, "");
    }

    /** Checks an address. Host names are rejected, since resolving them would block the event loop. */
    private static String address(JsonFields fields, String key, String text) {
        if (PeerAddress.isValid(text)) {
            return text;
        }
        return fields.has(key)
                ? fields.report(key, "is not an IPv4 address and port such as 10.0.0.7:7400: " + text, "127.0.0.1:1")
                : "127.0.0.1:1";
    }
}
