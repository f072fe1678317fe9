package wheatspread.core;

/**
 * Publishes to clients whether this server accepts requests, and renews the published state until another state is
 * published.
 */
public interface Announcer {
    /** Publishes the state; repeating the current state has no effect. Called on the core's thread. */
    void announce(boolean accepting);
}
