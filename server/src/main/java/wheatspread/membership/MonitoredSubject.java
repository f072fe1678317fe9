package wheatspread.membership;

/** A member or joiner that this member observes, with its failure detector and the state of the current probe. */
final class MonitoredSubject {
    private final Member member;
    private final FailureDetector detector;
    private int observerIndex;
    private boolean joiner;
    private long probeNumber;
    private int helpersRequested;
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

    /** Returns this member's position among the subject's observers. */
    int observerIndex() {
        return observerIndex;
    }

    /** Returns whether the subject is a joiner, which is not in the view. */
    boolean isJoiner() {
        return joiner;
    }

    long probeNumber() {
        return probeNumber;
    }

    /** Returns the number of helpers that were requested to probe during the current probe. */
    int helpersRequested() {
        return helpersRequested;
    }

    /** Returns the number of helpers that replied to the current probe with a nack. */
    int nacksReceived() {
        return nacksReceived;
    }

    /** Changes the subject to a member of the view, for the case that it was a joiner or its observers changed. */
    void assignAsMember(int newObserverIndex) {
        observerIndex = newObserverIndex;
        joiner = false;
    }

    void startProbe(long number) {
        probeNumber = number;
        helpersRequested = 0;
        nacksReceived = 0;
    }

    void recordHelperRequested() {
        helpersRequested++;
    }

    void recordNack() {
        nacksReceived++;
    }
}
