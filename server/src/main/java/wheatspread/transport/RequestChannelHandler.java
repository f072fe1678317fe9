package wheatspread.transport;

import wheatspread.core.Answer;
import wheatspread.core.Core;
import wheatspread.core.Reply;

/** The handler of a client's channel in a protocol whose requests go to the core. Used on the event loop only. */
public abstract class RequestChannelHandler extends ClientChannelHandler {
    protected RequestChannelHandler(Listener listener) {
        super(listener);
    }

    /** Returns whether the protocol may read another message now. */
    protected final boolean mayReadMessage() {
        return !readBudget().isExhausted() && acceptsMoreRequests();
    }

    /** Counts a complete message that was read. */
    protected final void countMessage() {
        readBudget().countMessage();
    }

    /** Counts a message that is answered without the core. */
    protected final void countImmediateAnswer() {
        readBudget().countImmediateAnswer();
    }

    /** Counts a message that is answered with an error because it is malformed or exceeds a limit. */
    protected final void countMalformedMessage() {
        listener.table().counters().countMalformedMessage();
    }

    /**
     * Rejects the request that was just read, if the burst limiter does not admit it during a reconnect burst:
     * answers it through {@code reply} with a retry-after. Returns whether the request was rejected.
     */
    protected final boolean rejectIfBurst(Core core, int requestClass, Reply reply) {
        EventLoopScheduler scheduler = listener.scheduler();
        if (scheduler.tryAdmit()) {
            return false;
        }
        connection().setCountsAsIdle(true);
        core.reject(requestClass, reply, scheduler.burstLimiter().retryAfterMicros(core.maxRetryAfterMicros()));
        return true;
    }

    /**
     * Returns whether the burst limiter counts the request being read; the result must be passed to
     * {@link #requestEnded} when the request ends.
     */
    protected final boolean isCountedByBurstLimiter() {
        return listener.scheduler().isReadingIdle();
    }

    /** Reports the end of a request that the burst limiter did not reject, to the limiter and the listener. */
    protected final void requestEnded(boolean countedByBurstLimiter, Answer.Kind kind) {
        if (countedByBurstLimiter) {
            listener.scheduler().burstLimiter().completed(kind == Answer.Kind.SERVED);
        }
        if (kind == Answer.Kind.REJECTED) {
            listener.requestRejected();
        }
    }
}
