package wheatspread.transport;

import wheatspread.connections.Connection;

/** Reads the messages that a connection has received before, and that its last read left for a later iteration. */
final class BufferedRead extends ScheduledRead {
    private final Runnable task;

    BufferedRead(Connection connection, Runnable task) {
        super(connection);
        this.task = task;
    }

    @Override
    void read() {
        task.run();
    }
}
