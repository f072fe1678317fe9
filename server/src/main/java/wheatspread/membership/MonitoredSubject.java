package wheatspread.membership;

/** A member or joiner that this member observes: its failure detector and the state of the current probe. */
final class MonitoredSubject {
    private final Member member;
    private final FailureDetector detector;
    private int observerIndex;
    private boolean joiner;
    private long probeNumber;
    private int helpersAsked;
    private int nacksReceived;

    private MonitoredSubject(Member member, FailureDetector detector, int observerIndex, boolean joiner) {
        this.member = member;
        this.detector = detector;
        this.observerIndex = observerIndex;
        this.joiner = joiner;
    }

    static MonitoredSubject ofMember(Member member, FailureDetector detector, int observerIndex) {
        return new MonitoredSubject(member, detector, observerIndex, false);
    }

    static MonitoredSubject ofJoiner(Member member, FailureDetector detector, int observerIndex) {
        return new MonitoredSubject(member, detector, observerIndex, true);
    }

    Member member() {
        return member;
    }

    MemberId id() {
        return member.id();
    }

    FailureDetector detector() {
        return detector;
    }

    /** This member's position among the subject's observers. */
    int observerIndex() {
        return observerIndex;
    }

    /** Whether the subject asks to join, and is not in the view. */
    boolean isJoiner() {
        return joiner;
    }

    /** The number of the current probe. */
    long probeNumber() {
        return probeNumber;
    }

    /** How many helpers were asked to probe during the current probe. */
    int helpersAsked() {
        return helpersAsked;
    }

    /** How many helpers said that they had no answer either. */
    int nacksReceived() {
        return nacksReceived;
    }

    /** It is observed as a member of the view from now on. */
    void assignAsMember(int newObserverIndex) {
        observerIndex = newObserverIndex;
        joiner = false;
    }

    void startProbe(long number) {
        probeNumber = number;
        helpersAsked = 0;
        nacksReceived = 0;
    }

    void recordHelperAsked() {
        helpersAsked++;
    }

    void recordNack() {
        nacksReceived++;
    }
}
