package wheatspread.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import wheatspread.membership.Message.Body;

/** Sends join requests to seeds while this server is in no view. */
final class JoinProtocol {
    private static final long JOIN_REQUEST_INTERVAL_MICROS = 500_000;
    /** The maximum number of seeds per round of join requests, so that a long list of seeds costs no more. */
    private static final int MAX_SEEDS_PER_ROUND = 3;

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

    /** Schedules the first requests for {@code nowMicros}. */
    void start(long nowMicros) {
        nextRequestMicros = nowMicros;
    }

    /** Returns the next time at which {@link #run} sends requests. */
    long nextRequestMicros() {
        return nextRequestMicros;
    }

    /** Sends join requests if they are due, this server is in no view, and it is not leaving. */
    void run(long nowMicros) {
        if (state.isMember() || state.isLeaving() || nowMicros < nextRequestMicros) {
            return;
        }
        nextRequestMicros = nowMicros + JOIN_REQUEST_INTERVAL_MICROS;
        for (String address : drawRecipients()) {
            sender.send(address, new Body.JoinRequest(state.self()), nowMicros);
        }
    }

    /** Selects some seeds at random and, if this server knows a view without itself, a member of that view. */
    private List<String> drawRecipients() {
        String ownAddress = state.self().address();
        List<String> recipients = new ArrayList<>(seeds);
        recipients.remove(ownAddress);
        while (recipients.size() > MAX_SEEDS_PER_ROUND) {
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

    /** Called when a view without this server was installed; the first requests are sent after one interval. */
    void onLeftView(long nowMicros) {
        nextRequestMicros = nowMicros + JOIN_REQUEST_INTERVAL_MICROS;
    }
}
