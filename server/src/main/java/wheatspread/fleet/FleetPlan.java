package wheatspread.fleet;

import java.util.List;

/**
 * What an operator wants of a fleet. Times are microseconds.
 *
 * @param members the names, in the order in which they are started and rolled
 * @param build the label of the build that members start with
 * @param startAtOnce how many may be starting together when the fleet comes up
 * @param startTimeout a member that is not well by then is killed
 * @param stopAfter a member that has not left so long after its notice is killed
 * @param stale a state heard longer ago than this is said to be stale
 * @param badAfter so many bad checks in a row make a member unwell
 * @param hung a member that lives and answers no check for so long is killed; 0 for never
 * @param settle how long a start whose outcome a dead supervisor didn't note may take to show itself
 */
public record FleetPlan(
        List<String> members,
        String build,
        int startAtOnce,
        long startTimeout,
        long stopAfter,
        long stale,
        int badAfter,
        long hung,
        long settle,
        Rolling rolling,
        Backoff backoff) {
    public FleetPlan {
        members = List.copyOf(members);
    }

    /**
     * How a build replaces another.
     *
     * @param outShare so large a share of the fleet may be out of service at a time, for whatever reason
     * @param outMost and so many members, 0 for no such bound; one member always may
     * @param provenAnswers so many served requests prove a successor
     * @param provenAfter it must have been well so long at least
     * @param provenPatience well for so long proves it too, for a fleet that nobody asks
     * @param failedShare a successor that fails a larger share of its requests has failed itself
     * @param mostFailures so many failed successors stop the roll
     * @param rollBack whether the old build takes over again then
     */
    public record Rolling(
            double outShare,
            int outMost,
            int provenAnswers,
            long provenAfter,
            long provenPatience,
            double failedShare,
            int mostFailures,
            boolean rollBack) {
        /** How many of a fleet may be out of service together. */
        public int mostOut(int fleet) {
            int byShare = Math.max(1, (int) Math.floor(outShare * fleet + 1e-9));
            return outMost == 0 ? byShare : Math.min(outMost, byShare);
        }
    }

    /**
     * How members that ended come back.
     *
     * @param first pause before the first start
     * @param factor by which it grows with every further one
     * @param longest the longest pause
     * @param jitter pauses are spread by this share to both sides
     * @param forgiven a member that ran so long starts from the first pause again
     * @param loopExits so many ends within {@code loopWithin} are a crash loop, and the member is held
     * @param holdFor how long it is held; 0 until an operator starts it
     */
    public record Backoff(
            long first,
            double factor,
            long longest,
            double jitter,
            long forgiven,
            int loopExits,
            long loopWithin,
            long holdFor) {}
}
