package wheatspread.core;

import wheatspread.admission.Outcome;

/** The records service, the dependency that runs call. */
public interface RecordsService {
    /** Starts a call, which the service may hold for up to {@code timeoutMicros} microseconds. */
    Call call(String job, byte[] body, long timeoutMicros, Listener listener);

    /** A call in flight. */
    interface Call {
        /** Cancels the call; its listener is not called afterwards. */
        void cancel();
    }

    /** Receives the end of one call, on the core's thread. */
    interface Listener {
        /** The call ended; {@code reply} is null unless the outcome is {@link Outcome#OK}. */
        void onCallEnded(Outcome outcome, byte[] reply);
    }
}
