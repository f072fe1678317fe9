package wheatspread.membership;

/**
 * A member of the cluster, with the attributes that it sends to the other members. The log contains a hash of each
 * view, which is computed from the results of {@link #toString}. The components must not be renamed, since servers of
 * two versions must log equal hashes for equal views.
 *
 * @param address the address to which messages for the member are sent, as {@code host:port}
 * @param zone the failure domain of the member; empty if none is configured
 * @param build the version of the member's program
 * @param config the version of the member's configuration
 */
public record Member(MemberId id, String address, String zone, String build, long config) {}
