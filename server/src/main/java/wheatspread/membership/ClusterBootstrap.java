package wheatspread.membership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Cluster bootstrap: how the first view of a cluster is formed. Only a seed forms a cluster, and only one that is in no
 * view and has for a while heard of none with a reachable quorum. It asks the other seeds for consent; each consents to
 * one founder at a time, and none that is in a view consents. With consent of more than half of the seeds it makes the
 * first view of an epoch that no other founder can use.
 *
 * <p>So no view number is used twice. Two clusters are formed only where consent expired while its founder was
 * partitioned; the later one then yields ({@link ViewPrecedence}).
 *
 * <p>On an operator's order a seed forms a cluster with whoever consents, also members of a view without a reachable
 * quorum.
 */
final class ClusterBootstrap {
    /** What the caller is to do. */
    enum Step {
        /** Nothing until {@link #nextStepMicros}. */
        NOTHING,
        /** Ask the seeds for consent to {@link #epoch}. */
        REQUEST_CONSENT,
        /** Install {@link #firstView}. */
        FORM_CLUSTER
    }

    private enum Phase {
        /** In a view, or not a seed. */
        IDLE,
        /** In no view, and waiting whether one is heard of. */
        QUIET,
        /** Asking for consent. */
        REQUESTING
    }

    /** Entries that a list of seeds may have. An epoch is the founding's Unix milliseconds times this, plus a rank. */
    static final int MAX_SEEDS = 32;
    /** A seed waits until it has heard of no reachable quorum for this time; a lost quorum is noticed sooner. */
    static final long QUIET_MICROS = 5_000_000;
    /** How long a consent is valid. */
    static final long CONSENT_MICROS = 4_000_000;
    /** Wait for further consents and joiners after the last of them, so that the first view has most servers. */
    private static final long GATHER_MICROS = 1_000_000;

    private static final long REQUEST_INTERVAL_MICROS = 300_000;
    /** Each seed waits this much longer than the one before it in the list, so that usually one asks alone. */
    private static final long RANK_DELAY_MICROS = 500_000;
    /** A server whose last join request is older may have stopped. */
    private static final long JOIN_REQUEST_VALID_MICROS = 3_000_000;
    /** Join requests that are remembered; the oldest is forgotten first. */
    private static final int MAX_JOIN_REQUESTS = 4_096;

    private static final long FIRST_VIEW_NUMBER = 1;

    private final List<String> seeds;
    private final String ownAddress;
    /** This server's place in the list of seeds; negative where it is none. */
    private final int rank;

    private final RandomGenerator random;
    private final Map<MemberId, TimedRequest> joinRequests = new LinkedHashMap<>();
    /** Who will be in the first view. */
    private final Map<MemberId, Member> founders = new LinkedHashMap<>();

    private final Set<String> consentingAddresses = new LinkedHashSet<>();
    private Phase phase = Phase.IDLE;
    private boolean orderedByOperator;
    private long quietUntilMicros;
    private long requestingSinceMicros;
    private long nextRequestMicros;
    private long gatherUntilMicros;
    private long epoch;
    private long lastEpoch;
    /** The other founder that this server consented to last; null for none. */
    private MemberId consentGivenTo;

    private long consentUntilMicros;

    private record TimedRequest(Member member, long atMicros) {}

    ClusterBootstrap(List<String> seeds, String ownAddress, RandomGenerator random) {
        if (seeds.size() > MAX_SEEDS) {
            throw new IllegalArgumentException("at most " + MAX_SEEDS + " seeds");
        }
        this.seeds = List.copyOf(seeds);
        this.ownAddress = ownAddress;
        this.random = random;
        rank = seeds.indexOf(ownAddress);
    }

    boolean isSeed() {
        return rank >= 0;
    }

    /** This server is in no view from now on. */
    void onLeftView(long nowMicros) {
        phase = isSeed() ? Phase.QUIET : Phase.IDLE;
        orderedByOperator = false;
        quietUntilMicros = nowMicros + QUIET_MICROS + Math.max(0, rank) * RANK_DELAY_MICROS;
    }

    /** This server is in a view from now on. */
    void onEnteredView() {
        phase = Phase.IDLE;
        orderedByOperator = false;
        joinRequests.clear();
    }

    /** A view with a reachable quorum was heard of: it is to be joined, and no cluster to be formed. */
    void onReachableQuorum(long nowMicros) {
        if (phase != Phase.IDLE && !orderedByOperator) {
            onLeftView(nowMicros);
        }
    }

    /** A server asks to join, while there is no view here that it could join. */
    void onJoinRequest(Member member, long nowMicros) {
        TimedRequest last = joinRequests.remove(member.id());
        if (joinRequests.size() >= MAX_JOIN_REQUESTS) {
            joinRequests.remove(joinRequests.keySet().iterator().next());
        }
        joinRequests.put(member.id(), new TimedRequest(member, nowMicros));
        if (last == null && phase == Phase.REQUESTING) {
            gatherUntilMicros = nowMicros + GATHER_MICROS;
        }
    }

    /** An operator orders a new epoch with all that consent. */
    void orderByOperator(long nowMicros) {
        phase = Phase.QUIET;
        orderedByOperator = true;
        quietUntilMicros = nowMicros;
        consentGivenTo = null;
    }

    /**
     * Another founder asks for consent; returns whether this server gives it.
     *
     * @param free whether this server is in no view or, for an operator's order, in none with a reachable quorum
     */
    boolean grantConsent(MemberId founder, boolean free, long nowMicros) {
        boolean boundToAnother =
                consentGivenTo != null && !consentGivenTo.equals(founder) && nowMicros < consentUntilMicros;
        if (!free || phase == Phase.REQUESTING || boundToAnother) {
            return false;
        }
        consentGivenTo = founder;
        consentUntilMicros = nowMicros + CONSENT_MICROS;
        return true;
    }

    /** A server consents to the cluster of that epoch. */
    void onConsent(long consentedEpoch, Member member, long nowMicros) {
        boolean current = phase == Phase.REQUESTING && consentedEpoch == epoch;
        if (current && founders.putIfAbsent(member.id(), member) == null) {
            consentingAddresses.add(member.address());
            gatherUntilMicros = nowMicros + GATHER_MICROS;
        }
    }

    /** When {@link #nextStep} has something to do next. */
    long nextStepMicros() {
        return switch (phase) {
            case IDLE -> Long.MAX_VALUE;
            case QUIET -> quietUntilMicros;
            case REQUESTING -> nextRequestMicros;
        };
    }

    /** The next step at this time; {@code unixMillis} is the time by the calendar, for the epoch. */
    Step nextStep(Member self, long nowMicros, long unixMillis) {
        if (phase == Phase.QUIET && nowMicros >= quietUntilMicros) {
            if (consentGivenTo != null && nowMicros < consentUntilMicros) {
                quietUntilMicros = consentUntilMicros + random.nextLong(CONSENT_MICROS);
                return Step.NOTHING;
            }
            startRequesting(self, nowMicros, unixMillis);
        }
        return phase == Phase.REQUESTING ? nextRequestStep(nowMicros) : Step.NOTHING;
    }

    private Step nextRequestStep(long nowMicros) {
        if (isReadyToForm(nowMicros)) {
            addFreshJoiners(nowMicros);
            return Step.FORM_CLUSTER;
        }
        if (nowMicros >= requestingSinceMicros + CONSENT_MICROS) {
            // all consents have expired: another founder may try, or this one again later
            phase = Phase.QUIET;
            quietUntilMicros = nowMicros + random.nextLong(CONSENT_MICROS);
            return Step.NOTHING;
        }
        if (nowMicros >= nextRequestMicros) {
            nextRequestMicros = nowMicros + REQUEST_INTERVAL_MICROS;
            return Step.REQUEST_CONSENT;
        }
        return Step.NOTHING;
    }

    /** Whether enough consent, and either nobody further is to be expected or the consents are about to expire. */
    private boolean isReadyToForm(long nowMicros) {
        boolean enough = orderedByOperator || 2 * countConsentingSeeds() > seeds.size();
        if (!enough) {
            return false;
        }
        boolean allConsent = !orderedByOperator && consentingAddresses.containsAll(seeds);
        boolean gatheredLong = nowMicros >= requestingSinceMicros + 2 * GATHER_MICROS;
        boolean gathered = nowMicros >= gatherUntilMicros && (allConsent || gatheredLong);
        boolean consentsExpireSoon = nowMicros >= requestingSinceMicros + CONSENT_MICROS - GATHER_MICROS;
        return gathered || consentsExpireSoon;
    }

    private void addFreshJoiners(long nowMicros) {
        for (TimedRequest request : joinRequests.values()) {
            if (nowMicros - request.atMicros <= JOIN_REQUEST_VALID_MICROS) {
                founders.putIfAbsent(request.member.id(), request.member);
            }
        }
    }

    private void startRequesting(Member self, long nowMicros, long unixMillis) {
        phase = Phase.REQUESTING;
        epoch = Math.max(unixMillis * MAX_SEEDS + Math.max(0, rank), lastEpoch + MAX_SEEDS);
        lastEpoch = epoch;
        requestingSinceMicros = nowMicros;
        nextRequestMicros = nowMicros;
        gatherUntilMicros = nowMicros + GATHER_MICROS;
        consentGivenTo = null;
        founders.clear();
        consentingAddresses.clear();
        founders.put(self.id(), self);
        consentingAddresses.add(ownAddress);
    }

    private int countConsentingSeeds() {
        int count = 0;
        for (String seed : seeds) {
            count += consentingAddresses.contains(seed) ? 1 : 0;
        }
        return count;
    }

    /** The epoch that consent is asked for. */
    long epoch() {
        return epoch;
    }

    boolean isOrderedByOperator() {
        return orderedByOperator;
    }

    /** The first view, after {@link Step#FORM_CLUSTER}; of two incarnations of a server, the later one is in it. */
    View firstView() {
        Map<String, Member> byName = new LinkedHashMap<>();
        for (Member founder : founders.values()) {
            byName.merge(founder.id().name(), founder, ClusterBootstrap::laterIncarnation);
        }
        return new View(new ViewId(epoch, FIRST_VIEW_NUMBER), new ArrayList<>(byName.values()));
    }

    private static Member laterIncarnation(Member first, Member second) {
        return first.id().start() >= second.id().start() ? first : second;
    }
}
