package wheatspread.core;

/** Publishes to callers whether this server accepts requests, and keeps the published state until it changes. */
public interface Announcer {
    /** Publishes the state; the same state may be given again. Called on the core's thread. */
    void announce(boolean accepting);
}
