package wheatspread.membership;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import wheatspread.membership.Message.Body;

/** Sends and handles the messages of {@link ClusterBootstrap}: requests for consent, and consents. */
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

    /** Returns the next time at which {@link #run} has a step to take; {@link Long#MAX_VALUE} if there is none. */
    long nextStepMicros() {
        return bootstrap.nextStepMicros();
    }

    /**
     * Takes the next step towards a new cluster if one is due.
     *
     * @param unixMillis the wall-clock time, from which the epoch is derived
     * @return the first view of the new cluster, which the caller must install; null while there is none
     */
    View run(long nowMicros, long unixMillis) {
        if (state.isLeaving()) {
            return null;
        }
        if (bootstrap.isOrderedByOperator() && state.isQuorumReachable(nowMicros)) {
            // the quorum became reachable again before the cluster was formed, so the order is cancelled
            bootstrap.onEnteredView();
        }
        return switch (bootstrap.advance(state.self(), nowMicros, unixMillis)) {
            case NOTHING -> null;
            case REQUEST_CONSENT -> {
                requestConsent(nowMicros);
                yield null;
            }
            case FORM_CLUSTER -> bootstrap.firstView();
        };
    }

    private void requestConsent(long nowMicros) {
        boolean operatorOrdered = bootstrap.isOrderedByOperator();
        Set<String> recipients = new LinkedHashSet<>(seeds);
        if (operatorOrdered && state.view() != null) {
            state.view().members().forEach(member -> recipients.add(member.address()));
        }
        recipients.remove(state.self().address());
        for (String address : recipients) {
            sender.sendWithoutGossip(address, new Body.BootstrapRequest(bootstrap.epoch(), operatorOrdered), nowMicros);
        }
    }

    /**
     * Starts forming a new cluster on an operator's order.
     *
     * @return why the order is refused; null if it is accepted
     */
    String orderByOperator(long nowMicros) {
        if (!bootstrap.isSeed()) {
            return "only a seed can form a cluster, and this server is not in the list of seeds";
        }
        if (state.isQuorumReachable(nowMicros)) {
            return "a quorum of the current view " + state.viewId() + " is reachable";
        }
        bootstrap.orderByOperator(nowMicros);
        return null;
    }

    void onRequest(String address, MemberId founder, Body.BootstrapRequest request, long nowMicros) {
        boolean inNoOtherCluster = request.operatorOrdered() ? !state.isQuorumReachable(nowMicros) : !state.isMember();
        boolean canConsent = !state.isLeaving() && inNoOtherCluster;
        if (bootstrap.grantConsent(founder, canConsent, nowMicros)) {
            sender.sendWithoutGossip(address, new Body.BootstrapConsent(request.epoch(), state.self()), nowMicros);
        }
    }

    void onConsent(Body.BootstrapConsent consent, long nowMicros) {
        bootstrap.onConsent(consent.epoch(), consent.member(), nowMicros);
    }
}
