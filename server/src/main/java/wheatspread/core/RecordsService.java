package wheatspread.core;

import wheatspread.admission.Outcome;

/** The records service that runs call. */
public interface RecordsService {
    /** Makes a call, which the service may hold for {@code patience} microseconds. */
    Call call(String job, byte[] body, long patience, Listener listener);

    /** A call under way. */
    interface Call {
        /** Gives the call up; its listener hears nothing more. */
        void giveUp();
    }

    /** Hears the end of one call; {@code reply} is null unless it went well. */
    interface Listener {
        void ended(Outcome outcome, byte[] reply);
    }
}
