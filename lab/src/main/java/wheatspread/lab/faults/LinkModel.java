package wheatspread.lab.faults;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Decides whether and when a message between two members arrives, by the link faults in effect. It does no I/O
 * and reads no clock, so that both the relays between processes and the emulator can use it. Times are
 * microseconds. Not thread-safe.
 */
public final class LinkModel {
    private final List<Fault> activeFaults = new ArrayList<>();
    private final RandomGenerator random;

    public LinkModel(RandomGenerator random) {
        this.random = random;
    }

    public void begin(Fault fault) {
        activeFaults.add(fault);
    }

    public void end(Fault fault) {
        activeFaults.remove(fault);
    }

    /** Returns the delay of each copy of a message that arrives; empty if the message is lost. */
    public List<Long> deliveryDelays(String from, String to, long nowMicros) {
        long delay = 0;
        int copies = 1;
        for (Fault fault : activeFaults) {
            if (!fault.from().contains(from) || !fault.to().contains(to)) {
                continue;
            }
            switch (fault.kind()) {
                case CUT -> {
                    return List.of();
                }
                case FLAP -> {
                    if ((nowMicros - fault.beginMicros()) / fault.extraMicros() % 2 == 0) {
                        return List.of();
                    }
                }
                case LOSS -> {
                    if (random.nextDouble() < fault.share()) {
                        return List.of();
                    }
                }
                case DELAY -> delay += fault.extraMicros();
                case DUPLICATE -> copies += random.nextDouble() < fault.share() ? 1 : 0;
                case REORDER -> delay += random.nextDouble() < fault.share() ? random.nextLong(fault.extraMicros()) : 0;
                default -> {}
            }
        }
        List<Long> delays = new ArrayList<>();
        for (int i = 0; i < copies; i++) {
            delays.add(delay + i * 1_000L);
        }
        return delays;
    }
}
