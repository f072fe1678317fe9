package wheatspread.membership;

/**
 * The view that this member holds, its own place in it, and what it knows about that view. All other parts read it;
 * {@link ViewInstaller} replaces the view as a whole.
 */
final class MembershipState {
    private static final int NOT_A_MEMBER = -1;
    private static final long DIGEST_FACTOR = 31;
    /** Servers that may ask to join during one view; further ones join in the next. */
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

    /** This member under its present incarnation. */
    Member self() {
        return self;
    }

    /** The view that is held; null before the first. */
    View view() {
        return view;
    }

    /** The number of the view that is held, {@link ViewId#NONE} before the first. */
    ViewId viewId() {
        return view == null ? ViewId.NONE : view.id();
    }

    /** Whether this member is in the view that it holds. */
    boolean isMember() {
        return ownIndex != NOT_A_MEMBER;
    }

    /** This member's index in the view; only while {@link #isMember}. */
    int ownIndex() {
        return ownIndex;
    }

    /** What is reported about the members of this view; only while {@link #isMember}. */
    CutDetector cutDetector() {
        return cutDetector;
    }

    /** Whether a quorum of this view seems reachable; only while {@link #isMember}. */
    QuorumReachability reachability() {
        return reachability;
    }

    /** The agreement on the change that ends this view; only while {@link #isMember}. */
    ViewAgreement agreement() {
        return agreement;
    }

    /** Whether this member has announced that it leaves. */
    boolean isLeaving() {
        return leaving;
    }

    /** Whether this member is in its view and a quorum of it seems reachable. */
    boolean isQuorumReachable(long nowMicros) {
        return isMember() && reachability.isReachable(nowMicros);
    }

    /** Why no quorum seems reachable, for operators; null where one does. */
    String unreachableReason(long nowMicros) {
        return isMember() ? reachability.unreachableReason(nowMicros) : "this server is not in it";
    }

    /** Whether the view has a member of this index. */
    boolean isValidIndex(int member) {
        return member >= 0 && member < view.size();
    }

    /** Equal on two members that know the same about this view; 0 while this one is not a member. */
    long digest() {
        return isMember() ? cutDetector.digest() * DIGEST_FACTOR + agreement.digest() : 0;
    }

    void setLeaving() {
        leaving = true;
    }

    /** Continues under the next incarnation, which is another member to all others. */
    void advanceIncarnation() {
        MemberId next = new MemberId(self.id().name(), self.id().start() + 1);
        self = new Member(next, self.address(), self.zone(), self.build(), self.config());
    }

    /** Holds this view from now on, with nothing known about it yet. */
    void enter(View next, long nowMicros) {
        view = next;
        ownIndex = next.indexOf(self.id());
        if (isMember()) {
            reachability = new QuorumReachability(next, ownIndex, nowMicros);
            cutDetector = new CutDetector(next, MAX_JOINERS);
            agreement = new ViewAgreement(next, ownIndex);
        }
    }
}
