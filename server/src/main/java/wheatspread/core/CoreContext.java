package wheatspread.core;

import wheatspread.logging.EventLog;

/** What the collaborators of one {@link Core} share. Each takes what it needs when it is built. */
record CoreContext(
        Clock clock,
        EventLog log,
        ActiveSettings settings,
        DrainState drain,
        AttemptTable attempts,
        IdempotencyTable idempotencyTable,
        RequestCounters counters,
        AttachedKernel kernel,
        EventBatcher events) {

    /** The shared objects of a new core with these settings. */
    static CoreContext create(DeploymentSettings initial, Clock clock, EventLog log) {
        ActiveSettings settings = new ActiveSettings(initial);
        AttachedKernel kernel = new AttachedKernel();
        return new CoreContext(
                clock,
                log,
                settings,
                new DrainState(settings),
                new AttemptTable(),
                new IdempotencyTable(initial),
                new RequestCounters(),
                kernel,
                new EventBatcher(clock, kernel, log));
    }
}
