package wheatspread.membership;

/**
 * Applies gossip updates to the state of the view. Each method returns whether the update was new; an update with an
 * index outside the view is ignored and does not count as new.
 */
final class GossipUpdateHandler implements GossipUpdate.Visitor<Boolean> {
    private final MembershipState state;
    private final MonitoredSubjects subjects;
    private final LocalHealth health;

    GossipUpdateHandler(MembershipState state, MonitoredSubjects subjects, LocalHealth health) {
        this.state = state;
        this.subjects = subjects;
        this.health = health;
    }

    /** Applies an update and returns whether it was new; valid only while this server is in its view. */
    boolean apply(GossipUpdate update) {
        return update.accept(this);
    }

    @Override
    public Boolean visitReport(GossipUpdate.Report update) {
        int subject = update.subject();
        boolean isNew = state.isValidIndex(subject)
                && state.cutDetector().onReport(subject, update.observerIndex(), update.counter());
        if (isNew && subject == state.ownIndex() && CutDetector.isSet(update.counter())) {
            health.onReported();
        }
        return isNew;
    }

    @Override
    public Boolean visitSuspicion(GossipUpdate.Suspicion update) {
        int subject = update.subject();
        boolean isNew = state.isValidIndex(subject)
                && state.cutDetector().onSuspicion(subject, update.observerIndex(), update.counter());
        if (isNew) {
            subjects.updateConfirmations(subject);
        }
        return isNew;
    }

    @Override
    public Boolean visitLeaving(GossipUpdate.Leaving update) {
        return state.isValidIndex(update.member()) && state.cutDetector().onLeaving(update.member());
    }

    @Override
    public Boolean visitJoining(GossipUpdate.Joining update) {
        Member joiner = update.member();
        boolean isNew =
                state.view().indexOf(joiner.id()) < 0 && state.cutDetector().onJoining(joiner);
        if (isNew) {
            subjects.observeJoiner(joiner);
        }
        return isNew;
    }

    @Override
    public Boolean visitJoinerReachable(GossipUpdate.JoinerReachable update) {
        return state.cutDetector().onJoinerReachable(update.joiner(), update.observerIndex(), update.counter());
    }

    @Override
    public Boolean visitFastVotes(GossipUpdate.FastVotes update) {
        return update.voters().length() <= state.view().size()
                && state.agreement().onFastVotes(update.change(), update.voters());
    }

    @Override
    public Boolean visitPrepare(GossipUpdate.Prepare update) {
        return state.agreement().onPrepare(update.ballot());
    }

    @Override
    public Boolean visitPromised(GossipUpdate.Promised update) {
        return state.isValidIndex(update.member())
                && state.agreement().onPromise(update.ballot(), update.member(), update.promise());
    }

    @Override
    public Boolean visitAccepted(GossipUpdate.Accepted update) {
        return update.voters().length() <= state.view().size()
                && state.agreement().onAccepted(update.ballot(), update.change(), update.voters());
    }
}
