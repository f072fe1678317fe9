package wheatspread.membership;

import wheatspread.membership.Message.Body;

/**
 * Probes the monitored subjects when their failure detectors require it, handles the answers, and publishes suspicions
 * and reports. It also relays indirect probes for other members.
 */
final class ProbeScheduler {
    private final MembershipState state;
    private final MonitoredSubjects subjects;
    private final RelayedProbes relayedProbes;
    private final DetectorSettings settings;
    private final LocalHealth health;
    private final FlapDamping damping;
    private final PeerSelector peers;
    private final MessageSender sender;
    private final GossipDissemination gossip;
    private final ViewChangeCoordinator viewChanges;
    private long lastProbeNumber;

    ProbeScheduler(
            MembershipState state,
            MonitoredSubjects subjects,
            DetectorSettings settings,
            LocalHealth health,
            FlapDamping damping,
            PeerSelector peers,
            MessageSender sender,
            GossipDissemination gossip,
            ViewChangeCoordinator viewChanges) {
        this.state = state;
        this.subjects = subjects;
        this.settings = settings;
        this.health = health;
        this.damping = damping;
        this.peers = peers;
        this.sender = sender;
        this.gossip = gossip;
        this.viewChanges = viewChanges;
        relayedProbes = new RelayedProbes(sender);
    }

    /** Returns the next time at which {@link #run} has a step to take. */
    long nextStepMicros() {
        long next = relayedProbes.nextDeadlineMicros();
        for (MonitoredSubject subject : subjects.values()) {
            next = Math.min(next, subject.detector().nextStepMicros());
        }
        return next;
    }

    /** Takes all steps that are due. */
    void run(long nowMicros) {
        for (MonitoredSubject subject : subjects.snapshot()) {
            FailureDetector.Step step = subject.detector().advance(nowMicros);
            while (step != FailureDetector.Step.NOTHING) {
                takeStep(step, subject, nowMicros);
                step = subject.detector().advance(nowMicros);
            }
        }
        relayedProbes.expire(nowMicros);
    }

    /** Extends the deadlines of all probes and suspicions by the time for which this process was suspended. */
    void extendDeadlines(long suspendedMicros) {
        subjects.values().forEach(subject -> subject.detector().extendDeadlines(suspendedMicros));
    }

    void onAck(long number, long nowMicros) {
        if (relayedProbes.onAck(number, nowMicros)) {
            return;
        }
        for (MonitoredSubject subject : subjects.values()) {
            if (subject.probeNumber() == number) {
                onSubjectAnswered(subject, nowMicros);
                return;
            }
        }
    }

    private void onSubjectAnswered(MonitoredSubject subject, long nowMicros) {
        health.onProbeAnswered();
        boolean recovered = subject.detector().onAnswer();
        boolean publish = subject.isJoiner() ? damping.onJoinerAnswered(subject.id(), nowMicros) : recovered;
        if (publish) {
            publishSuspicion(subject, false);
            publishReport(subject, false);
        }
    }

    void onIndirectPing(String address, Body.IndirectPing request, long nowMicros) {
        if (relayedProbes.hasCapacity()) {
            lastProbeNumber++;
            relayedProbes.start(
                    lastProbeNumber, address, request, nowMicros + settings.directTimeoutMicros(), nowMicros);
        }
    }

    void onNack(long number) {
        subjects.values().stream()
                .filter(subject -> subject.probeNumber() == number)
                .forEach(MonitoredSubject::recordNack);
    }

    /** Observes the subjects of the new view, and publishes current suspicions and reports again for this view. */
    void onViewInstalled(long nowMicros) {
        subjects.onViewInstalled(nowMicros);
        for (MonitoredSubject subject : subjects.snapshot()) {
            if (subject.detector().isSuspectOrDown()) {
                publishSuspicion(subject, true);
            }
            if (subject.detector().isDown()) {
                publishReport(subject, true);
            }
        }
    }

    private void takeStep(FailureDetector.Step step, MonitoredSubject subject, long nowMicros) {
        switch (step) {
            case PROBE -> probe(subject, nowMicros);
            case PROBE_INDIRECTLY -> probeIndirectly(subject, nowMicros);
            case SUSPECT -> suspect(subject);
            case REPORT -> {
                publishReport(subject, true);
                viewChanges.onEvidence(nowMicros);
            }
            default -> throw new IllegalArgumentException("not a step that can be taken: " + step);
        }
    }

    private void probe(MonitoredSubject subject, long nowMicros) {
        lastProbeNumber++;
        subject.startProbe(lastProbeNumber);
        sender.send(subject.member().address(), new Body.Ping(lastProbeNumber, subject.id()), nowMicros);
    }

    private void probeIndirectly(MonitoredSubject subject, long nowMicros) {
        for (int i = 0; i < settings.helperCount() && state.view().size() > 1; i++) {
            Member helper = peers.randomOther();
            if (!helper.id().equals(subject.id())) {
                subject.recordHelperRequested();
                Body request = new Body.IndirectPing(
                        subject.probeNumber(), subject.id(), subject.member().address());
                sender.send(helper.address(), request, nowMicros);
            }
        }
    }

    private void suspect(MonitoredSubject subject) {
        if (subject.isJoiner()) {
            damping.onJoinerSilent(subject.id());
        }
        health.onProbeFailed(subject.helpersRequested(), subject.nacksReceived());
        publishSuspicion(subject, true);
    }

    /** Publishes that this observer starts or stops to suspect a member; does nothing if this is already published. */
    private void publishSuspicion(MonitoredSubject subject, boolean suspected) {
        if (subject.isJoiner()) {
            return;
        }
        int member = state.view().indexOf(subject.id());
        int counter = state.cutDetector().suspicionCounter(member, subject.observerIndex());
        if (CutDetector.isSet(counter) != suspected) {
            gossip.publish(new GossipUpdate.Suspicion(member, subject.observerIndex(), counter + 1));
        }
    }

    /** Publishes whether a member is down or a joiner unreachable; does nothing if this is already published. */
    private void publishReport(MonitoredSubject subject, boolean down) {
        if (subject.isJoiner()) {
            publishJoinerReachable(subject, !down);
            return;
        }
        int member = state.view().indexOf(subject.id());
        int counter = state.cutDetector().reportCounter(member, subject.observerIndex());
        if (CutDetector.isSet(counter) != down) {
            gossip.publish(new GossipUpdate.Report(member, subject.observerIndex(), counter + 1));
        }
    }

    private void publishJoinerReachable(MonitoredSubject subject, boolean reachable) {
        CutDetector cutDetector = state.cutDetector();
        if (!cutDetector.isJoiner(subject.id())) {
            return;
        }
        int counter = cutDetector.joinerCounter(subject.id(), subject.observerIndex());
        if (CutDetector.isSet(counter) != reachable) {
            gossip.publish(new GossipUpdate.JoinerReachable(subject.id(), subject.observerIndex(), counter + 1));
        }
    }
}
