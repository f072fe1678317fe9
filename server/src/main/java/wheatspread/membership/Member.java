package wheatspread.membership;

/**
 * A member as all others know it. The text form of this record is part of the hash by which servers log a view, so its
 * component names stay as they are: servers of two versions log equal hashes for equal views.
 *
 * @param address where its messages go, as {@code host:port}
 * @param zone the failure domain that it is in; empty where there is none
 * @param build the version of its program
 * @param config the version of its configuration
 */
public record Member(MemberId id, String address, String zone, String build, long config) {}
