package wheatspread.membership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * How a fleet comes to its first view. Only a seed founds, and only one that is in no view and has not heard
 * of one that stands for a while. It asks the other seeds; each consents to one founder at a time, and no
 * seed that is in a view consents. With more than half of the seeds it makes the first view of an epoch that
 * no other founder can use. So no view is made twice, and two fleets come to be only where consent ran out
 * while its founder was cut off; the later one then gives way ({@link Precedence}).
 *
 * <p>On an operator's order a seed founds with whoever consents, and so do members of a view that does not
 * stand.
 *
 * <p>It sends nothing and reads no clock; times are microseconds.
 */
final class ClusterBootstrap {
    /** What is to be done now. */
    enum Step {
        NOTHING,
        REQUEST_CONSENT,
        FORM_CLUSTER
    }

    private enum Phase {
        NONE,
        QUIET,
        ASKING
    }

    /** An epoch is the Unix milliseconds of its founding times this, plus the founder's place. */
    static final int MAX_SEEDS = 32;
    /** No standing view was heard of for so long; longer than one whose members have gone still says so. */
    static final long QUIET_MICROS = 5_000_000;
    /** Consent holds for so long. */
    static final long CONSENT_MICROS = 4_000_000;
    /** Further seeds and newcomers are waited for so long after the last of them. */
    private static final long GATHER = 1_000_000;

    private static final long AGAIN = 300_000;
    /** Each seed waits so much longer than the one before it in the list, so that one asks first. */
    private static final long STAGGER = 500_000;
    /** Who knocked so long ago may have gone. */
    private static final long FRESH = 3_000_000;

    private static final int MOST_KNOCKERS = 4_096;

    private final List<String> seeds;
    private final String address;
    private final int place;
    private final RandomGenerator random;
    private final Map<MemberId, Knocked> knockers = new LinkedHashMap<>();
    private final Map<MemberId, Member> founders = new LinkedHashMap<>();
    private final Set<String> consenting = new LinkedHashSet<>();
    private Phase phase = Phase.NONE;
    private boolean ordered;
    private long quietUntil;
    private long askedAt;
    private long askAt;
    private long gatherUntil;
    private long epoch;
    private long lastEpoch;
    private MemberId consentTo;
    private long consentUntil;

    private record Knocked(Member member, long at) {}

    ClusterBootstrap(List<String> seeds, String address, RandomGenerator random) {
        if (seeds.size() > MAX_SEEDS) {
            throw new IllegalArgumentException("at most " + MAX_SEEDS + " seeds");
        }
        this.seeds = List.copyOf(seeds);
        this.address = address;
        this.random = random;
        place = seeds.indexOf(address);
    }

    boolean isSeed() {
        return place >= 0;
    }

    /** This member is in no view from now on. */
    void onLeftView(long now) {
        phase = isSeed() ? Phase.QUIET : Phase.NONE;
        ordered = false;
        quietUntil = now + QUIET_MICROS + Math.max(0, place) * STAGGER;
    }

    /** It is in a view. */
    void onEnteredView() {
        phase = Phase.NONE;
        ordered = false;
        knockers.clear();
    }

    /** A view that stands was heard of: it is to be joined, and none to be founded. */
    void onReachableQuorum(long now) {
        if (phase != Phase.NONE && !ordered) {
            onLeftView(now);
        }
    }

    /** Somebody wants to join, and there is nothing yet to be joined. */
    void onJoinRequest(Member member, long now) {
        Knocked old = knockers.remove(member.id());
        if (knockers.size() >= MOST_KNOCKERS) {
            knockers.remove(knockers.keySet().iterator().next());
        }
        knockers.put(member.id(), new Knocked(member, now));
        if (old == null && phase == Phase.ASKING) {
            gatherUntil = now + GATHER;
        }
    }

    /** The operator orders a new epoch with all that consent. */
    void orderByOperator(long now) {
        phase = Phase.QUIET;
        ordered = true;
        quietUntil = now;
        consentTo = null;
    }

    /**
     * Another founder asks; returns whether this member consents. {@code free}: it is in no view, or, for
     * an order, in one that does not stand.
     */
    boolean grantConsent(MemberId founder, boolean free, long now) {
        if (!free || phase == Phase.ASKING || consentTo != null && !consentTo.equals(founder) && now < consentUntil) {
            return false;
        }
        consentTo = founder;
        consentUntil = now + CONSENT_MICROS;
        return true;
    }

    /** Somebody consents to the founding of that epoch. */
    void onConsent(long to, Member member, long now) {
        if (phase == Phase.ASKING && to == epoch && founders.putIfAbsent(member.id(), member) == null) {
            consenting.add(member.address());
            gatherUntil = now + GATHER;
        }
    }

    long nextStepMicros() {
        return switch (phase) {
            case NONE -> Long.MAX_VALUE;
            case QUIET -> quietUntil;
            case ASKING -> askAt;
        };
    }

    /** The next thing to do; {@code unixMillis} is the time by the calendar, for the epoch. */
    Step nextStep(Member self, long now, long unixMillis) {
        if (phase == Phase.QUIET && now >= quietUntil) {
            if (consentTo != null && now < consentUntil) {
                quietUntil = consentUntil + random.nextLong(CONSENT_MICROS);
                return Step.NOTHING;
            }
            begin(self, now, unixMillis);
        }
        if (phase != Phase.ASKING) {
            return Step.NOTHING;
        }
        boolean enough = ordered || 2 * consentingSeeds() > seeds.size();
        boolean all = !ordered && consenting.containsAll(seeds);
        if (enough && now >= gatherUntil && (all || now >= askedAt + 2 * GATHER)
                || enough && now >= askedAt + CONSENT_MICROS - GATHER) {
            knockers.values().forEach(one -> {
                if (now - one.at <= FRESH) {
                    founders.putIfAbsent(one.member.id(), one.member);
                }
            });
            return Step.FORM_CLUSTER;
        }
        if (now >= askedAt + CONSENT_MICROS) { // whoever consented is free again: another may try, or this one later
            phase = Phase.QUIET;
            quietUntil = now + random.nextLong(CONSENT_MICROS);
            return Step.NOTHING;
        }
        if (now >= askAt) {
            askAt = now + AGAIN;
            return Step.REQUEST_CONSENT;
        }
        return Step.NOTHING;
    }

    private void begin(Member self, long now, long unixMillis) {
        phase = Phase.ASKING;
        epoch = Math.max(unixMillis * MAX_SEEDS + Math.max(0, place), lastEpoch + MAX_SEEDS);
        lastEpoch = epoch;
        askedAt = now;
        askAt = now;
        gatherUntil = now + GATHER;
        consentTo = null;
        founders.clear();
        consenting.clear();
        founders.put(self.id(), self);
        consenting.add(address);
    }

    private int consentingSeeds() {
        int count = 0;
        for (String one : seeds) {
            count += consenting.contains(one) ? 1 : 0;
        }
        return count;
    }

    long epoch() {
        return epoch;
    }

    boolean isOrderedByOperator() {
        return ordered;
    }

    /** The first view, after {@link Step#FORM_CLUSTER}; of two that have a name, the one that started later. */
    View firstView() {
        Map<String, Member> byName = new LinkedHashMap<>();
        for (Member one : founders.values()) {
            byName.merge(one.id().name(), one, (a, b) -> a.id().start() >= b.id().start() ? a : b);
        }
        return new View(new ViewId(epoch, 1), new ArrayList<>(byName.values()));
    }
}
