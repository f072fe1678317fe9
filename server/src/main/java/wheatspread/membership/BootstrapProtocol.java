package wheatspread.membership;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import wheatspread.membership.Message.Body;

/** The messages of {@link ClusterBootstrap}: requests for consent, answers to others' requests, and consents. */
final class BootstrapProtocol {
    private final MembershipState state;
    private final List<String> seeds;
    private final ClusterBootstrap bootstrap;
    private final MessageSender sender;

    BootstrapProtocol(MembershipState state, List<String> seeds, ClusterBootstrap bootstrap, MessageSender sender) {
        this.state = state;
        this.seeds = List.copyOf(seeds);
        this.bootstrap = bootstrap;
        this.sender = sender;
    }

    /** The next time at which {@link #run} has something to do. */
    long nextStepMicros() {
        return bootstrap.nextStepMicros();
    }

    /**
     * Takes the next step towards a new cluster, where it is time for one.
     *
     * @param unixMillis the time by the calendar, for the epoch
     * @return the first view of the new cluster, to be installed; null while there is none
     */
    View run(long nowMicros, long unixMillis) {
        if (state.isLeaving()) {
            return null;
        }
        if (bootstrap.isOrderedByOperator() && state.isQuorumReachable(nowMicros)) {
            bootstrap.onEnteredView(); // the quorum came back before the order was carried out
        }
        return switch (bootstrap.nextStep(state.self(), nowMicros, unixMillis)) {
            case NOTHING -> null;
            case REQUEST_CONSENT -> {
                requestConsent(nowMicros);
                yield null;
            }
            case FORM_CLUSTER -> bootstrap.firstView();
        };
    }

    private void requestConsent(long nowMicros) {
        boolean ordered = bootstrap.isOrderedByOperator();
        Set<String> recipients = new LinkedHashSet<>(seeds);
        if (ordered && state.view() != null) {
            state.view().members().forEach(member -> recipients.add(member.address()));
        }
        recipients.remove(state.self().address());
        for (String address : recipients) {
            sender.sendWithoutGossip(address, new Body.BootstrapRequest(bootstrap.epoch(), ordered), nowMicros);
        }
    }

    /**
     * An operator orders a new cluster.
     *
     * @return why it is refused, or null
     */
    String orderByOperator(long nowMicros) {
        if (!bootstrap.isSeed()) {
            return "only a seed founds";
        }
        if (state.isQuorumReachable(nowMicros)) {
            return "the view " + state.viewId() + " stands";
        }
        bootstrap.orderByOperator(nowMicros);
        return null;
    }

    void onRequest(String address, MemberId founder, Body.BootstrapRequest request, long nowMicros) {
        boolean inNoOtherCluster = request.operatorOrdered() ? !state.isQuorumReachable(nowMicros) : !state.isMember();
        boolean free = !state.isLeaving() && inNoOtherCluster;
        if (bootstrap.grantConsent(founder, free, nowMicros)) {
            sender.sendWithoutGossip(address, new Body.BootstrapConsent(request.epoch(), state.self()), nowMicros);
        }
    }

    void onConsent(Body.BootstrapConsent consent, long nowMicros) {
        bootstrap.onConsent(consent.epoch(), consent.member(), nowMicros);
    }
}
