package wheatspread.membership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Cluster bootstrap: forms the first view of a cluster. Only a seed can form a cluster (the founder), and only while it
 * is in no view and has not received a message from a member of a view with a reachable quorum for a while. The founder
 * requests consent from the other seeds; a seed consents to one founder at a time, and only while it is in no view.
 * With the consent of more than half of the seeds the founder creates the first view in an epoch that no other founder
 * can use.
 *
 * <p>Therefore no view number is used twice. Two clusters can be formed only if a consent expired while the founder to
 * which it was given was partitioned; the cluster formed later then yields ({@link ViewPrecedence}).
 *
 * <p>On an operator's order a seed forms a cluster with all servers that consent, including members of a view without a
 * reachable quorum.
 */
final class ClusterBootstrap {
    /** The step that the caller must take. */
    enum Step {
        /** Do nothing until {@link #nextStepMicros}. */
        NOTHING,
        /** Request consent to {@link #epoch} from the seeds. */
        REQUEST_CONSENT,
        /** Install {@link #firstView}. */
        FORM_CLUSTER
    }

    private enum Phase {
        /** The server is in a view or not a seed, and forms no cluster. */
        IDLE,
        /** The server is in no view and waits for messages from members of a view with a reachable quorum. */
        QUIET,
        /** The server requests consent. */
        REQUESTING
    }

    /**
     * The maximum number of entries in a list of seeds. An epoch is the Unix time in milliseconds at which forming the
     * cluster started times this number, plus the founder's rank.
     */
    static final int MAX_SEEDS = 32;
    /**
     * How long a seed waits for messages from members of a view with a reachable quorum; the loss of a quorum is
     * detected sooner.
     */
    static final long QUIET_WAIT_MICROS = 5_000_000;
    /** The validity of a consent. */
    static final long CONSENT_VALIDITY_MICROS = 4_000_000;
    /** The wait for further consents and joiners after the last one, so that the first view has most servers. */
    private static final long GATHER_WAIT_MICROS = 1_000_000;

    private static final long REQUEST_INTERVAL_MICROS = 300_000;
    /** Each seed waits this much longer than the previous one in the list, to avoid concurrent founders. */
    private static final long RANK_DELAY_MICROS = 500_000;
    /** Older join requests are ignored, since their senders may have stopped. */
    private static final long JOIN_REQUEST_VALIDITY_MICROS = 3_000_000;
    /** The maximum number of stored join requests; the oldest is removed first. */
    private static final int MAX_JOIN_REQUESTS = 4_096;

    private static final long FIRST_VIEW_NUMBER = 1;

    private final List<String> seeds;
    private final String ownAddress;
    /** This server's index in the list of seeds; negative if it is not a seed. */
    private final int rank;

    private final RandomGenerator random;
    private final Map<MemberId, ReceivedJoinRequest> joinRequests = new LinkedHashMap<>();
    /** The members of the first view. */
    private final Map<MemberId, Member> firstMembers = new LinkedHashMap<>();

    private final Set<String> consentingAddresses = new LinkedHashSet<>();
    private Phase phase = Phase.IDLE;
    private boolean orderedByOperator;
    private long quietUntilMicros;
    private long requestingSinceMicros;
    private long nextRequestMicros;
    private long gatherUntilMicros;
    private long epoch;
    private long lastEpoch;
    /** The other founder to which this server last gave consent; null for none. */
    private MemberId consentGivenTo;

    private long consentUntilMicros;

    private record ReceivedJoinRequest(Member member, long receivedMicros) {}

    ClusterBootstrap(List<String> seeds, String ownAddress, RandomGenerator random) {
        if (seeds.size() > MAX_SEEDS) {
            throw new IllegalArgumentException(
                    "list of seeds has " + seeds.size() + " entries, expected at most " + MAX_SEEDS);
        }
        this.seeds = List.copyOf(seeds);
        this.ownAddress = ownAddress;
        this.random = random;
        rank = seeds.indexOf(ownAddress);
    }

    boolean isSeed() {
        return rank >= 0;
    }

    /** Starts or restarts the waiting phase of a seed that is in no view. */
    void onLeftView(long nowMicros) {
        phase = isSeed() ? Phase.QUIET : Phase.IDLE;
        orderedByOperator = false;
        quietUntilMicros = nowMicros + QUIET_WAIT_MICROS + Math.max(0, rank) * RANK_DELAY_MICROS;
    }

    /** Cancels forming a cluster, because this server is in a view. */
    void onEnteredView() {
        phase = Phase.IDLE;
        orderedByOperator = false;
        joinRequests.clear();
    }

    /** Restarts the waiting phase, because a view with a reachable quorum exists that this server can join. */
    void onReachableQuorum(long nowMicros) {
        if (phase != Phase.IDLE && !orderedByOperator) {
            onLeftView(nowMicros);
        }
    }

    /** Stores a join request that arrives while this server is in no view. */
    void onJoinRequest(Member member, long nowMicros) {
        ReceivedJoinRequest last = joinRequests.remove(member.id());
        if (joinRequests.size() >= MAX_JOIN_REQUESTS) {
            joinRequests.remove(joinRequests.keySet().iterator().next());
        }
        joinRequests.put(member.id(), new ReceivedJoinRequest(member, nowMicros));
        if (last == null && phase == Phase.REQUESTING) {
            gatherUntilMicros = nowMicros + GATHER_WAIT_MICROS;
        }
    }

    /** Starts forming a cluster in a new epoch with all servers that consent, on an operator's order. */
    void orderByOperator(long nowMicros) {
        phase = Phase.QUIET;
        orderedByOperator = true;
        quietUntilMicros = nowMicros;
        consentGivenTo = null;
    }

    /**
     * Handles a request for consent from another founder; returns whether this server consents.
     *
     * @param canConsent whether this server is in no view or, for an operator's order, in no view with a reachable
     *     quorum
     */
    boolean grantConsent(MemberId founder, boolean canConsent, long nowMicros) {
        boolean consentedToOtherFounder =
                consentGivenTo != null && !consentGivenTo.equals(founder) && nowMicros < consentUntilMicros;
        if (!canConsent || phase == Phase.REQUESTING || consentedToOtherFounder) {
            return false;
        }
        consentGivenTo = founder;
        consentUntilMicros = nowMicros + CONSENT_VALIDITY_MICROS;
        return true;
    }

    /** Records the consent of a server to the cluster of an epoch; ignored if the epoch is not the current one. */
    void onConsent(long consentedEpoch, Member member, long nowMicros) {
        boolean isCurrent = phase == Phase.REQUESTING && consentedEpoch == epoch;
        if (isCurrent && firstMembers.putIfAbsent(member.id(), member) == null) {
            consentingAddresses.add(member.address());
            gatherUntilMicros = nowMicros + GATHER_WAIT_MICROS;
        }
    }

    /** Returns the next time at which {@link #advance} has a step to take; {@link Long#MAX_VALUE} if there is none. */
    long nextStepMicros() {
        return switch (phase) {
            case IDLE -> Long.MAX_VALUE;
            case QUIET -> quietUntilMicros;
            case REQUESTING -> nextRequestMicros;
        };
    }

    /**
     * Advances to this time and returns the step that the caller must take; the epoch is derived from {@code
     * unixMillis}, the wall-clock time.
     */
    Step advance(Member self, long nowMicros, long unixMillis) {
        if (phase == Phase.QUIET && nowMicros >= quietUntilMicros) {
            if (consentGivenTo != null && nowMicros < consentUntilMicros) {
                quietUntilMicros = consentUntilMicros + random.nextLong(CONSENT_VALIDITY_MICROS);
                return Step.NOTHING;
            }
            startRequesting(self, nowMicros, unixMillis);
        }
        return phase == Phase.REQUESTING ? advanceRequest(nowMicros) : Step.NOTHING;
    }

    private Step advanceRequest(long nowMicros) {
        if (isReadyToForm(nowMicros)) {
            addFreshJoiners(nowMicros);
            return Step.FORM_CLUSTER;
        }
        if (nowMicros >= requestingSinceMicros + CONSENT_VALIDITY_MICROS) {
            // all consents have expired, so another founder may request consent now, and this server after a wait
            phase = Phase.QUIET;
            quietUntilMicros = nowMicros + random.nextLong(CONSENT_VALIDITY_MICROS);
            return Step.NOTHING;
        }
        if (nowMicros >= nextRequestMicros) {
            nextRequestMicros = nowMicros + REQUEST_INTERVAL_MICROS;
            return Step.REQUEST_CONSENT;
        }
        return Step.NOTHING;
    }

    /** Returns whether enough seeds consent and either no further ones are expected or the consents expire soon. */
    private boolean isReadyToForm(long nowMicros) {
        boolean hasEnoughConsents = orderedByOperator || 2 * countConsentingSeeds() > seeds.size();
        if (!hasEnoughConsents) {
            return false;
        }
        boolean allConsent = !orderedByOperator && consentingAddresses.containsAll(seeds);
        boolean hasWaitedLong = nowMicros >= requestingSinceMicros + 2 * GATHER_WAIT_MICROS;
        boolean hasGathered = nowMicros >= gatherUntilMicros && (allConsent || hasWaitedLong);
        boolean consentsExpireSoon = nowMicros >= requestingSinceMicros + CONSENT_VALIDITY_MICROS - GATHER_WAIT_MICROS;
        return hasGathered || consentsExpireSoon;
    }

    private void addFreshJoiners(long nowMicros) {
        for (ReceivedJoinRequest request : joinRequests.values()) {
            if (nowMicros - request.receivedMicros <= JOIN_REQUEST_VALIDITY_MICROS) {
                firstMembers.putIfAbsent(request.member.id(), request.member);
            }
        }
    }

    private void startRequesting(Member self, long nowMicros, long unixMillis) {
        phase = Phase.REQUESTING;
        epoch = Math.max(unixMillis * MAX_SEEDS + Math.max(0, rank), lastEpoch + MAX_SEEDS);
        lastEpoch = epoch;
        requestingSinceMicros = nowMicros;
        nextRequestMicros = nowMicros;
        gatherUntilMicros = nowMicros + GATHER_WAIT_MICROS;
        consentGivenTo = null;
        firstMembers.clear();
        consentingAddresses.clear();
        firstMembers.put(self.id(), self);
        consentingAddresses.add(ownAddress);
    }

    private int countConsentingSeeds() {
        int count = 0;
        for (String seed : seeds) {
            count += consentingAddresses.contains(seed) ? 1 : 0;
        }
        return count;
    }

    /** Returns the epoch for which this server last requested consent; 0 before its first request. */
    long epoch() {
        return epoch;
    }

    boolean isOrderedByOperator() {
        return orderedByOperator;
    }

    /**
     * Returns the first view, after {@link Step#FORM_CLUSTER}; of two incarnations of a server, the view contains the
     * later one.
     */
    View firstView() {
        Map<String, Member> byName = new LinkedHashMap<>();
        for (Member member : firstMembers.values()) {
            byName.merge(member.id().name(), member, ClusterBootstrap::laterIncarnation);
        }
        return new View(new ViewId(epoch, FIRST_VIEW_NUMBER), new ArrayList<>(byName.values()));
    }

    private static Member laterIncarnation(Member first, Member second) {
        return first.id().incarnation() >= second.id().incarnation() ? first : second;
    }
}
