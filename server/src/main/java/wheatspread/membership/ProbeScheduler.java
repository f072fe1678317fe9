package wheatspread.membership;

import wheatspread.membership.Message.Body;

/**
 * Probes the monitored subjects as their failure detectors ask for it, takes answers in, and publishes suspicions and
 * reports. Also makes indirect probes for others.
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

    /** The next time at which {@link #run} has something to do. */
    long nextStepMicros() {
        long next = relayedProbes.nextDeadlineMicros();
        for (MonitoredSubject subject : subjects.all()) {
            next = Math.min(next, subject.detector().nextStepMicros());
        }
        return next;
    }

    /** Carries out all steps whose time has come. */
    void run(long nowMicros) {
        for (MonitoredSubject subject : subjects.snapshot()) {
            FailureDetector.Step step = subject.detector().nextStep(nowMicros);
            while (step != FailureDetector.Step.NOTHING) {
                carryOut(step, subject, nowMicros);
                step = subject.detector().nextStep(nowMicros);
            }
        }
        relayedProbes.expire(nowMicros);
    }

    /** This process was suspended for that time, so nothing that it waits for counts as missed. */
    void extendDeadlines(long suspendedMicros) {
        subjects.all().forEach(subject -> subject.detector().extendDeadlines(suspendedMicros));
    }

    void onAck(long number, long nowMicros) {
        if (relayedProbes.onAck(number, nowMicros)) {
            return;
        }
        for (MonitoredSubject subject : subjects.all()) {
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
        subjects.all().stream()
                .filter(subject -> subject.probeNumber() == number)
                .forEach(MonitoredSubject::recordNack);
    }

    /** Observes the subjects of the new view, and publishes again what is held against them. */
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

    private void carryOut(FailureDetector.Step step, MonitoredSubject subject, long nowMicros) {
        switch (step) {
            case PROBE -> probe(subject, nowMicros);
            case PROBE_INDIRECTLY -> probeIndirectly(subject, nowMicros);
            case SUSPECT -> suspect(subject);
            case REPORT -> {
                publishReport(subject, true);
                viewChanges.onEvidence(nowMicros);
            }
            default -> throw new IllegalArgumentException("no step to carry out: " + step);
        }
    }

    private void probe(MonitoredSubject subject, long nowMicros) {
        lastProbeNumber++;
        subject.startProbe(lastProbeNumber);
        sender.send(subject.member().address(), new Body.Ping(lastProbeNumber, subject.id()), nowMicros);
    }

    private void probeIndirectly(MonitoredSubject subject, long nowMicros) {
        for (int i = 0; i < settings.helpers() && state.view().size() > 1; i++) {
            Member helper = peers.randomOther();
            if (!helper.id().equals(subject.id())) {
                subject.recordHelperAsked();
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
        health.onProbeFailed(subject.helpersAsked(), subject.nacksReceived());
        publishSuspicion(subject, true);
    }

    /** Publishes that this observer suspects a member, or no longer does; only a change is published. */
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

    /** Publishes whether a member is down or a joiner unreachable; only a change is published. */
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
