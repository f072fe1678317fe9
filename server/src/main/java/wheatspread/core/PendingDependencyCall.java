package wheatspread.core;

/**
 * The dependency call that one attempt's run waits for: from the kernel's notice until the reply is handed over,
 * the call is skipped, or the run ends. One object serves all calls of its attempt, one after another.
 */
final class PendingDependencyCall {
    /** The kernel's notice that asked for the call; 0 while the run waits for none. */
    private long noticeNumber;

    private byte[] body;
    private RecordsService.Call call;
    private Clock.Timer timeout;

    /** The run waits for a call. */
    void await(long noticeNumber, byte[] body) {
        this.noticeNumber = noticeNumber;
        this.body = body;
    }

    /** Whether the run waits for a call, whether or not one was started. */
    boolean awaited() {
        return noticeNumber != 0;
    }

    long noticeNumber() {
        return noticeNumber;
    }

    byte[] body() {
        return body;
    }

    /** The run goes on. */
    void resolved() {
        noticeNumber = 0;
        body = null;
    }

    void setTimeout(Clock.Timer timer) {
        timeout = timer;
    }

    void started(RecordsService.Call started) {
        call = started;
    }

    /** The service has ended the call. */
    void ended() {
        timeout.cancel();
        call = null;
    }

    /** Cancels the call in flight, if any; its listener is not called any more. */
    void cancel() {
        if (call != null) {
            call.cancel();
            call = null;
            timeout.cancel();
        }
    }
}
