package wheatspread.membership;

import java.util.List;

/**
 * Why somebody went from one view to the next, as far as it was known where this is told.
 *
 * @param witnesses names of the watchers that reported it; none where it went by itself or was restarted
 */
public record Departure(MemberId who, Cause cause, List<String> witnesses) {
    /** What took it out. */
    public enum Cause {
        /** It said that it goes. */
        LEFT,
        /** Its watchers missed it. */
        MISSED,
        /** The next process of its name was there already. */
        RESTARTED,
        /** The view was told by others, who may know. */
        TOLD
    }
}
