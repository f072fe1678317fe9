package wheatspread.lab.faults;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * What becomes of a message on its way, by the faults that hold. It does no I/O and reads no clock: relays
 * between processes and the emulator ask it alike. Times are microseconds.
 */
public final class LinkModel {
    private final List<Fault> holding = new ArrayList<>();
    private final RandomGenerator random;

    public LinkModel(RandomGenerator random) {
        this.random = random;
    }

    public void begin(Fault fault) {
        holding.add(fault);
    }

    public void end(Fault fault) {
        holding.remove(fault);
    }

    /** The delays after which copies of a message arrive; none where it is lost. */
    public List<Long> deliveryDelays(String from, String to, long now) {
        long delay = 0;
        int copies = 1;
        for (Fault one : holding) {
            if (!one.from().contains(from) || !one.to().contains(to)) {
                continue;
            }
            switch (one.kind()) {
                case CUT -> {
                    return List.of();
                }
                case FLAP -> {
                    if ((now - one.beginMicros()) / one.extraMicros() % 2 == 0) {
                        return List.of();
                    }
                }
                case LOSS -> {
                    if (random.nextDouble() < one.share()) {
                        return List.of();
                    }
                }
                case DELAY -> delay += one.extraMicros();
                case DUPLICATE -> copies += random.nextDouble() < one.share() ? 1 : 0;
                case REORDER -> delay += random.nextDouble() < one.share() ? random.nextLong(one.extraMicros()) : 0;
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
