package wheatspread.core;

import wheatspread.logging.EventLog;

/** The objects shared by the collaborators of a {@link Core}. Each collaborator copies the references it needs. */
record CoreContext(
        Clock clock,
        EventLog log,
        ActiveSettings settings,
        DrainState drain,
        AttemptTable attempts,
        StartedAttempts startedAttempts,
        IdempotencyTable idempotencyTable,
        RequestCounters counters,
        AttachedKernel kernel,
        EventBatcher events) {

    /** Creates the shared objects of a new core with these settings. */
    static CoreContext create(DeploymentSettings initial, Clock clock, EventLog log) {
        ActiveSettings settings = new ActiveSettings(initial);
        AttachedKernel kernel = new AttachedKernel();
        return new CoreContext(
                clock,
                log,
                settings,
                new DrainState(settings),
                new AttemptTable(),
                new StartedAttempts(),
                new IdempotencyTable(initial),
                new RequestCounters(),
                kernel,
                new EventBatcher(clock, kernel, log));
    }
}
