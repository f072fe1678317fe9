package wheatspread.lab.scale;

/**
 * Which view a server holds, with enough to tell two views apart.
 *
 * @param id epoch and number, as {@code epoch.number}
 * @param members how many it holds
 * @param list a hash of its members, the same on every server for the same members
 */
public record ViewKey(String id, int members, String list) {
    @Override
    public String toString() {
        return id + "/" + members + "/" + list;
    }

    /** The view that {@link #toString} wrote. */
    public static ViewKey parse(String text) {
        String[] parts = text.split("/");
        return new ViewKey(parts[0], Integer.parseInt(parts[1]), parts[2]);
    }
}
