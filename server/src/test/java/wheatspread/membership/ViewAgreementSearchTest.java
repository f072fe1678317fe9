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
 * Explores the state space of an agreement: all orders of proposals, rounds and messages, where each message may be
 * lost, delayed or duplicated. A message that was sent may reach any member at any later time, or never, so a crash
 * needs no separate step: a crashed member takes no more steps. The search records all votes and checks that no two
 * changes ever have a quorum, even if no member knows of it. Therefore the votes of the fast round and of acceptors are
 * not delivered; {@link ViewAgreementTest} covers their delivery.
 */
class ViewAgreementSearchTest {
    private static final ViewChange X = ViewChange.of(List.of(new MemberId("x", 1)), List.of());
    private static final ViewChange Y = ViewChange.of(List.of(new MemberId("y", 1)), List.of());

    /** A message of a ballot: its kind, sender and content. */
    private record RoundMessage(char kind, long ballot, int from, long votedBallot, ViewChange change) {}

    /** The limits of a search and the quorum sizes. */
    private record Bounds(
            int memberCount,
            int maxRounds,
            int maxRestarts,
            int classicQuorum,
            int fastQuorum,
            boolean swapProposals) {}

    /** The state of all members, with all messages and votes sent so far. */
    private static final class SystemState {
        final ViewAgreement[] members;
        final Set<RoundMessage> sent = new LinkedHashSet<>();
        final Set<RoundMessage> votes = new HashSet<>();
        int rounds;
        int restarts;
        /** A bit for each member that has proposed, by member index. */
        int proposed;

        SystemState(Bounds bounds, View view) {
            members = new ViewAgreement[bounds.memberCount];
            for (int i = 0; i < members.length; i++) {
                members[i] = new ViewAgreement(view, i, bounds.classicQuorum, bounds.fastQuorum);
            }
        }

        SystemState(SystemState other) {
            members = other.members.clone();
            sent.addAll(other.sent);
            votes.addAll(other.votes);
            rounds = other.rounds;
            restarts = other.restarts;
            proposed = other.proposed;
        }

        /** Returns a copy in which a member has a new state and has sent the messages and votes that follow from it. */
        SystemState withMemberState(int memberIndex, ViewAgreement next) {
            SystemState copy = new SystemState(this);
            copy.members[memberIndex] = next;
            next.fastVotes()
                    .forEach((change, voters) -> voters.stream()
                            .forEach(voter -> copy.votes.add(new RoundMessage('v', 0, voter, 0, change))));
            long ballot = next.ballot();
            if (ballot > ViewAgreement.FAST_BALLOT) {
                copy.sent.add(new RoundMessage('p', ballot, 0, 0, null));
                ViewAgreement.Promise ownPromise = next.promises().get(memberIndex);
                if (ownPromise != null) {
                    copy.sent.add(new RoundMessage(
                            'r', ballot, memberIndex, ownPromise.votedBallot(), ownPromise.votedChange()));
                }
                if (next.proposal() != null) {
                    copy.sent.add(new RoundMessage('a', ballot, 0, 0, next.proposal()));
                    next.acceptors().stream()
                            .forEach(voter -> copy.votes.add(new RoundMessage('v', ballot, voter, 0, next.proposal())));
                }
            }
            return copy;
        }

        /** Returns the changes for which a quorum voted in one ballot. */
        Set<ViewChange> chosenChanges(Bounds bounds) {
            Map<String, Integer> counts = new HashMap<>();
            Set<ViewChange> chosen = new HashSet<>();
            for (RoundMessage vote : votes) {
                int count = counts.merge(vote.ballot + "/" + vote.change, 1, Integer::sum);
                if (count >= (vote.ballot == 0 ? bounds.fastQuorum : bounds.classicQuorum)) {
                    chosen.add(vote.change);
                }
            }
            return chosen;
        }

        /** Returns a text that is equal for equal states. */
        String key() {
            StringBuilder key = new StringBuilder();
            for (ViewAgreement member : members) {
                key.append(member).append('\n');
            }
            List<String> messages = new ArrayList<>();
            sent.forEach(message -> messages.add(message.toString()));
            votes.forEach(message -> messages.add(message.toString()));
            messages.sort(null);
            return key.append(messages)
                    .append(rounds)
                    .append(restarts)
                    .append(proposed)
                    .toString();
        }
    }

    private static void deliver(ViewAgreement member, RoundMessage message) {
        switch (message.kind) {
            case 'p' -> member.onPrepare(message.ballot);
            case 'r' ->
                member.onPromise(
                        message.ballot, message.from, new ViewAgreement.Promise(message.votedBallot, message.change));
            default -> member.onAccept(message.ballot, message.change);
        }
    }

    /** The result of a search; the conflict is the key of a state with two chosen changes, or null. */
    private record SearchResult(long states, String conflict, boolean complete) {}

    private static SearchResult search(Bounds bounds, int maxStates) {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < bounds.memberCount; i++) {
            members.add(new Member(new MemberId("m" + i, 1), "", "", "", 0));
        }
        View view = new View(new ViewId(1, 1), members);
        Set<Long> seen = new HashSet<>();
        Deque<SystemState> open = new ArrayDeque<>();
        open.add(new SystemState(bounds, view));
        while (!open.isEmpty()) {
            SystemState current = open.pollLast();
            for (SystemState next : successors(current, bounds, view)) {
                if (next.chosenChanges(bounds).size() > 1) {
                    return new SearchResult(seen.size(), next.key(), false);
                }
                if (seen.size() < maxStates && seen.add(Hashing.komihash5_0().hashCharsToLong(next.key()))) {
                    open.addLast(next);
                }
            }
        }
        return new SearchResult(seen.size(), null, seen.size() < maxStates);
    }

    private static List<SystemState> successors(SystemState current, Bounds bounds, View view) {
        List<SystemState> next = new ArrayList<>();
        for (int memberIndex = 0; memberIndex < bounds.memberCount; memberIndex++) {
            ViewAgreement member = current.members[memberIndex];
            if ((current.proposed & 1 << memberIndex) == 0) {
                ViewAgreement proposing = new ViewAgreement(member);
                proposing.propose(memberIndex % 2 == 0 != bounds.swapProposals ? X : Y);
                SystemState after = current.withMemberState(memberIndex, proposing);
                after.proposed |= 1 << memberIndex;
                next.add(after);
            }
            if (current.rounds < bounds.maxRounds && member.hasCandidate() && member.decided() == null) {
                ViewAgreement coordinator = new ViewAgreement(member);
                coordinator.startClassicRound();
                SystemState after = current.withMemberState(memberIndex, coordinator);
                after.rounds++;
                next.add(after);
            }
            if (current.restarts < bounds.maxRestarts) {
                SystemState after = current.withMemberState(
                        memberIndex, new ViewAgreement(view, memberIndex, bounds.classicQuorum, bounds.fastQuorum));
                after.restarts++;
                after.proposed &= ~(1 << memberIndex);
                next.add(after);
            }
            for (RoundMessage message : current.sent) {
                if (message.kind == 'r' && (message.ballot & 0xFFFFF) != memberIndex) {
                    continue; // only the coordinator of its ballot uses a promise
                }
                ViewAgreement receiver = new ViewAgreement(member);
                deliver(receiver, message);
                if (!receiver.toString().equals(member.toString())) {
                    next.add(current.withMemberState(memberIndex, receiver));
                }
            }
        }
        return next;
    }

    @Test
    @Timeout(60)
    void threeMembersNeverDecideTwoChanges() {
        SearchResult result = search(new Bounds(3, 2, 0, 2, 3, false), 200_000);
        System.out.println("3 members, 2 rounds: " + result.states() + " states");
        assertThat(result.conflict()).isNull();
        assertThat(result.complete()).isTrue();
    }

    /** The state limit cuts the search off, so that it does not visit all states of five members. */
    @Test
    @Timeout(60)
    void fiveMembersNeverDecideTwoChangesWithinTheStateLimit() {
        SearchResult result = search(new Bounds(5, 2, 0, 3, 4, false), 40_000);
        System.out.println("5 members, 2 rounds: " + result.states() + " states");
        assertThat(result.conflict()).isNull();
    }

    /**
     * Shows that the search finds faults: each of these quorums would allow two different views with the same number.
     */
    @Test
    @Timeout(60)
    void quorumOneBelowTheRequiredSizeLeadsToAConflict() {
        assertThat(search(new Bounds(3, 2, 0, 1, 3, false), 200_000).conflict()).contains("x#1", "y#1");
        // with these quorums the iteration order of a map determines which of two possibly decided changes is proposed
        assertThat(Stream.of(false, true)
                        .map(swapped -> search(new Bounds(3, 2, 0, 2, 2, swapped), 200_000)
                                .conflict()))
                .anyMatch(conflict -> conflict != null && conflict.contains("x#1"));
    }

    @Test
    @Timeout(60)
    void voteLostInARestartLeadsToAConflict() {
        assertThat(search(new Bounds(3, 2, 1, 2, 3, false), 200_000).conflict()).contains("x#1", "y#1");
    }
}
