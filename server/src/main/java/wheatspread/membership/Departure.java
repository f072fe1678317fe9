package wheatspread.membership;

import java.util.List;

/**
 * A member of a view that is not in the next view, with the cause as far as this server knows it.
 *
 * @param witnesses the names of the observers that reported the member down; empty if there are none
 */
public record Departure(MemberId member, Cause cause, List<String> witnesses) {
    /** The reason for which a member departed. */
    public enum Cause {
        /** The member announced that it leaves. */
        LEFT("LEFT"),
        /** The member's observers reported it down. */
        REPORTED_DOWN("MISSED"),
        /** A later incarnation of the member joined. */
        RESTARTED("RESTARTED"),
        /** Another member sent the new view, and this server does not know the cause. */
        LEARNT_FROM_PEER("TOLD");

        private final String logName;

        Cause(String logName) {
            this.logName = logName;
        }

        /** Returns the name in the log, which must not change when the constant is renamed. */
        public String logName() {
            return logName;
        }
    }
}
