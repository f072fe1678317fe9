package wheatspread.transport;

import wheatspread.connections.Connection;
import wheatspread.scheduling.PendingRead;

/** A read of a connection that waits in the read scheduler: from its socket, or of bytes received before. */
abstract class ScheduledRead extends PendingRead {
    protected final Connection connection;

    ScheduledRead(Connection connection) {
        this.connection = connection;
    }

    /** Performs the read, after the read scheduler has taken it from its queue. */
    abstract void read();

    @Override
    protected final boolean hasOpenRequests() {
        return connection.openRequests() > 0;
    }

    @Override
    protected final long lastUsedMicros() {
        return connection.lastUsedMicros();
    }
}
