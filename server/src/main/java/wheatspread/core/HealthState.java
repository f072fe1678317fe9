package wheatspread.core;

/** Whether this server is healthy, for health checks and for the announcer. Owned by the core's thread. */
final class HealthState {
    private final Announcer announcer;
    private final DrainState drain;
    private boolean healthy = true;

    HealthState(Announcer announcer, DrainState drain) {
        this.announcer = announcer;
        this.drain = drain;
    }

    /** Sets and announces the state. A draining server is unhealthy whatever the controller reports. */
    void update(boolean reportedHealthy) {
        healthy = reportedHealthy && !drain.draining();
        announcer.announce(healthy);
    }

    boolean healthy() {
        return healthy;
    }
}
