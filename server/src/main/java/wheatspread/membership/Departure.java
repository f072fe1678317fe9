package wheatspread.membership;

import java.util.List;

/**
 * A member of one view that is not in the next, with the cause as far as it is known on this server.
 *
 * @param witnesses names of the observers that reported it down, if any
 */
public record Departure(MemberId member, Cause cause, List<String> witnesses) {
    /** Why a member departed. */
    public enum Cause {
        /** It announced that it leaves. */
        LEFT("LEFT"),
        /** Its observers reported it down. */
        REPORTED_DOWN("MISSED"),
        /** A later incarnation of it joined. */
        RESTARTED("RESTARTED"),
        /** The view was learnt from another member, which may know the cause. */
        LEARNT_FROM_PEER("TOLD");

        private final String logName;

        Cause(String logName) {
            this.logName = logName;
        }

        /** The name in the log, which stays when the constant is renamed. */
        public String logName() {
            return logName;
        }
    }
}
