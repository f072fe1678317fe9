package wheatspread.core;

/**
 * The dependency call that an attempt's run waits for. A call is pending after the kernel's notice until its reply
 * is passed to the kernel, the call is skipped, or the run ends. An attempt uses one object for all its calls,
 * because it has at most one call at a time.
 */
final class PendingDependencyCall {
    /** The number of the kernel's notice that requested the call; 0 if the run does not wait for a call. */
    private long noticeNumber;

    private byte[] body;
    private RecordsService.Call call;
    private Clock.Timer timeout;

    /** Records that the run waits for a call. */
    void markAwaited(long noticeNumber, byte[] body) {
        this.noticeNumber = noticeNumber;
        this.body = body;
    }

    /** Returns whether the run waits for a call, whether or not the call was started. */
    boolean isAwaited() {
        return noticeNumber != 0;
    }

    long noticeNumber() {
        return noticeNumber;
    }

    byte[] body() {
        return body;
    }

    /** Records that the run continues, with the reply or without the call. */
    void markResolved() {
        noticeNumber = 0;
        body = null;
    }

    void setTimeout(Clock.Timer timer) {
        timeout = timer;
    }

    void markStarted(RecordsService.Call startedCall) {
        call = startedCall;
    }

    /** Cancels the timeout of a call that the service has ended. */
    void markEnded() {
        timeout.cancel();
        call = null;
    }

    /** Cancels the call in flight, if any; its listener is not called afterwards. */
    void cancel() {
        if (call != null) {
            call.cancel();
            call = null;
            timeout.cancel();
        }
    }
}
