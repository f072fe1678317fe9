package wheatspread.membership;

import java.util.ArrayList;
import java.util.List;

/** Replaces the view that this member holds, resets all that belongs to the last one, and reports who departed. */
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
    /** The latest epoch in which this member was in a view. */
    private long latestMemberEpoch;
    /** Whether it was in a view under its present incarnation. */
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

    /** Installs a view that was formed, agreed elsewhere or learnt from another member. */
    void install(View next, long nowMicros) {
        install(next, Departure.Cause.LEARNT_FROM_PEER, nowMicros);
    }

    /** Installs the view that a change decided here leads to. */
    void installDecided(ViewChange change, long nowMicros) {
        install(state.view().withChange(change), Departure.Cause.REPORTED_DOWN, nowMicros);
    }

    private void install(View next, Departure.Cause unannounced, long nowMicros) {
        View previous = state.view();
        List<Departure> departures = departures(previous, next, unannounced, nowMicros);
        advanceIncarnationIfReturning(next);
        state.enter(next, nowMicros);
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
     * A member that returns to a cluster that it left may have voted in views of that epoch and has forgotten its
     * votes, so it returns under another incarnation: a second vote would break the agreement's quorums.
     */
    private void advanceIncarnationIfReturning(View next) {
        long epoch = next.id().epoch();
        if (wasMember && epoch != state.viewId().epoch() && epoch <= latestMemberEpoch) {
            wasMember = false;
            state.advanceIncarnation();
        }
    }

    /** Who departs and why. Members that depart unannounced count against their names in flap damping. */
    private List<Departure> departures(View previous, View next, Departure.Cause unannounced, long nowMicros) {
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
            departures.add(new Departure(member, cause(member, announced, next, unannounced), witnesses));
            if (!announced && sameCluster) {
                damping.recordEviction(member.name(), nowMicros);
            }
        }
        return departures;
    }

    private static Departure.Cause cause(MemberId member, boolean announced, View next, Departure.Cause unannounced) {
        if (announced) {
            return Departure.Cause.LEFT;
        }
        return next.memberNamed(member.name()) != null ? Departure.Cause.RESTARTED : unannounced;
    }
}
