package wheatspread.membership;

/**
 * The identity of one incarnation of a server. A restarted server is a different member: reports about its earlier
 * incarnation do not affect it, and it can't vote a second time in a view in which the earlier one may have voted.
 *
 * @param name the server's name
 * @param incarnation a number that increases with each start of the server
 */
public record MemberId(String name, long incarnation) implements Comparable<MemberId> {
    @Override
    public int compareTo(MemberId other) {
        int byName = name.compareTo(other.name);
        return byName != 0 ? byName : Long.compare(incarnation, other.incarnation);
    }

    @Override
    public String toString() {
        return name + "#" + incarnation;
    }
}
