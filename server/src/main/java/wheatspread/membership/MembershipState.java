package wheatspread.membership;

/**
 * The installed view, this member's index in it, and the evidence, votes and reachability recorded for that view. All
 * other parts read this state; {@link ViewInstaller} replaces the view as a whole.
 */
final class MembershipState {
    private static final int NOT_A_MEMBER = -1;
    private static final long DIGEST_FACTOR = 31;
    /** The maximum number of joiners during one view; further servers can join during the next view. */
    private static final int MAX_JOINERS = 256;

    private Member self;
    private View view;
    private int ownIndex = NOT_A_MEMBER;
    private CutDetector cutDetector;
    private QuorumReachability reachability;
    private ViewAgreement agreement;
    private boolean leaving;

    MembershipState(Member self) {
        this.self = self;
    }

    /** Returns this member with its current incarnation. */
    Member self() {
        return self;
    }

    /** Returns the installed view; null before the first view is installed. */
    View view() {
        return view;
    }

    /** Returns the number of the installed view; {@link ViewId#NONE} before the first view is installed. */
    ViewId viewId() {
        return view == null ? ViewId.NONE : view.id();
    }

    /** Returns whether this member is in the installed view. */
    boolean isMember() {
        return ownIndex != NOT_A_MEMBER;
    }

    /** Returns this member's index in the view; valid only while {@link #isMember} returns true. */
    int ownIndex() {
        return ownIndex;
    }

    /** Returns the reports about members of this view; valid only while {@link #isMember} returns true. */
    CutDetector cutDetector() {
        return cutDetector;
    }

    /** Returns the quorum reachability of this view; valid only while {@link #isMember} returns true. */
    QuorumReachability reachability() {
        return reachability;
    }

    /** Returns the agreement on the next view change; valid only while {@link #isMember} returns true. */
    ViewAgreement agreement() {
        return agreement;
    }

    /** Returns whether this member has announced that it leaves. */
    boolean isLeaving() {
        return leaving;
    }

    /** Returns whether this member is in its view and a quorum of the view appears to be reachable. */
    boolean isQuorumReachable(long nowMicros) {
        return isMember() && reachability.isReachable(nowMicros);
    }

    /** Returns, for operators, why no quorum appears to be reachable; null if a quorum is reachable. */
    String unreachableReason(long nowMicros) {
        return isMember() ? reachability.unreachableReason(nowMicros) : "this server is not a member of its view";
    }

    /** Returns whether the view has a member with this index. */
    boolean isValidIndex(int member) {
        return member >= 0 && member < view.size();
    }

    /**
     * Returns a digest of the reports and votes known for this view, which is equal on members with equal knowledge; 0
     * while this server is not a member.
     */
    long digest() {
        return isMember() ? cutDetector.digest() * DIGEST_FACTOR + agreement.digest() : 0;
    }

    void setLeaving() {
        leaving = true;
    }

    /** Increments this member's incarnation; other members treat the new incarnation as a different member. */
    void advanceIncarnation() {
        MemberId next = new MemberId(self.id().name(), self.id().incarnation() + 1);
        self = new Member(next, self.address(), self.zone(), self.build(), self.config());
    }

    /** Replaces the installed view and discards the reports and votes that belong to the previous view. */
    void installView(View next, long nowMicros) {
        view = next;
        ownIndex = next.indexOf(self.id());
        if (isMember()) {
            reachability = new QuorumReachability(next, ownIndex, nowMicros);
            cutDetector = new CutDetector(next, MAX_JOINERS);
            agreement = new ViewAgreement(next, ownIndex);
        }
    }
}
