package wheatspread.membership;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * The membership protocol of one server: detects failures of other members, disseminates gossip, and agrees with the
 * other members on the next view. This class creates the parts of the protocol and runs each of them in a turn. The
 * caller passes in messages, the time and the random generator; messages and views are passed to {@link Actions}. The
 * class does no I/O and reads no clock. Times are microseconds of one monotonic clock. Not thread-safe: all calls must
 * come from one thread.
 */
public final class Membership {
    /** The maximum number of entries in a list of seeds. */
    public static final int MAX_SEEDS = ClusterBootstrap.MAX_SEEDS;

    private static final long NO_TURN_EXPECTED_MICROS = Long.MAX_VALUE;

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
    /** The time passed to the last call of a method that advances the protocol. */
    private long lastCallMicros;
    /** The time of the next turn as {@link #nextTurnMicros} last returned it. */
    private long expectedTurnMicros = NO_TURN_EXPECTED_MICROS;

    /** The effects of the protocol: sent messages and installed views. Called on the thread of the caller. */
    public interface Actions {
        /** Sends a message, which the network may lose, delay, duplicate or reorder. */
        void send(String address, Message message);

        /**
         * Called after a view was installed.
         *
         * @param previous the view that was replaced; null for the first view
         * @param installed the new view
         * @param departures the members of {@code previous} that are not in {@code installed}, with the causes
         */
        void onViewInstalled(View previous, View installed, List<Departure> departures);

        /** Returns the wall-clock time in Unix milliseconds, from which epochs are numbered. */
        long unixMillis();
    }

    /**
     * Creates a member without a view; the caller must call {@link #start} or {@link #startWithView} next.
     *
     * @param self the identity and attributes of this member that other members receive
     * @param seeds addresses of the servers that receive join requests; in the same order on all servers
     * @param random the only source of random numbers, so that a run can be repeated
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

    /** Returns this member with its current incarnation. */
    public Member self() {
        return state.self();
    }

    /** Returns the installed view; null before the first view is installed. */
    public View view() {
        return state.view();
    }

    /** Returns whether this member is in the installed view. */
    public boolean isMember() {
        return state.isMember();
    }

    /** Returns the local health multiplier, by which this member multiplies its timeouts; 1 in good health. */
    public int localHealthMultiplier() {
        return health.multiplier();
    }

    /** Returns whether this member is in its view and a quorum of the view appears to be reachable. */
    public boolean isQuorumReachable(long nowMicros) {
        return state.isQuorumReachable(nowMicros);
    }

    /** Returns, for operators, why no quorum appears to be reachable; empty if a quorum is reachable. */
    public String quorumUnreachableReason(long nowMicros) {
        String reason = state.unreachableReason(nowMicros);
        return reason == null ? "" : reason;
    }

    /** Starts without a view: joins an existing cluster or takes part in forming one. */
    public void start(long nowMicros) {
        lastCallMicros = nowMicros;
        joining.start(nowMicros);
        bootstrap.onLeftView(nowMicros);
    }

    /** Starts with a view that other members agreed on. */
    public void startWithView(View first, long nowMicros) {
        lastCallMicros = nowMicros;
        installer.install(first, nowMicros);
    }

    /**
     * Starts forming a cluster in a new epoch on an operator's order, for a quorum that is permanently lost. The new
     * cluster consists of this member and the servers that are not in a view with a reachable quorum.
     *
     * @return why the order is refused; null if it is accepted
     */
    public String orderBootstrap(long nowMicros) {
        return bootstrapProtocol.orderByOperator(nowMicros);
    }

    /**
     * Announces that this member leaves. The member takes part in the protocol until the other members have agreed on
     * its removal, and does not rejoin.
     */
    public void leave() {
        state.setLeaving();
        if (state.isMember()) {
            gossip.publish(new GossipUpdate.Leaving(state.ownIndex()));
        }
    }

    /** Returns the next time at which {@link #turn} has a step to take; {@link Long#MAX_VALUE} if there is none. */
    public long nextTurnMicros() {
        long next = Math.min(nextProtocolStepMicros(), probes.nextStepMicros());
        if (!state.isLeaving()) {
            next = Math.min(next, bootstrapProtocol.nextStepMicros());
        }
        // an overdue step is due immediately: if this returned a time in the past, the turn would be counted as late
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

    /** Takes all steps that are due. A turn that runs much later than expected shows that the process was suspended. */
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
        boolean expected = expectedTurnMicros != NO_TURN_EXPECTED_MICROS;
        expectedTurnMicros = NO_TURN_EXPECTED_MICROS;
        if (expected && health.onLateTurn(lateMicros)) {
            probes.extendDeadlines(lateMicros);
        }
    }

    /** Handles a received message; replies go to {@code address}. */
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

    /** Returns the names of the observers that report a member down; valid only while this member is in the view. */
    public List<String> reportingObservers(int member) {
        return reports.reporting(member);
    }

    /** Returns the names of the observers that suspect a member; valid only while this member is in the view. */
    public List<String> suspectingObservers(int member) {
        return reports.suspecting(member);
    }

    /** Returns how long this member has suspected another member, in microseconds; 0 if there is no suspicion. */
    public long suspectedForMicros(MemberId other, long nowMicros) {
        MonitoredSubject subject = subjects.get(other);
        if (subject == null || !subject.detector().isSuspectOrDown()) {
            return 0;
        }
        return nowMicros - subject.detector().suspectedSinceMicros();
    }
}
