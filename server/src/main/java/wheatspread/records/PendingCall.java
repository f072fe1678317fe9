package wheatspread.records;

import wheatspread.core.RecordsService;

/**
 * A call without a reply yet.
 *
 * @param connection the connection that carries it
 * @param timeoutMs how long the service may hold it
 */
record PendingCall(
        RecordsConnection connection, String job, byte[] body, long timeoutMs, RecordsService.Listener listener)
        implements RecordsService.Call {
    @Override
    public void cancel() {
        connection.cancel(this);
    }
}
