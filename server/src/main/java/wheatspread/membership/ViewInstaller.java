package wheatspread.membership;

import java.util.ArrayList;
import java.util.List;

/** Replaces the installed view, resets the state that belongs to the previous view, and reports departed members. */
final class ViewInstaller {
    private final MembershipState state;
    private final FlapDamping damping;
    private final GossipDissemination gossip;
    private final ProbeScheduler probes;
    private final ViewChangeCoordinator viewChanges;
    private final JoinProtocol joining;
    private final SeedNotifier seedNotifier;
    private final ViewExchange viewExchange;
    private final ClusterBootstrap bootstrap;
    private final ObserverReports reports;
    private final Membership.Actions actions;
    /** The highest epoch of a view of which this server was a member. */
    private long latestMemberEpoch;
    /** Whether this server was in a view with its current incarnation. */
    private boolean wasMember;

    ViewInstaller(
            MembershipState state,
            FlapDamping damping,
            GossipDissemination gossip,
            ProbeScheduler probes,
            ViewChangeCoordinator viewChanges,
            JoinProtocol joining,
            SeedNotifier seedNotifier,
            ViewExchange viewExchange,
            ClusterBootstrap bootstrap,
            Membership.Actions actions) {
        this.state = state;
        this.damping = damping;
        this.gossip = gossip;
        this.probes = probes;
        this.viewChanges = viewChanges;
        this.joining = joining;
        this.seedNotifier = seedNotifier;
        this.viewExchange = viewExchange;
        this.bootstrap = bootstrap;
        this.actions = actions;
        reports = new ObserverReports(state);
    }

    /** Installs a view that this server formed, started with or received from another member. */
    void install(View next, long nowMicros) {
        install(next, Departure.Cause.LEARNT_FROM_PEER, nowMicros);
    }

    /** Installs the view that results from a change that this member knows to be decided. */
    void installDecided(ViewChange change, long nowMicros) {
        install(state.view().withChange(change), Departure.Cause.REPORTED_DOWN, nowMicros);
    }

    private void install(View next, Departure.Cause unannouncedCause, long nowMicros) {
        View previous = state.view();
        List<Departure> departures = departures(previous, next, unannouncedCause, nowMicros);
        advanceIncarnationIfReturning(next);
        state.installView(next, nowMicros);
        viewChanges.onViewInstalled(nowMicros);
        gossip.onViewInstalled();
        if (state.isMember()) {
            wasMember = true;
            latestMemberEpoch = Math.max(latestMemberEpoch, next.id().epoch());
            bootstrap.onEnteredView();
            seedNotifier.onEnteredView(nowMicros);
        } else {
            joining.onLeftView(nowMicros);
            viewExchange.onLeftView(nowMicros);
            bootstrap.onLeftView(nowMicros);
        }
        probes.onViewInstalled(nowMicros);
        actions.onViewInstalled(previous, next, departures);
    }

    /**
     * Increments the incarnation of a member that returns to a cluster which it had left. The member may have voted in
     * views of that epoch and no longer knows its votes, and a second vote would break the quorum intersection of the
     * agreement.
     */
    private void advanceIncarnationIfReturning(View next) {
        long epoch = next.id().epoch();
        if (wasMember && epoch != state.viewId().epoch() && epoch <= latestMemberEpoch) {
            wasMember = false;
            state.advanceIncarnation();
        }
    }

    /** Returns the departed members with the causes. Unannounced departures are recorded for flap damping. */
    private List<Departure> departures(View previous, View next, Departure.Cause unannouncedCause, long nowMicros) {
        List<Departure> departures = new ArrayList<>();
        if (previous == null) {
            return departures;
        }
        boolean sameCluster = previous.id().epoch() == next.id().epoch();
        for (int index = 0; index < previous.size(); index++) {
            MemberId member = previous.members().get(index).id();
            if (next.indexOf(member) >= 0) {
                continue;
            }
            boolean announced =
                    state.isMember() && state.cutDetector().leavingMembers().get(index);
            List<String> witnesses = state.isMember() ? reports.reporting(index) : List.of();
            departures.add(new Departure(member, cause(member, announced, next, unannouncedCause), witnesses));
            if (!announced && sameCluster) {
                damping.recordEviction(member.name(), nowMicros);
            }
        }
        return departures;
    }

    private static Departure.Cause cause(
            MemberId member, boolean announced, View next, Departure.Cause unannouncedCause) {
        if (announced) {
            return Departure.Cause.LEFT;
        }
        return next.memberNamed(member.name()) != null ? Departure.Cause.RESTARTED : unannouncedCause;
    }
}
