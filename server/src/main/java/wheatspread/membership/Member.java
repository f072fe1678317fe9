package wheatspread.membership;

/**
 * A member as all others know it.
 *
 * @param address where its datagrams go, as {@code host:port}
 * @param zone the part of the installation that it stands in; empty where there is none
 * @param build of its program
 * @param config the version of its configuration
 */
public record Member(MemberId id, String address, String zone, String build, long config) {}
