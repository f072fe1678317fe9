package wheatspread.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import wheatspread.membership.Message.Body;

/** Joining: requests to seeds while this server is in no view, and the answers to others' requests. */
final class JoinProtocol {
    private static final long JOIN_REQUEST_INTERVAL_MICROS = 500_000;
    /** Seeds that each round of join requests goes to, so that a long list costs no more than a short one. */
    private static final int MAX_SEEDS_PER_REQUEST = 3;

    private final MembershipState state;
    private final List<String> seeds;
    private final RandomGenerator random;
    private final MessageSender sender;
    private long nextRequestMicros;

    JoinProtocol(MembershipState state, List<String> seeds, RandomGenerator random, MessageSender sender) {
        this.state = state;
        this.seeds = List.copyOf(seeds);
        this.random = random;
        this.sender = sender;
    }

    void start(long nowMicros) {
        nextRequestMicros = nowMicros;
    }

    /** The next time at which {@link #run} sends requests. */
    long nextRequestMicros() {
        return nextRequestMicros;
    }

    /** Sends join requests, where it is time and this server is in no view. */
    void run(long nowMicros) {
        if (state.isMember() || state.isLeaving() || nowMicros < nextRequestMicros) {
            return;
        }
        nextRequestMicros = nowMicros + JOIN_REQUEST_INTERVAL_MICROS;
        for (String address : drawRecipients()) {
            sender.send(address, new Body.JoinRequest(state.self()), nowMicros);
        }
    }

    /** Some seeds and, where this server knows a view that it is not in, a member of that. */
    private List<String> drawRecipients() {
        String ownAddress = state.self().address();
        List<String> recipients = new ArrayList<>(seeds);
        recipients.remove(ownAddress);
        while (recipients.size() > MAX_SEEDS_PER_REQUEST) {
            recipients.remove(random.nextInt(recipients.size()));
        }
        View view = state.view();
        if (view != null && view.size() > 0) {
            String member = view.members().get(random.nextInt(view.size())).address();
            if (!recipients.contains(member) && !member.equals(ownAddress)) {
                recipients.add(member);
            }
        }
        return recipients;
    }

    /** This server is not in the view that was just installed, and asks to join before long. */
    void onLeftView(long nowMicros) {
        nextRequestMicros = nowMicros + JOIN_REQUEST_INTERVAL_MICROS;
    }
}
