package wheatspread.transport;

import wheatspread.connections.Connection;

/** Reads the messages that a connection has received before, and that its last read left for a later iteration. */
final class BufferedRead extends ScheduledRead {
    private final EventLoopScheduler scheduler;
    private final Runnable task;
    private boolean scheduled;

    BufferedRead(Connection connection, EventLoopScheduler scheduler, Runnable task) {
        super(connection);
        this.scheduler = scheduler;
        this.task = task;
    }

    /** Schedules the read for the next iteration, unless it is scheduled. */
    void schedule() {
        if (!scheduled) {
            scheduled = true;
            scheduler.continueRead(this);
        }
    }

    @Override
    void read() {
        scheduled = false;
        task.run();
    }
}
