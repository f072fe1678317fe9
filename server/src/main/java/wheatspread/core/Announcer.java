package wheatspread.core;

/** Publishes to clients whether this server accepts requests, and keeps the published state until it changes. */
public interface Announcer {
    /** Publishes the state; repeating the current state has no effect. Called on the core's thread. */
    void announce(boolean accepting);
}
