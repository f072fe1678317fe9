package wheatspread.membership;

/**
 * One process of a server: the server's name and the number of its start, which grows from one start to the
 * next. A server that was restarted is another one than before, and what is said of the old one does not hit
 * it.
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
