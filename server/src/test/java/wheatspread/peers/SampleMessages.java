package wheatspread.peers;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wheatspread.membership.GossipUpdate;
import wheatspread.membership.Member;
import wheatspread.membership.MemberId;
import wheatspread.membership.Message;
import wheatspread.membership.Message.Body;
import wheatspread.membership.View;
import wheatspread.membership.ViewAgreement;
import wheatspread.membership.ViewChange;
import wheatspread.membership.ViewId;

/** Sample message bodies and gossip updates, at least one of each kind, by the name of the file with their bytes. */
final class SampleMessages {
    static final String CLUSTER = "kitchen";
    static final String ADDRESS = "127.0.0.1:7400";
    static final MemberId SENDER = member(2).id();
    static final long DIGEST = -5;

    private SampleMessages() {}

    static Member member(int number) {
        return new Member(
                new MemberId("m" + number, 1_000 + number),
                "10.0.0." + number + ":7400",
                "zone-" + number % 3,
                "b1",
                7);
    }

    static View view(int size) {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            members.add(member(i));
        }
        return new View(new ViewId(54_400_000_161_760L, 3), members);
    }

    static Map<String, GossipUpdate> updates() {
        ViewChange change = ViewChange.of(List.of(member(1).id()), List.of(member(200)));
        Map<String, GossipUpdate> updates = new LinkedHashMap<>();
        updates.put("gossip-report", new GossipUpdate.Report(3, 9, 5));
        updates.put("gossip-suspicion", new GossipUpdate.Suspicion(0, 0, 1));
        updates.put("gossip-leaving", new GossipUpdate.Leaving(11));
        updates.put("gossip-joining", new GossipUpdate.Joining(member(20)));
        updates.put(
                "gossip-joiner-reachable",
                new GossipUpdate.JoinerReachable(member(20).id(), 2, 1));
        updates.put("gossip-fast-votes", new GossipUpdate.FastVotes(change, BitSet.valueOf(new long[] {0b1011})));
        updates.put("gossip-prepare", new GossipUpdate.Prepare(1 << 20));
        updates.put(
                "gossip-promised-without-vote",
                new GossipUpdate.Promised(1 << 20, 4, new ViewAgreement.Promise(ViewAgreement.NOT_VOTED, null)));
        updates.put(
                "gossip-promised-with-vote",
                new GossipUpdate.Promised(1 << 20, 5, new ViewAgreement.Promise(ViewAgreement.FAST_BALLOT, change)));
        updates.put("gossip-accepted", new GossipUpdate.Accepted(1 << 20, change, BitSet.valueOf(new long[] {0b11})));
        return updates;
    }

    static Map<String, Body> bodies() {
        Map<String, Body> bodies = new LinkedHashMap<>();
        bodies.put("body-ping", new Body.Ping(7, member(1).id()));
        bodies.put("body-ack", new Body.Ack(7));
        bodies.put("body-indirect-ping", new Body.IndirectPing(8, member(1).id(), "10.0.0.1:7400"));
        bodies.put("body-nack", new Body.Nack(8));
        bodies.put("body-gossip", new Body.Gossip());
        bodies.put("body-view-request", new Body.ViewRequest());
        bodies.put("body-view", new Body.ViewResponse(view(12)));
        bodies.put("body-join-request", new Body.JoinRequest(member(30)));
        bodies.put("body-bootstrap-request", new Body.BootstrapRequest(54_400_000_161_761L, true));
        bodies.put("body-bootstrap-consent", new Body.BootstrapConsent(54_400_000_161_761L, member(3)));
        return bodies;
    }

    /** Returns each sample as the message that its file contains, by the name of the file. */
    static Map<String, Message> singleMessages() {
        Map<String, Message> messages = new LinkedHashMap<>();
        bodies().forEach((name, body) -> messages.put(name, message(body, List.of())));
        updates().forEach((name, update) -> messages.put(name, message(new Body.Gossip(), List.of(update))));
        messages.put("without-view", new Message(SENDER, ViewId.NONE, false, 0, new Body.Gossip(), List.of()));
        return messages;
    }

    static Message message(Body body, List<GossipUpdate> updates) {
        return new Message(SENDER, view(12).id(), true, DIGEST, body, updates);
    }
}
