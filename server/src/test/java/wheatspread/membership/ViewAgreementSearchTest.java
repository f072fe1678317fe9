package wheatspread.membership;

import static org.assertj.core.api.Assertions.assertThat;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Searches what may become of an agreement: every order in which proposals, rounds and messages can come,
 * each lost, late or doubled. A message that was sent may reach anybody at any later time, or never. So a
 * crash needs no step of its own: it is a member to which nothing more happens. What is looked at is what
 * was voted, by the books of the search: no two changes may ever have a quorum of votes, whoever knows of
 * it. So the votes of the fast round and of those who accepted need not be delivered; {@link AgreementTest}
 * plays their way.
 */
class ViewAgreementSearchTest {
    private static final ViewChange X = ViewChange.of(List.of(new MemberId("x", 1)), List.of());
    private static final ViewChange Y = ViewChange.of(List.of(new MemberId("y", 1)), List.of());

    /** What may be told: of a ballot, who says it, and what goes with it. */
    private record Item(char kind, long ballot, int from, long votedIn, ViewChange change) {}

    /** What a search may do. */
    private record Bounds(int members, int rounds, int restarts, int classicQuorum, int fastQuorum, boolean swapped) {}

    /** All members at one moment, with all messages so far. */
    private static final class Moment {
        final ViewAgreement[] members;
        final Set<Item> sent = new LinkedHashSet<>();
        final Set<Item> votes = new HashSet<>();
        int rounds;
        int restarts;
        int proposed;

        Moment(Bounds bounds, View view) {
            members = new ViewAgreement[bounds.members];
            for (int i = 0; i < members.length; i++) {
                members[i] = new ViewAgreement(view, i, bounds.classicQuorum, bounds.fastQuorum);
            }
        }

        Moment(Moment other) {
            members = other.members.clone();
            sent.addAll(other.sent);
            votes.addAll(other.votes);
            rounds = other.rounds;
            restarts = other.restarts;
            proposed = other.proposed;
        }

        /** A copy in which one member has another state, once it has told all that it votes and asks. */
        Moment with(int who, ViewAgreement next) {
            Moment moment = new Moment(this);
            moment.members[who] = next;
            next.fastVotes()
                    .forEach((change, voters) ->
                            voters.stream().forEach(one -> moment.votes.add(new Item('v', 0, one, 0, change))));
            long ballot = next.ballot();
            if (ballot > ViewAgreement.FAST_BALLOT) {
                moment.sent.add(new Item('p', ballot, 0, 0, null));
                ViewAgreement.Promise mine = next.promises().get(who);
                if (mine != null) {
                    moment.sent.add(new Item('r', ballot, who, mine.votedBallot(), mine.votedChange()));
                }
                if (next.proposal() != null) {
                    moment.sent.add(new Item('a', ballot, 0, 0, next.proposal()));
                    next.acceptors().stream()
                            .forEach(one -> moment.votes.add(new Item('v', ballot, one, 0, next.proposal())));
                }
            }
            return moment;
        }

        /** The changes that a quorum voted for in one ballot. */
        Set<ViewChange> chosen(Bounds bounds) {
            Map<String, Integer> counts = new HashMap<>();
            Set<ViewChange> chosen = new HashSet<>();
            for (Item vote : votes) {
                int count = counts.merge(vote.ballot + "/" + vote.change, 1, Integer::sum);
                if (count >= (vote.ballot == 0 ? bounds.fastQuorum : bounds.classicQuorum)) {
                    chosen.add(vote.change);
                }
            }
            return chosen;
        }

        String key() {
            StringBuilder key = new StringBuilder();
            for (ViewAgreement one : members) {
                key.append(one).append('\n');
            }
            List<String> all = new ArrayList<>();
            sent.forEach(item -> all.add(item.toString()));
            votes.forEach(item -> all.add(item.toString()));
            all.sort(null);
            return key.append(all)
                    .append(rounds)
                    .append(restarts)
                    .append(proposed)
                    .toString();
        }
    }

    private static void hear(ViewAgreement member, Item item) {
        switch (item.kind) {
            case 'p' -> member.onPrepare(item.ballot);
            case 'r' -> member.onPromise(item.ballot, item.from, new ViewAgreement.Promise(item.votedIn, item.change));
            default -> member.onAccept(item.ballot, item.change);
        }
    }

    /** What a search found. */
    private record Found(long states, String conflict, boolean whole) {}

    private static Found search(Bounds bounds, int mostStates) {
        List<Member> all = new ArrayList<>();
        for (int i = 0; i < bounds.members; i++) {
            all.add(new Member(new MemberId("m" + i, 1), "", "", "", 0));
        }
        View view = new View(new ViewId(1, 1), all);
        Set<Long> seen = new HashSet<>();
        Deque<Moment> open = new ArrayDeque<>();
        open.add(new Moment(bounds, view));
        while (!open.isEmpty()) {
            Moment moment = open.pollLast();
            for (Moment next : successors(moment, bounds, view)) {
                if (next.chosen(bounds).size() > 1) {
                    return new Found(seen.size(), next.key(), false);
                }
                if (seen.size() < mostStates && seen.add(Hashing.komihash5_0().hashCharsToLong(next.key()))) {
                    open.addLast(next);
                }
            }
        }
        return new Found(seen.size(), null, seen.size() < mostStates);
    }

    private static List<Moment> successors(Moment moment, Bounds bounds, View view) {
        List<Moment> next = new ArrayList<>();
        for (int who = 0; who < bounds.members; who++) {
            ViewAgreement member = moment.members[who];
            if ((moment.proposed & 1 << who) == 0) {
                ViewAgreement proposing = new ViewAgreement(member);
                proposing.propose(who % 2 == 0 != bounds.swapped ? X : Y);
                Moment after = moment.with(who, proposing);
                after.proposed |= 1 << who;
                next.add(after);
            }
            if (moment.rounds < bounds.rounds && member.hasCandidate() && member.decided() == null) {
                ViewAgreement beginning = new ViewAgreement(member);
                beginning.startClassicRound();
                Moment after = moment.with(who, beginning);
                after.rounds++;
                next.add(after);
            }
            if (moment.restarts < bounds.restarts) {
                Moment after = moment.with(who, new ViewAgreement(view, who, bounds.classicQuorum, bounds.fastQuorum));
                after.restarts++;
                after.proposed &= ~(1 << who);
                next.add(after);
            }
            for (Item item : moment.sent) {
                if (item.kind == 'r' && (item.ballot & 0xFFFFF) != who) {
                    continue; // a promise matters to who leads the round alone
                }
                ViewAgreement hearing = new ViewAgreement(member);
                hear(hearing, item);
                if (!hearing.toString().equals(member.toString())) {
                    next.add(moment.with(who, hearing));
                }
            }
        }
        return next;
    }

    @Test
    @Timeout(60)
    void threeMembersNeverChooseTwoChanges() {
        Found found = search(new Bounds(3, 2, 0, 2, 3, false), 200_000);
        System.out.println("3 members, 2 rounds: " + found.states() + " states");
        assertThat(found.conflict()).isNull();
        assertThat(found.whole()).isTrue();
    }

    /** Bounded: not all that five can do, but the first states of every way. */
    @Test
    @Timeout(60)
    void fiveMembersDoNotWithinTheBound() {
        Found found = search(new Bounds(5, 2, 0, 3, 4, false), 40_000);
        System.out.println("5 members, 2 rounds: " + found.states() + " states");
        assertThat(found.conflict()).isNull();
    }

    /** What the search is for: each of these would give two servers different views of one number. */
    @Test
    @Timeout(60)
    void aQuorumThatIsOneTooSmallIsFound() {
        assertThat(search(new Bounds(3, 2, 0, 1, 3, false), 200_000).conflict()).contains("x#1", "y#1");
        // which of two that might have been decided is taken is no more than the order of a map here
        assertThat(Stream.of(false, true)
                        .map(swapped -> search(new Bounds(3, 2, 0, 2, 2, swapped), 200_000)
                                .conflict()))
                .anyMatch(conflict -> conflict != null && conflict.contains("x#1"));
    }

    @Test
    @Timeout(60)
    void aVoteForgottenAtARestartIsFound() {
        assertThat(search(new Bounds(3, 2, 1, 2, 3, false), 200_000).conflict()).contains("x#1", "y#1");
    }
}
