package wheatspread.membership;

/**
 * The identity of one process of a server. A server that restarted is another member than before: what is reported of
 * the earlier process does not affect it, and it can't vote again where that one may have voted.
 *
 * @param name the server's name
 * @param start the incarnation: a number that grows from one start of the server to the next
 */
public record MemberId(String name, long start) implements Comparable<MemberId> {
    @Override
    public int compareTo(MemberId other) {
        int byName = name.compareTo(other.name);
        return byName != 0 ? byName : Long.compare(start, other.start);
    }

    @Override
    public String toString() {
        return name + "#" + start;
    }
}
