package wheatspread.core;

/** Tells callers whether this server takes work, and keeps telling them. */
public interface Announcer {
    void announce(boolean accepting);
}
