package wheatspread.membership;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.IntPredicate;
import java.util.random.RandomGenerator;
import wheatspread.membership.Message.Body;

/**
 * One member: watches its subjects, passes news on, and agrees with the others on the next view. Messages
 * and turns go in, messages and views come out. It does no I/O, reads no clock and holds no random source of
 * its own; times are microseconds. One thread at a time.
 */
public final class Membership {
    /** A list of seeds holds so many at most. */
    public static final int MOST_SEEDS = ClusterBootstrap.MAX_SEEDS;
    /** How often news alone goes out while there is any, and to how many. */
    private static final long GOSSIP = 100_000;

    private static final int GOSSIP_TO = 3;
    private static final int MOST_NEWS = 16;
    private static final int MOST_JOINERS = 256;
    private static final int MOST_RELAYS = 256;
    private static final int MOST_TOLD = 4_096;
    /** A new view is made known by so many rounds of messages, even where there is no other news. */
    private static final int TELL_ROUNDS = 10;
    /** A change is voted for once nothing new was reported for so long. */
    private static final long SETTLE = 200_000;
    /** Who stands between the marks is waited for so long: watchers differ by their suspicions. */
    private static final long PATIENCE = 5_000_000;
    /** Votes that split are waited for so long, spread so that few begin a round at once; */
    private static final long FIRST_ROUND = 250_000;
    /** and a round that is under way so long. */
    private static final long ROUND = 1_000_000;

    private static final long KNOCK = 500_000;
    /** A peer is asked for a view, or told one or all that is known, this often at most. */
    private static final long AGAIN = 300_000;
    /** Seeds outside the view are told of it so often by all members together, and twice this by few. */
    private static final long SEEK = 200_000;

    private static final long LEAST_SEEK = 2_000_000;
    private static final int MOST_KNOCKS = 3;
    /** All that is known is told this often at most, and no more than 1,000 pieces of it a second. */
    private static final long TELL_ALL = 20_000;

    private static final long TELL_ALL_PIECE = 1_000;
    /** Under loss suspicions come with every message, and each would have all members counted. */
    private static final long COUNT_MISSED = 250_000;

    /** What a member does to the outside. */
    public interface Actions {
        void send(String address, Message message);

        /**
         * Another view holds from now on.
         *
         * @param before null for the first
         * @param gone those of before who are not in it, with the reasons
         */
        void changed(View before, View now, List<Departure> gone);

        /** The time by the calendar, for the numbers of epochs. */
        long unixMillis();
    }

    /** Another start number stands here where this member came back to a fleet that it had left. */
    private Member self;

    private final List<String> seeds;
    private final DetectorSettings settings;
    private final RandomGenerator random;
    private final Actions actions;
    private final LocalHealth health;
    private final GossipQueue queue = new GossipQueue();
    private final ClusterBootstrap founding;
    private final FlapDamping damping = new FlapDamping();
    private final Map<MemberId, Subject> subjects = new LinkedHashMap<>();
    private final Map<Long, Relay> relays = new LinkedHashMap<>();
    private final Map<MemberId, Long> toldAt = new HashMap<>();
    private View view;
    private int index = -1;
    private CutDetector tally;
    private QuorumReachability standing;
    private ViewAgreement agreement;
    private ViewChange proposed;
    private long lastNumber;
    private long expectedTurn = Long.MAX_VALUE;
    private long gossipAt;
    private long knockAt;
    private long seekAt;
    private long missedAt;
    private long tellAllAt;
    /** The latest epoch in which this member was in a view, and whether it was in one under this number. */
    private long latestEpoch;

    private boolean wasIn;
    /** When it was heard last that the view stands, while this member is not in it. */
    private long stoodAt;
    /** The time of the call that is being carried out. */
    private long now;

    private long reportedAt;
    private long unstableSince;
    private long roundAt;
    private long roundSeen;
    private int tellLeft;
    private boolean leaves;

    /** Somebody whom this member watches. */
    private static final class Subject {
        final Member member;
        final FailureDetector watch;
        /** Its place among the watchers. */
        int slot;

        boolean joiner;
        /**
         * Of the present probe: its number, how many helpers were asked, how many said that they heard
         * nothing.
         */
        long number;

        int asked;
        int nacks;

        Subject(Member member, FailureDetector watch) {
            this.member = member;
            this.watch = watch;
        }
    }

    /** A probe that is made for somebody else. */
    private record Relay(String address, long number, long until) {}

    /** {@code seeds} are addresses at which a view may be asked for. */
    public Membership(
            Member self, List<String> seeds, DetectorSettings settings, RandomGenerator random, Actions actions) {
        this.self = self;
        this.seeds = List.copyOf(seeds);
        this.settings = settings;
        this.random = random;
        this.actions = actions;
        health = new LocalHealth(settings);
        founding = new ClusterBootstrap(seeds, self.address(), random);
    }

    /** This member as it is known now. */
    public Member self() {
        return self;
    }

    /** The view that holds here; null before the first. */
    public View view() {
        return view;
    }

    /** Whether this member is in the view that holds here. */
    public boolean isIn() {
        return index >= 0;
    }

    /** How many times as long as usual this member waits before it accuses; 1 in good health. */
    public int distrust() {
        return health.multiplier();
    }

    /** Whether this member is in its view and a quorum of that seems to hear each other. */
    public boolean stands(long at) {
        return isIn() && standing.isReachable(at);
    }

    /** Why the view does not stand, for operators; empty where it does. */
    public String whyNot(long at) {
        String why = isIn() ? standing.unreachableReason(at) : "this server is not in it";
        return why == null ? "" : why;
    }

    /** Begins without a view: to join the fleet that there is, or to help found one. */
    public void start(long at) {
        now = at;
        knockAt = at;
        founding.onLeftView(at);
    }

    /** Begins with a view that was agreed elsewhere. */
    public void begin(View first, long at) {
        now = at;
        install(first, null);
    }

    /**
     * An operator orders a new epoch, since the quorum is gone for good: this member founds it with all that
     * are in no view that stands. Returns why not, or null.
     */
    public String found(long at) {
        if (!founding.isSeed()) {
            return "only a seed founds";
        }
        if (stands(at)) {
            return "the view " + viewId() + " stands";
        }
        founding.orderByOperator(at);
        return null;
    }

    /**
     * This member goes by itself; it takes part until the others have agreed on that, and does not come
     * back.
     */
    public void leave() {
        leaves = true;
        if (isIn()) {
            learn(new GossipUpdate.Leaving(index));
        }
    }

    // ---- time ----

    /** The next time at which {@link #turn} has something to do. */
    public long nextTurn() {
        long next = !isIn()
                ? leaves ? Long.MAX_VALUE : knockAt
                : queue.isEmpty() && tellLeft == 0 && !agreement.isInProgress() && tally.change(true) == null
                        ? seekAt
                        : Math.min(seekAt, gossipAt);
        next = leaves ? next : Math.min(next, founding.nextStepMicros());
        for (Subject one : subjects.values()) {
            next = Math.min(next, one.watch.nextStepMicros());
        }
        for (Relay one : relays.values()) {
            next = Math.min(next, one.until);
        }
        next = Math.max(next, now); // what is due since long ago is due now, or a turn would look late
        expectedTurn = next;
        return next;
    }

    /** Does what is due. A turn that comes far too late tells that this process was stopped. */
    public void turn(long at) {
        now = at;
        long late = now - expectedTurn;
        if (expectedTurn != Long.MAX_VALUE && health.onLateTurn(late)) {
            subjects.values().forEach(one -> one.watch.extendDeadlines(late));
        }
        expectedTurn = Long.MAX_VALUE;
        if (!isIn() && !leaves && now >= knockAt) {
            knock();
        }
        if (!leaves) {
            found();
        }
        for (Subject one : List.copyOf(subjects.values())) {
            FailureDetector.Step step = one.watch.nextStep(now);
            while (step != FailureDetector.Step.NOTHING) {
                act(one, step);
                step = one.watch.nextStep(now);
            }
        }
        for (Map.Entry<Long, Relay> one : List.copyOf(relays.entrySet())) {
            if (now >= one.getValue().until) {
                relays.remove(one.getKey());
                send(one.getValue().address, new Body.Nack(one.getValue().number));
            }
        }
        consider();
        if (isIn() && now >= seekAt) {
            seek();
        }
        if (now >= gossipAt) {
            gossipAt = now + GOSSIP;
            if (isIn() && view.size() > 1 && (!queue.isEmpty() || tellLeft > 0)) {
                tellLeft = Math.max(0, tellLeft - 1);
                for (int i = 0; i < GOSSIP_TO; i++) {
                    send(other().address(), new Body.Gossip());
                }
            }
        }
    }

    /** Another member, drawn. */
    private Member other() {
        int one = random.nextInt(view.size() - 1);
        return view.members().get(one < index ? one : one + 1);
    }

    private void knock() {
        knockAt = now + KNOCK;
        List<String> doors = new ArrayList<>(seeds);
        doors.remove(self.address());
        while (doors.size() > MOST_KNOCKS) {
            doors.remove(random.nextInt(doors.size()));
        }
        if (view != null && view.size() > 0) {
            String member = view.members().get(random.nextInt(view.size())).address();
            if (!doors.contains(member) && !member.equals(self.address())) {
                doors.add(member);
            }
        }
        doors.forEach(door -> send(door, new Body.JoinRequest(self)));
    }

    /** Tells a seed that is in no view, or in another fleet's, of this one. */
    private void seek() {
        List<String> absent = new ArrayList<>(seeds);
        view.members().forEach(one -> absent.remove(one.address()));
        if (absent.isEmpty()) {
            seekAt = Long.MAX_VALUE;
            return;
        }
        seekAt = now + Math.max(LEAST_SEEK, SEEK * view.size()) * (50 + random.nextInt(100)) / 100;
        sendBare(absent.get(random.nextInt(absent.size())), new Body.Gossip());
    }

    private void found() {
        if (founding.isOrderedByOperator() && stands(now)) {
            founding.onEnteredView(); // the quorum came back before the order was carried out
        }
        ClusterBootstrap.Step step = founding.nextStep(self, now, actions.unixMillis());
        if (step == ClusterBootstrap.Step.FORM_CLUSTER) {
            install(founding.firstView(), null);
        } else if (step == ClusterBootstrap.Step.REQUEST_CONSENT) {
            Set<String> asked = new LinkedHashSet<>(seeds);
            if (founding.isOrderedByOperator() && view != null) {
                view.members().forEach(one -> asked.add(one.address()));
            }
            asked.remove(self.address());
            asked.forEach(
                    one -> sendBare(one, new Body.BootstrapRequest(founding.epoch(), founding.isOrderedByOperator())));
        }
    }

    private void act(Subject one, FailureDetector.Step step) {
        switch (step) {
            case PROBE -> {
                one.number = ++lastNumber;
                one.asked = 0;
                one.nacks = 0;
                send(one.member.address(), new Body.Ping(one.number, one.member.id()));
            }
            case PROBE_INDIRECTLY -> askAround(one);
            case SUSPECT -> {
                if (one.joiner) {
                    damping.onJoinerSilent(one.member.id());
                }
                health.onProbeFailed(one.asked, one.nacks);
                suspect(one, true);
            }
            default -> {
                say(one, true);
                reportedAt = now;
            }
        }
    }

    private void askAround(Subject one) {
        for (int i = 0; i < settings.helpers() && view.size() > 1; i++) {
            Member helper = other();
            if (!helper.id().equals(one.member.id())) {
                one.asked++;
                send(helper.address(), new Body.IndirectPing(one.number, one.member.id(), one.member.address()));
            }
        }
    }

    private void suspect(Subject one, boolean suspected) {
        if (!one.joiner) {
            int member = view.indexOf(one.member.id());
            int counter = tally.suspicionCounter(member, one.slot);
            if ((counter & 1) == 1 != suspected) {
                learn(new GossipUpdate.Suspicion(member, one.slot, counter + 1));
            }
        }
    }

    /** This watcher's word: on a member whether it is down, on a joiner whether it is heard. */
    private void say(Subject one, boolean gone) {
        if (one.joiner) {
            CutDetector.Joiner of = tally.joiner(one.member.id());
            if (of != null && (of.counters[one.slot] & 1) == 1 == gone) {
                learn(new GossipUpdate.JoinerReachable(one.member.id(), one.slot, of.counters[one.slot] + 1));
            }
            return;
        }
        int member = view.indexOf(one.member.id());
        int counter = tally.reportCounter(member, one.slot);
        if ((counter & 1) == 1 != gone) {
            learn(new GossipUpdate.Report(member, one.slot, counter + 1));
        }
    }

    // ---- messages ----

    private void send(String address, Body body) {
        actions.send(
                address,
                new Message(
                        self.id(), viewId(), stands(now), digest(), body, isIn() ? queue.poll(MOST_NEWS) : List.of()));
    }

    /** To somebody who may be in no view, or in another: without the news of this one. */
    private void sendBare(String address, Body body) {
        actions.send(address, new Message(self.id(), viewId(), stands(now), digest(), body, List.of()));
    }

    private ViewId viewId() {
        return view == null ? ViewId.NONE : view.id();
    }

    private long digest() {
        return isIn() ? tally.digest() * 31 + agreement.digest() : 0;
    }

    /** A message came; {@code address} is where an answer goes. */
    public void received(String address, Message message, long at) {
        now = at;
        int sender = isIn() ? view.indexOf(message.from()) : -1;
        if (sender >= 0) {
            standing.onMessageFrom(sender, now);
        }
        if (!isIn() && message.quorumReachable()) {
            founding.onReachableQuorum(now);
            stoodAt = message.view().epoch() == viewId().epoch() ? now : stoodAt;
        }
        if (message.view().equals(viewId())) {
            if (isIn()) {
                message.updates().forEach(this::hear);
                if (message.digest() != digest() && sender >= 0 && now >= tellAllAt && mayTell(message.from())) {
                    List<GossipUpdate> all = all();
                    tellAllAt = now + Math.max(TELL_ALL, all.size() * TELL_ALL_PIECE);
                    actions.send(
                            address, new Message(self.id(), viewId(), stands(now), digest(), new Body.Gossip(), all));
                }
            }
        } else if (goesBefore(message)) {
            if (!(message.body() instanceof Body.ViewIs) && mayTell(message.from())) {
                send(address, new Body.ViewRequest());
            }
        } else if (isIn() && mayTell(message.from())) {
            sendBare(address, new Body.ViewIs(view));
        }
        answer(address, message);
        consider();
    }

    private boolean goesBefore(Message message) {
        boolean mineStands = isIn() ? stands(now) : view != null && now < stoodAt + ClusterBootstrap.QUIET_MICROS;
        return ViewPrecedence.takesPrecedence(message.view(), message.quorumReachable(), viewId(), mineStands);
    }

    private boolean mayTell(MemberId whom) {
        if (toldAt.size() > MOST_TOLD) {
            toldAt.clear(); // names cost nothing but a moment's repeat
        }
        if (now < toldAt.getOrDefault(whom, Long.MIN_VALUE / 2) + AGAIN) {
            return false;
        }
        toldAt.put(whom, now);
        return true;
    }

    private void answer(String address, Message message) {
        Body body = message.body();
        if (body instanceof Body.Ping ping) {
            if (ping.target().equals(self.id())) { // else it is meant for another process that was here
                send(address, new Body.Ack(ping.number()));
            }
        } else if (body instanceof Body.Ack ack) {
            answered(ack.number());
        } else if (body instanceof Body.IndirectPing asked) {
            if (relays.size() < MOST_RELAYS) {
                relays.put(++lastNumber, new Relay(address, asked.number(), now + settings.direct()));
                send(asked.address(), new Body.Ping(lastNumber, asked.target()));
            }
        } else if (body instanceof Body.Nack nack) {
            subjects.values().stream()
                    .filter(one -> one.number == nack.number())
                    .forEach(one -> one.nacks++);
        } else if (body instanceof Body.ViewRequest) {
            if (isIn()) {
                send(address, new Body.ViewIs(view));
            }
        } else if (body instanceof Body.ViewIs told) {
            if (goesBefore(message) && told.view().id().equals(message.view())) {
                install(told.view(), null);
            }
        } else if (body instanceof Body.BootstrapRequest asked) {
            boolean free = !leaves && (asked.operatorOrdered() ? !stands(now) : !isIn());
            if (founding.grantConsent(message.from(), free, now)) {
                sendBare(address, new Body.BootstrapConsent(asked.epoch(), self));
            }
        } else if (body instanceof Body.BootstrapConsent consent) {
            founding.onConsent(consent.epoch(), consent.member(), now);
        } else if (body instanceof Body.JoinRequest knock) {
            knocked(address, knock.member());
        }
    }

    private void knocked(String address, Member member) {
        if (!isIn()) {
            founding.onJoinRequest(member, now);
        } else if (view.indexOf(member.id()) >= 0) {
            sendBare(address, new Body.ViewIs(view));
        } else {
            hear(new GossipUpdate.Joining(member));
            sendBare(address, new Body.Gossip()); // there is a fleet, so none is to be founded
        }
    }

    private void answered(long number) {
        Relay relay = relays.remove(number);
        if (relay != null) {
            send(relay.address, new Body.Ack(relay.number));
            return;
        }
        for (Subject one : subjects.values()) {
            if (one.number == number) {
                health.onProbeAnswered();
                boolean back = one.watch.onAnswer();
                if (one.joiner ? damping.onJoinerAnswered(one.member.id(), now) : back) {
                    suspect(one, false);
                    say(one, false);
                }
                return;
            }
        }
    }

    // ---- news ----

    /** This member's own news. */
    private void learn(GossipUpdate news) {
        if (take(news)) {
            queue.add(news);
        }
    }

    private void hear(GossipUpdate news) {
        if (take(news)) {
            boolean ofRound = news instanceof GossipUpdate.FastVotes
                    || news instanceof GossipUpdate.Accepted
                    || news instanceof GossipUpdate.Prepare
                    || news instanceof GossipUpdate.Promised;
            if (!ofRound || news instanceof GossipUpdate.Promised) {
                queue.add(news);
            }
            if (ofRound) {
                queueRound();
            } else if (!(news instanceof GossipUpdate.Suspicion)) {
                reportedAt = now;
            }
        }
    }

    /** What is known now of votes and rounds goes on, in the place of what was known before. */
    private void queueRound() {
        ofRound(member -> member == index).forEach(queue::add); // others' promises go on as they are heard
    }

    /** What is known of votes and of the round, with the promises of these members. */
    private List<GossipUpdate> ofRound(IntPredicate promising) {
        List<GossipUpdate> known = new ArrayList<>();
        agreement
                .fastVotes()
                .forEach((change, voters) -> known.add(new GossipUpdate.FastVotes(change, (BitSet) voters.clone())));
        long ballot = agreement.ballot();
        if (ballot > ViewAgreement.FAST_BALLOT) {
            known.add(new GossipUpdate.Prepare(ballot));
            agreement.promises().forEach((member, promise) -> {
                if (promising.test(member)) {
                    known.add(new GossipUpdate.Promised(ballot, member, promise));
                }
            });
            if (agreement.proposal() != null) {
                known.add(new GossipUpdate.Accepted(ballot, agreement.proposal(), (BitSet)
                        agreement.acceptors().clone()));
            }
        }
        return known;
    }

    /** Takes a piece of news in; returns whether it was news. What names nobody of this view is none. */
    private boolean take(GossipUpdate news) {
        if (news instanceof GossipUpdate.Report one) {
            boolean is = inView(one.subject()) && tally.onReport(one.subject(), one.observerIndex(), one.counter());
            if (is && one.subject() == index && (one.counter() & 1) == 1) {
                health.onReported();
            }
            return is;
        } else if (news instanceof GossipUpdate.Suspicion one) {
            return inView(one.subject()) && suspected(one);
        } else if (news instanceof GossipUpdate.Leaving one) {
            return inView(one.member()) && tally.onLeaving(one.member());
        } else if (news instanceof GossipUpdate.Joining one) {
            return view.indexOf(one.member().id()) < 0 && tally.onJoining(one.member()) && watchJoiner(one.member());
        } else if (news instanceof GossipUpdate.JoinerReachable one) {
            return tally.onJoinerReachable(one.joiner(), one.observerIndex(), one.counter());
        } else if (news instanceof GossipUpdate.FastVotes one) {
            return one.voters().length() <= view.size() && agreement.onFastVotes(one.change(), one.voters());
        } else if (news instanceof GossipUpdate.Prepare one) {
            return agreement.onPrepare(one.ballot());
        } else if (news instanceof GossipUpdate.Promised one) {
            return inView(one.member()) && agreement.onPromise(one.ballot(), one.member(), one.promise());
        } else if (news instanceof GossipUpdate.Accepted one) {
            return one.voters().length() <= view.size()
                    && agreement.onAccepted(one.ballot(), one.change(), one.voters());
        }
        return false;
    }

    private boolean inView(int member) {
        return member >= 0 && member < view.size();
    }

    private boolean suspected(GossipUpdate.Suspicion news) {
        if (!tally.onSuspicion(news.subject(), news.observerIndex(), news.counter())) {
            return false;
        }
        Subject watched = subjects.get(view.members().get(news.subject()).id());
        if (watched != null) {
            watched.watch.updateConfirmations(
                    tally.otherSuspecters(news.subject(), watched.slot), tally.observerCount(news.subject()) - 1);
        }
        return true;
    }

    /** Who would watch somebody who wants to join finds out first whether it hears it. */
    private boolean watchJoiner(Member joiner) {
        int[] watchers = tally.joiner(joiner.id()).watchers;
        subjects.values().removeIf(one -> one.joiner && tally.joiner(one.member.id()) == null);
        for (int slot = 0; slot < watchers.length; slot++) {
            if (watchers[slot] == index) {
                Subject subject = new Subject(joiner, new FailureDetector(settings, health, 0));
                subject.slot = slot;
                subject.joiner = true;
                subjects.put(joiner.id(), subject);
            }
        }
        return true;
    }

    /** All that is known of this view. */
    private List<GossipUpdate> all() {
        List<GossipUpdate> all = new ArrayList<>();
        for (int member = 0; member < view.size(); member++) {
            for (int slot = 0; slot < tally.observerCount(member); slot++) {
                if (tally.reportCounter(member, slot) > 0) {
                    all.add(new GossipUpdate.Report(member, slot, tally.reportCounter(member, slot)));
                }
            }
        }
        tally.leavingMembers().stream().forEach(member -> all.add(new GossipUpdate.Leaving(member)));
        tally.joiners().forEach((id, one) -> {
            all.add(new GossipUpdate.Joining(one.member));
            for (int slot = 0; slot < one.counters.length; slot++) {
                if (one.counters[slot] > 0) {
                    all.add(new GossipUpdate.JoinerReachable(id, slot, one.counters[slot]));
                }
            }
        });
        all.addAll(ofRound(member -> true));
        return all;
    }

    // ---- the next view ----

    /**
     * Votes for the change that the reports lead to, begins a round where that is due, and takes what is
     * decided.
     */
    private void consider() {
        if (!isIn()) {
            return;
        }
        if (now >= missedAt) {
            missedAt = now + COUNT_MISSED;
            standing.updateUnreachable(tally.countUnreachable());
        }
        standing.updateAgreement(agreement.isInProgress(), now);
        ViewChange whole = tally.change(false);
        ViewChange hasty = whole == null ? tally.change(true) : null;
        if (hasty == null) {
            unstableSince = now;
        }
        ViewChange change = hasty != null && now >= unstableSince + PATIENCE ? hasty : whole;
        if (change != null && !change.equals(proposed) && now >= reportedAt + SETTLE) {
            proposed = change;
            agreement.propose(change);
            queueRound();
        }
        if (!agreement.isInProgress()) {
            roundAt = now + FIRST_ROUND + random.nextLong(2 * FIRST_ROUND);
        } else if (agreement.ballot() != roundSeen) {
            roundAt = now + ROUND + random.nextLong(2 * ROUND);
        } else if (agreement.decided() == null && now >= roundAt && agreement.hasCandidate()) {
            roundAt = now + ROUND + random.nextLong(2 * ROUND);
            agreement.startClassicRound();
            queueRound();
        }
        roundSeen = agreement.ballot();
        if (agreement.decided() != null) {
            install(view.withChange(agreement.decided()), agreement.decided());
        }
    }

    private void install(View next, ViewChange change) {
        View before = view;
        List<Departure> gone = departures(before, next, change);
        if (wasIn && next.id().epoch() != viewId().epoch() && next.id().epoch() <= latestEpoch) {
            wasIn = false;
            // it may have voted in views of that epoch and has forgotten it, so it comes as another one
            self = new Member(
                    new MemberId(self.id().name(), self.id().start() + 1),
                    self.address(),
                    self.zone(),
                    self.build(),
                    self.config());
        }
        view = next;
        index = next.indexOf(self.id());
        proposed = null;
        roundSeen = ViewAgreement.FAST_BALLOT;
        reportedAt = now;
        unstableSince = now;
        queue.reset(next.size());
        Map<MemberId, Subject> watched = new HashMap<>(subjects);
        subjects.clear();
        if (isIn()) {
            wasIn = true;
            latestEpoch = Math.max(latestEpoch, next.id().epoch());
            tellLeft = TELL_ROUNDS;
            founding.onEnteredView();
            seekAt = now + random.nextLong(LEAST_SEEK);
            standing = new QuorumReachability(next, index, now);
            tally = new CutDetector(next, MOST_JOINERS);
            agreement = new ViewAgreement(next, index);
            for (int member = 0; member < next.size(); member++) {
                int[] watchers = next.observersOf(member);
                for (int slot = 0; slot < watchers.length; slot++) {
                    if (watchers[slot] == index) {
                        watch(next.members().get(member), slot, watched);
                    }
                }
            }
        } else {
            knockAt = now + KNOCK;
            stoodAt = now;
            founding.onLeftView(now);
        }
        actions.changed(before, next, gone);
    }

    /** Who goes and why. Whoever goes without having said so is remembered by name. */
    private List<Departure> departures(View before, View next, ViewChange change) {
        List<Departure> gone = new ArrayList<>();
        for (int i = 0; before != null && i < before.size(); i++) {
            MemberId one = before.members().get(i).id();
            if (next.indexOf(one) >= 0) {
                continue;
            }
            boolean left = isIn() && tally.leavingMembers().get(i);
            boolean again = next.memberNamed(one.name()) != null;
            List<String> witnesses = isIn() ? reportedBy(i) : List.of();
            gone.add(new Departure(
                    one,
                    left
                            ? Departure.Cause.LEFT
                            : again
                                    ? Departure.Cause.RESTARTED
                                    : change == null ? Departure.Cause.TOLD : Departure.Cause.MISSED,
                    witnesses));
            if (!left && before.id().epoch() == next.id().epoch()) {
                damping.recordEviction(one.name(), now);
            }
        }
        return gone;
    }

    // ---- what is told to operators ----

    /** The names of the watchers that report a member of the view to be gone. */
    public List<String> reportedBy(int member) {
        return watchersWhere(member, slot -> (tally.reportCounter(member, slot) & 1) == 1);
    }

    /** The names of the watchers that suspect a member of the view. */
    public List<String> suspectedBy(int member) {
        return watchersWhere(member, slot -> (tally.suspicionCounter(member, slot) & 1) == 1);
    }

    private List<String> watchersWhere(int member, IntPredicate odd) {
        int[] watchers = view.observersOf(member);
        List<String> names = new ArrayList<>();
        for (int slot = 0; slot < watchers.length; slot++) {
            if (odd.test(slot)) {
                names.add(view.members().get(watchers[slot]).id().name());
            }
        }
        return names;
    }

    /** For how long this member has suspected another, in us; 0 where it does not. */
    public long suspectedFor(MemberId other, long at) {
        Subject one = subjects.get(other);
        boolean does = one != null
                && (one.watch.state() == FailureDetector.State.SUSPECT
                        || one.watch.state() == FailureDetector.State.DOWN);
        return does ? at - one.watch.suspectedSinceMicros() : 0;
    }

    /** A watch goes on from one view to the next, with what it has to say. */
    private void watch(Member member, int slot, Map<MemberId, Subject> before) {
        Subject one = before.get(member.id());
        if (one == null) {
            one = new Subject(member, new FailureDetector(settings, health, now + random.nextLong(settings.period())));
        }
        one.slot = slot;
        one.joiner = false;
        subjects.put(member.id(), one);
        FailureDetector.State state = one.watch.state();
        if (state == FailureDetector.State.SUSPECT || state == FailureDetector.State.DOWN) {
            suspect(one, true);
        }
        if (state == FailureDetector.State.DOWN) {
            say(one, true);
        }
    }
}
