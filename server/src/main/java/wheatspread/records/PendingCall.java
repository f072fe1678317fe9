package wheatspread.records;

import wheatspread.core.RecordsService;

/**
 * A call that has not been answered yet.
 *
 * @param connection the connection that carries the call
 * @param job the id of the run that made the call
 * @param body the request body
 * @param timeoutMs how long the service may hold the call, in milliseconds
 * @param listener receives the end of the call
 */
record PendingCall(
        RecordsConnection connection, String job, byte[] body, long timeoutMs, RecordsService.Listener listener)
        implements RecordsService.Call {
    @Override
    public void cancel() {
        connection.cancel(this);
    }
}
