package wheatspread.membership;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import wheatspread.membership.Message.Body;

/**
 * One member: watches its subjects, passes news on, and agrees with the others on the next view. Messages
 * and turns go in, messages and views come out. It does no I/O, reads no clock and holds no random source of
 * its own; times are microseconds. One thread at a time.
 */
public final class Membership {
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

    /** What a member does to the outside. */
    public interface Actions {
        void send(String address, Message message);

        /** Another view holds from now on; {@code change} led to it, null where that is not known. */
        void changed(View before, View now, Change change);
    }

    private final Member self;
    private final List<String> seeds;
    private final DetectorSettings settings;
    private final RandomGenerator random;
    private final Actions actions;
    private final SelfHealth health;
    private final NewsQueue queue = new NewsQueue();
    private final Map<MemberId, Subject> subjects = new LinkedHashMap<>();
    private final Map<Long, Relay> relays = new LinkedHashMap<>();
    private final Map<MemberId, Long> toldAt = new HashMap<>();
    private View view;
    private int index = -1;
    private CutTally tally;
    private Agreement agreement;
    private int[][] suspicions;
    private Change proposed;
    private long lastNumber;
    private long expectedTurn = Long.MAX_VALUE;
    private long gossipAt;
    private long knockAt;
    private long reportedAt;
    private long unstableSince;
    private long roundAt;
    private long roundSeen;
    private int tellLeft;
    private boolean leaves;

    /** Somebody whom this member watches. */
    private static final class Subject {
        final Member member;
        final Watch watch;
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

        Subject(Member member, Watch watch) {
            this.member = member;
            this.watch = watch;
        }
    }

    /** A probe that is made for somebody else. */
    private record Relay(String address, long number, long until) { }

    /** {@code seeds} are addresses at which a view may be asked for. */
    public Membership(Member self, List<String> seeds, DetectorSettings settings, RandomGenerator random,
                      Actions actions) {
        this.self = self;
        this.seeds = List.copyOf(seeds);
        this.settings = settings;
        this.random = random;
        this.actions = actions;
        health = new SelfHealth(settings);
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
        return health.times();
    }

    /** Begins with a view that was agreed elsewhere. */
    public void begin(View first, long now) {
        install(first, null, now);
    }

    /**
     * This member goes by itself; it takes part until the others have agreed on that, and does not come
     * back.
     */
    public void leave() {
        leaves = true;
        if (isIn()) {
            learn(new News.Leaving(index));
        }
    }

    // ---- time ----

    /** The next time at which {@link #turn} has something to do. */
    public long nextTurn() {
        long next = !isIn() ? leaves ? Long.MAX_VALUE : knockAt
            : queue.isEmpty() && tellLeft == 0 && !agreement.underWay() && tally.change(true) == null
                ? Long.MAX_VALUE : gossipAt;
        for (Subject one : subjects.values()) {
            next = Math.min(next, one.watch.nextAt());
        }
        for (Relay one : relays.values()) {
            next = Math.min(next, one.until);
        }
        expectedTurn = next;
        return next;
    }

    /** Does what is due. A turn that comes far too late tells that this process was stopped. */
    public void turn(long now) {
        long late = now - expectedTurn;
        if (expectedTurn != Long.MAX_VALUE && health.turned(late)) {
            subjects.values().forEach(one -> one.watch.stoppedFor(late));
        }
        expectedTurn = Long.MAX_VALUE;
        if (!isIn() && !leaves && now >= knockAt) {
            knock(now);
        }
        for (Subject one : List.copyOf(subjects.values())) {
            Watch.Step step = one.watch.step(now);
            while (step != Watch.Step.NOTHING) {
                act(one, step, now);
                step = one.watch.step(now);
            }
        }
        for (Map.Entry<Long, Relay> one : List.copyOf(relays.entrySet())) {
            if (now >= one.getValue().until) {
                relays.remove(one.getKey());
                send(one.getValue().address, new Body.Nack(one.getValue().number));
            }
        }
        consider(now);
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

    private void knock(long now) {
        knockAt = now + KNOCK;
        List<String> doors = new ArrayList<>(seeds);
        if (view != null) {
            view.members().forEach(one -> doors.add(one.address()));
        }
        doors.removeIf(self.address()::equals);
        if (!doors.isEmpty()) {
            send(doors.get(random.nextInt(doors.size())), new Body.Knock(self));
        }
    }

    private void act(Subject one, Watch.Step step, long now) {
        switch (step) {
            case PROBE -> {
                one.number = ++lastNumber;
                one.asked = 0;
                one.nacks = 0;
                send(one.member.address(), new Body.Ping(one.number, one.member.id()));
            }
            case ASK_AROUND -> askAround(one);
            case SUSPECT -> {
                health.missed(one.asked, one.nacks);
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
                send(helper.address(), new Body.AskAround(one.number, one.member.id(), one.member.address()));
            }
        }
    }

    private void suspect(Subject one, boolean suspected) {
        if (!one.joiner) {
            int member = view.indexOf(one.member.id());
            int counter = suspicions[member][one.slot];
            if ((counter & 1) == 1 != suspected) {
                learn(new News.Suspicion(member, one.slot, counter + 1));
            }
        }
    }

    /** This watcher's word: on a member whether it is down, on a joiner whether it is heard. */
    private void say(Subject one, boolean gone) {
        if (one.joiner) {
            CutTally.Joiner of = tally.joiner(one.member.id());
            if (of != null && (of.counters[one.slot] & 1) == 1 == gone) {
                learn(new News.Heard(one.member.id(), one.slot, of.counters[one.slot] + 1));
            }
            return;
        }
        int member = view.indexOf(one.member.id());
        int counter = tally.counter(member, one.slot);
        if ((counter & 1) == 1 != gone) {
            learn(new News.Report(member, one.slot, counter + 1));
        }
    }

    // ---- messages ----

    private void send(String address, Body body) {
        actions.send(address, new Message(self.id(), viewId(), digest(), body,
            isIn() ? queue.take(MOST_NEWS) : List.of()));
    }

    private ViewId viewId() {
        return view == null ? ViewId.NONE : view.id();
    }

    private long digest() {
        return isIn() ? tally.digest() * 31 + agreement.digest() : 0;
    }

    /** A message came; {@code address} is where an answer goes. */
    public void received(String address, Message message, long now) {
        int order = message.view().compareTo(viewId());
        if (order == 0 && isIn()) {
            message.news().forEach(news -> hear(news, now));
            if (message.digest() != digest() && view.indexOf(message.from()) >= 0
                && mayTell(message.from(), now)) {
                actions.send(address, new Message(self.id(), viewId(), digest(), new Body.Gossip(), all()));
            }
        } else if (order > 0 && !(message.body() instanceof Body.ViewIs) && mayTell(message.from(), now)) {
            send(address, new Body.WhichView());
        } else if (order < 0 && isIn() && mayTell(message.from(), now)) {
            send(address, new Body.ViewIs(view));
        }
        answer(address, message.body(), now);
        consider(now);
    }

    private boolean mayTell(MemberId whom, long now) {
        if (toldAt.size() > MOST_TOLD) {
            toldAt.clear(); // names cost nothing but a moment's repeat
        }
        if (now < toldAt.getOrDefault(whom, Long.MIN_VALUE / 2) + AGAIN) {
            return false;
        }
        toldAt.put(whom, now);
        return true;
    }

    private void answer(String address, Body body, long now) {
        if (body instanceof Body.Ping ping) {
            if (ping.to().equals(self.id())) { // else it is meant for another process that was here
                send(address, new Body.Ack(ping.number()));
            }
        } else if (body instanceof Body.Ack ack) {
            answered(ack.number());
        } else if (body instanceof Body.AskAround asked) {
            if (relays.size() < MOST_RELAYS) {
                relays.put(++lastNumber, new Relay(address, asked.number(), now + settings.direct()));
                send(asked.address(), new Body.Ping(lastNumber, asked.to()));
            }
        } else if (body instanceof Body.Nack nack) {
            subjects.values().stream().filter(one -> one.number == nack.number()).forEach(one -> one.nacks++);
        } else if (body instanceof Body.WhichView) {
            if (isIn()) {
                send(address, new Body.ViewIs(view));
            }
        } else if (body instanceof Body.ViewIs told) {
            if (told.view().id().compareTo(viewId()) > 0) {
                install(told.view(), null, now);
            }
        } else if (body instanceof Body.Knock knock && isIn()) {
            if (view.indexOf(knock.member().id()) >= 0) {
                send(address, new Body.ViewIs(view));
            } else {
                hear(new News.Joining(knock.member()), now);
            }
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
                health.answered();
                if (one.watch.answered() || one.joiner) {
                    suspect(one, false);
                    say(one, false);
                }
                return;
            }
        }
    }

    // ---- news ----

    /** This member's own news. */
    private void learn(News news) {
        if (take(news)) {
            queue.add(news);
        }
    }

    private void hear(News news, long now) {
        if (take(news)) {
            boolean ofRound = news instanceof News.FastVotes || news instanceof News.Accepted
                || news instanceof News.Prepare || news instanceof News.Promised;
            if (!ofRound || news instanceof News.Promised) {
                queue.add(news);
            }
            if (ofRound) {
                queueRound();
            } else if (!(news instanceof News.Suspicion)) {
                reportedAt = now;
            }
        }
    }

    /** What is known now of votes and rounds goes on, in the place of what was known before. */
    private void queueRound() {
        agreement.fastVotes().forEach((change, voters) ->
            queue.add(new News.FastVotes(change, (BitSet) voters.clone())));
        long ballot = agreement.ballot();
        if (ballot > Agreement.FAST) {
            queue.add(new News.Prepare(ballot));
            Agreement.Promise mine = agreement.promises().get(index);
            if (mine != null) {
                queue.add(new News.Promised(ballot, index, mine));
            }
            if (agreement.asked() != null) {
                queue.add(new News.Accepted(ballot, agreement.asked(),
                    (BitSet) agreement.accepted().clone()));
            }
        }
    }

    /** Takes a piece of news in; returns whether it was news. What names nobody of this view is none. */
    private boolean take(News news) {
        if (news instanceof News.Report one) {
            boolean is = inView(one.member()) && tally.reported(one.member(), one.slot(), one.counter());
            if (is && one.member() == index && (one.counter() & 1) == 1) {
                health.accused();
            }
            return is;
        } else if (news instanceof News.Suspicion one) {
            return inView(one.member()) && suspected(one);
        } else if (news instanceof News.Leaving one) {
            return inView(one.member()) && tally.leaves(one.member());
        } else if (news instanceof News.Joining one) {
            return view.indexOf(one.member().id()) < 0 && tally.joins(one.member())
                && watchJoiner(one.member());
        } else if (news instanceof News.Heard one) {
            return tally.heard(one.joiner(), one.slot(), one.counter());
        } else if (news instanceof News.FastVotes one) {
            return one.voters().length() <= view.size() && agreement.heardFast(one.change(), one.voters());
        } else if (news instanceof News.Prepare one) {
            return agreement.heardPrepare(one.ballot());
        } else if (news instanceof News.Promised one) {
            return inView(one.member()) && agreement.heardPromise(one.ballot(), one.member(), one.promise());
        } else if (news instanceof News.Accepted one) {
            return one.voters().length() <= view.size()
                && agreement.heardAccepted(one.ballot(), one.change(), one.voters());
        }
        return false;
    }

    private boolean inView(int member) {
        return member >= 0 && member < view.size();
    }

    private boolean suspected(News.Suspicion news) {
        int[] of = suspicions[news.member()];
        if (news.slot() < 0 || news.slot() >= of.length || news.counter() <= of[news.slot()]) {
            return false;
        }
        of[news.slot()] = news.counter();
        Subject watched = subjects.get(view.members().get(news.member()).id());
        if (watched != null) {
            int others = 0;
            for (int slot = 0; slot < of.length; slot++) {
                others += slot != watched.slot ? of[slot] & 1 : 0;
            }
            watched.watch.sharedBy(others, of.length - 1);
        }
        return true;
    }

    /** Who would watch somebody who wants to join finds out first whether it hears it. */
    private boolean watchJoiner(Member joiner) {
        int[] watchers = tally.joiner(joiner.id()).watchers;
        subjects.values().removeIf(one -> one.joiner && tally.joiner(one.member.id()) == null);
        for (int slot = 0; slot < watchers.length; slot++) {
            if (watchers[slot] == index) {
                Subject subject = new Subject(joiner, new Watch(settings, health, 0));
                subject.slot = slot;
                subject.joiner = true;
                subjects.put(joiner.id(), subject);
            }
        }
        return true;
    }

    /** All that is known of this view. */
    private List<News> all() {
        List<News> all = new ArrayList<>();
        for (int member = 0; member < view.size(); member++) {
            for (int slot = 0; slot < suspicions[member].length; slot++) {
                if (tally.counter(member, slot) > 0) {
                    all.add(new News.Report(member, slot, tally.counter(member, slot)));
                }
            }
        }
        tally.leaving().stream().forEach(member -> all.add(new News.Leaving(member)));
        tally.joiners().forEach((id, one) -> {
            all.add(new News.Joining(one.member));
            for (int slot = 0; slot < one.counters.length; slot++) {
                if (one.counters[slot] > 0) {
                    all.add(new News.Heard(id, slot, one.counters[slot]));
                }
            }
        });
        agreement.fastVotes().forEach((change, voters) -> all.add(new News.FastVotes(change,
            (BitSet) voters.clone())));
        long ballot = agreement.ballot();
        if (ballot > Agreement.FAST) {
            all.add(new News.Prepare(ballot));
            agreement.promises().forEach((member, promise) ->
                all.add(new News.Promised(ballot, member, promise)));
            if (agreement.asked() != null) {
                all.add(new News.Accepted(ballot, agreement.asked(), (BitSet) agreement.accepted().clone()));
            }
        }
        return all;
    }

    // ---- the next view ----

    /**
     * Votes for the change that the reports lead to, begins a round where that is due, and takes what is
     * decided.
     */
    private void consider(long now) {
        if (!isIn()) {
            return;
        }
        Change whole = tally.change(false);
        Change hasty = whole == null ? tally.change(true) : null;
        if (hasty == null) {
            unstableSince = now;
        }
        Change change = hasty != null && now >= unstableSince + PATIENCE ? hasty : whole;
        if (change != null && !change.equals(proposed) && now >= reportedAt + SETTLE) {
            proposed = change;
            agreement.propose(change);
            queueRound();
        }
        if (!agreement.underWay()) {
            roundAt = now + FIRST_ROUND + random.nextLong(2 * FIRST_ROUND);
        } else if (agreement.ballot() != roundSeen) {
            roundAt = now + ROUND + random.nextLong(2 * ROUND);
        } else if (agreement.decided() == null && now >= roundAt && agreement.hasCandidate()) {
            roundAt = now + ROUND + random.nextLong(2 * ROUND);
            agreement.begin();
            queueRound();
        }
        roundSeen = agreement.ballot();
        if (agreement.decided() != null) {
            install(view.after(agreement.decided()), agreement.decided(), now);
        }
    }

    private void install(View next, Change change, long now) {
        View before = view;
        view = next;
        index = next.indexOf(self.id());
        proposed = null;
        roundSeen = Agreement.FAST;
        reportedAt = now;
        unstableSince = now;
        queue.clear(next.size());
        Map<MemberId, Subject> watched = new HashMap<>(subjects);
        subjects.clear();
        if (isIn()) {
            tellLeft = TELL_ROUNDS;
            tally = new CutTally(next, MOST_JOINERS);
            agreement = new Agreement(next, index);
            suspicions = new int[next.size()][];
            for (int member = 0; member < next.size(); member++) {
                int[] watchers = next.watchersOf(member);
                suspicions[member] = new int[watchers.length];
                for (int slot = 0; slot < watchers.length; slot++) {
                    if (watchers[slot] == index) {
                        watch(next.members().get(member), slot, watched, now);
                    }
                }
            }
        } else {
            knockAt = now + KNOCK;
        }
        actions.changed(before, next, change);
    }

    /** A watch goes on from one view to the next, with what it has to say. */
    private void watch(Member member, int slot, Map<MemberId, Subject> before, long now) {
        Subject one = before.get(member.id());
        if (one == null) {
            one = new Subject(member, new Watch(settings, health, now + random.nextLong(settings.period())));
        }
        one.slot = slot;
        one.joiner = false;
        subjects.put(member.id(), one);
        Watch.State state = one.watch.state();
        if (state == Watch.State.SUSPECT || state == Watch.State.DOWN) {
            suspect(one, true);
        }
        if (state == Watch.State.DOWN) {
            say(one, true);
        }
    }
}
