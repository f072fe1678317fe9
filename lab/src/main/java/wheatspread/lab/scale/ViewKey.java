package wheatspread.lab.scale;

/**
 * Identifies a view, so that two views can be compared.
 *
 * @param id epoch and number of the view, as {@code epoch.number}
 * @param members number of members of the view
 * @param list hash of the members; equal on all servers for the same members
 */
public record ViewKey(String id, int members, String list) {
    @Override
    public String toString() {
        return id + "/" + members + "/" + list;
    }

    /** Parses a text that {@link #toString} wrote. */
    public static ViewKey parse(String text) {
        String[] parts = text.split("/");
        return new ViewKey(parts[0], Integer.parseInt(parts[1]), parts[2]);
    }
}
