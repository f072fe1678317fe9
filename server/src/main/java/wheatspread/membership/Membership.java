package wheatspread.membership;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * One member of the cluster: detects failures of others, spreads gossip, and agrees with the others on the next view.
 * It connects the parts of the protocol and gives each its turn. Messages and the time go in, messages and views come
 * out; it does no I/O, reads no clock and has no random source of its own. Times are microseconds of one monotonic
 * clock. Not thread-safe: all calls come from one thread.
 */
public final class Membership {
    /** Entries that a list of seeds may have. */
    public static final int MAX_SEEDS = ClusterBootstrap.MAX_SEEDS;

    private static final long NO_TURN_EXPECTED = Long.MAX_VALUE;

    private final Actions actions;
    private final MembershipState state;
    private final LocalHealth health;
    private final MonitoredSubjects subjects;
    private final ObserverReports reports;
    private final GossipDissemination gossip;
    private final ViewChangeCoordinator viewChanges;
    private final ProbeScheduler probes;
    private final JoinProtocol joining;
    private final SeedNotifier seedNotifier;
    private final ClusterBootstrap bootstrap;
    private final BootstrapProtocol bootstrapProtocol;
    private final ViewInstaller installer;
    private final MessageDispatcher dispatcher;
    /** The time of the last call. */
    private long lastCallMicros;
    /** The time of the next turn as it was last announced. */
    private long expectedTurnMicros = NO_TURN_EXPECTED;

    /** What a member does to the outside. */
    public interface Actions {
        /** Sends a message; it may be lost, delayed, duplicated or reordered. */
        void send(String address, Message message);

        /**
         * Another view is in force from now on.
         *
         * @param before null for the first
         * @param gone the members of {@code before} that are not in it, with the causes
         */
        void onViewInstalled(View before, View now, List<Departure> gone);

        /** The time by the calendar, from which epochs are numbered. */
        long unixMillis();
    }

    /**
     * A member without a view; {@link #start} or {@link #startWithView} come next.
     *
     * @param self this member, as others will know it
     * @param seeds addresses of servers that are asked for a view; in the same order on all servers
     * @param random the only source of random draws, so that a run can be repeated
     */
    public Membership(
            Member self, List<String> seeds, DetectorSettings settings, RandomGenerator random, Actions actions) {
        this.actions = actions;
        state = new MembershipState(self);
        health = new LocalHealth(settings);
        bootstrap = new ClusterBootstrap(seeds, self.address(), random);
        FlapDamping damping = new FlapDamping();
        GossipQueue queue = new GossipQueue();
        MessageSender sender = new MessageSender(state, queue, actions);
        PeerSelector peers = new PeerSelector(state, random);
        PeerRateLimit rateLimit = new PeerRateLimit();
        KnownUpdates knownUpdates = new KnownUpdates(state);
        subjects = new MonitoredSubjects(state, settings, health, random);
        reports = new ObserverReports(state);
        GossipUpdateHandler updateHandler = new GossipUpdateHandler(state, subjects, health);
        gossip = new GossipDissemination(state, queue, updateHandler, knownUpdates, peers, sender);
        viewChanges = new ViewChangeCoordinator(state, gossip, random);
        probes = new ProbeScheduler(state, subjects, settings, health, damping, peers, sender, gossip, viewChanges);
        joining = new JoinProtocol(state, seeds, random, sender);
        seedNotifier = new SeedNotifier(state, seeds, random, sender);
        bootstrapProtocol = new BootstrapProtocol(state, seeds, bootstrap, sender);
        StateSynchronizer synchronizer = new StateSynchronizer(state, knownUpdates, rateLimit, sender);
        ViewExchange viewExchange = new ViewExchange(state, rateLimit, sender);
        installer = new ViewInstaller(
                state, damping, gossip, probes, viewChanges, joining, seedNotifier, viewExchange, bootstrap, actions);
        dispatcher = new MessageDispatcher(
                state,
                gossip,
                synchronizer,
                viewExchange,
                viewChanges,
                probes,
                bootstrapProtocol,
                bootstrap,
                installer,
                sender);
    }

    /** This member under its present incarnation. */
    public Member self() {
        return state.self();
    }

    /** The view in force here; null before the first. */
    public View view() {
        return state.view();
    }

    /** Whether this member is in the view in force here. */
    public boolean isMember() {
        return state.isMember();
    }

    /** The local health multiplier: how many times as long as usual this member waits; 1 in good health. */
    public int localHealthMultiplier() {
        return health.multiplier();
    }

    /** Whether this member is in its view and a quorum of it seems reachable. */
    public boolean isQuorumReachable(long nowMicros) {
        return state.isQuorumReachable(nowMicros);
    }

    /** Why no quorum seems reachable, for operators; empty where one does. */
    public String quorumUnreachableReason(long nowMicros) {
        String reason = state.unreachableReason(nowMicros);
        return reason == null ? "" : reason;
    }

    /** Starts without a view: joins the cluster that exists, or helps to form one. */
    public void start(long nowMicros) {
        lastCallMicros = nowMicros;
        joining.start(nowMicros);
        bootstrap.onLeftView(nowMicros);
    }

    /** Starts with a view that was agreed elsewhere. */
    public void startWithView(View first, long nowMicros) {
        lastCallMicros = nowMicros;
        installer.install(first, nowMicros);
    }

    /**
     * An operator orders a new epoch, because the quorum is lost for good: this member forms it with all that are in
     * no view with a reachable quorum.
     *
     * @return why the order is refused, or null
     */
    public String orderBootstrap(long nowMicros) {
        return bootstrapProtocol.orderByOperator(nowMicros);
    }

    /** Announces that this member leaves. It takes part until the others have agreed on that, and does not rejoin. */
    public void leave() {
        state.setLeaving();
        if (state.isMember()) {
            gossip.publish(new GossipUpdate.Leaving(state.ownIndex()));
        }
    }

    /** The next time at which {@link #turn} has something to do. */
    public long nextTurnMicros() {
        long next = Math.min(nextProtocolStepMicros(), probes.nextStepMicros());
        if (!state.isLeaving()) {
            next = Math.min(next, bootstrapProtocol.nextStepMicros());
        }
        // a step that is overdue is to be taken now: a time in the past would make the turn look late
        next = Math.max(next, lastCallMicros);
        expectedTurnMicros = next;
        return next;
    }

    private long nextProtocolStepMicros() {
        if (!state.isMember()) {
            return state.isLeaving() ? Long.MAX_VALUE : joining.nextRequestMicros();
        }
        boolean active = gossip.hasPending() || viewChanges.isChangePending();
        long nextNotice = seedNotifier.nextNoticeMicros();
        return active ? Math.min(nextNotice, gossip.nextRoundMicros()) : nextNotice;
    }

    /** Takes all steps whose time has come. A turn that comes far too late shows that this process was suspended. */
    public void turn(long nowMicros) {
        lastCallMicros = nowMicros;
        detectSuspension(nowMicros);
        joining.run(nowMicros);
        View formed = bootstrapProtocol.run(nowMicros, actions.unixMillis());
        if (formed != null) {
            installer.install(formed, nowMicros);
        }
        probes.run(nowMicros);
        advanceViewChange(nowMicros);
        seedNotifier.run(nowMicros);
        gossip.run(nowMicros);
    }

    private void detectSuspension(long nowMicros) {
        long lateMicros = nowMicros - expectedTurnMicros;
        boolean expected = expectedTurnMicros != NO_TURN_EXPECTED;
        expectedTurnMicros = NO_TURN_EXPECTED;
        if (expected && health.onLateTurn(lateMicros)) {
            probes.extendDeadlines(lateMicros);
        }
    }

    /** Takes a message in; {@code address} is where answers go. */
    public void receive(String address, Message message, long nowMicros) {
        lastCallMicros = nowMicros;
        dispatcher.dispatch(address, message, nowMicros);
        advanceViewChange(nowMicros);
    }

    private void advanceViewChange(long nowMicros) {
        ViewChange decided = viewChanges.advance(nowMicros);
        if (decided != null) {
            installer.installDecided(decided, nowMicros);
        }
    }

    /** The names of the observers that report a member down; only while this member is in the view. */
    public List<String> reportingObservers(int member) {
        return reports.reporting(member);
    }

    /** The names of the observers that suspect a member; only while this member is in the view. */
    public List<String> suspectingObservers(int member) {
        return reports.suspecting(member);
    }

    /** For how long this member has suspected another, in microseconds; 0 where it does not. */
    public long suspectedForMicros(MemberId other, long nowMicros) {
        MonitoredSubject subject = subjects.get(other);
        if (subject == null || !subject.detector().isSuspectOrDown()) {
            return 0;
        }
        return nowMicros - subject.detector().suspectedSinceMicros();
    }
}
