package wheatspread.timers;

/**
 * A hierarchical timing wheel (G. Varghese and A. Lauck, "Hashed and Hierarchical Timing Wheels", SOSP 1987,
 * scheme 7): setting, moving and cancelling a timer take constant time, however many there are. Time is in
 * microseconds of a clock that never goes back; the wheel reads none itself. A timer rings at the end of its
 * tick of 1,024 us, so up to that much late and never early.
 *
 * <p>Unlike a wheel that is polled at every tick, this one says when it next needs to be looked at, so that
 * an idle process sleeps.
 */
public final class TimerWheel {
    /** A tick is 2 to this power of microseconds. */
    private static final int TICK_BITS = 10;
    /**
     * Slots of the first level, one for each tick; those above have fewer, each as wide as the level below.
     */
    private static final int[] BITS = {8, 6, 6, 6};

    private static final int[] SHIFT = {0, 8, 14, 20};
    /** What lies further ahead, some 18 hours, waits at the far end and is placed again from there. */
    private static final long FARTHEST = (1L << 26) - 1;

    private static final int DUE = -1;
    private static final int NOWHERE = -2;

    /** Something that rings once; its owner may cancel or move it, and set it again after it rang. */
    public abstract static class Timer {
        private Timer previous;
        private Timer next;
        private long deadline;
        private int slot = NOWHERE;

        /** Its time has come. */
        protected abstract void ring();

        /** Whether it is going to ring. */
        public boolean isSet() {
            return slot != NOWHERE;
        }
    }

    /** The head of a list. */
    private static final class Sentinel extends Timer {
        @Override
        protected void ring() {
            throw new IllegalStateException("a sentinel is never due");
        }
    }

    /** Ring lists with a sentinel each: those of all levels one after another, and the one of the due. */
    private final Timer[] slots;

    private final long[][] occupied = new long[BITS.length][];
    private final int[] first = new int[BITS.length];
    private final Timer due = sentinel();
    /** The tick up to which timers were taken out of their slots. */
    private long current;

    private int size;

    /** {@code now} is the time at which it starts, in microseconds. */
    public TimerWheel(long now) {
        int count = 0;
        for (int level = 0; level < BITS.length; level++) {
            first[level] = count;
            count += 1 << BITS[level];
            occupied[level] = new long[Math.max(1, (1 << BITS[level]) / 64)];
        }
        slots = new Timer[count];
        current = now >> TICK_BITS;
    }

    private static Timer sentinel() {
        Timer ring = new Sentinel();
        ring.previous = ring;
        ring.next = ring;
        return ring;
    }

    /** How many timers are set. */
    public int size() {
        return size;
    }

    /**
     * Sets a timer, or moves one that is set, to ring at that time. One that moves to a later time stays
     * where it is and is placed again when its old time comes: a deadline that is pushed back on every use
     * costs one store.
     */
    public void set(Timer timer, long deadline) {
        if (timer.slot >= 0 && deadline >= timer.deadline) {
            timer.deadline = deadline;
            return;
        }
        cancel(timer);
        timer.deadline = deadline;
        size++;
        place(timer);
    }

    /** Forgets a timer; no matter whether it is set. */
    public void cancel(Timer timer) {
        if (timer.slot != NOWHERE) {
            unlink(timer);
            timer.slot = NOWHERE;
            size--;
        }
    }

    /** Ticks are counted at their ends, so that none rings early. */
    private static long tickOf(long deadline) {
        return deadline + (1 << TICK_BITS) - 1 >> TICK_BITS;
    }

    private void place(Timer timer) {
        long tick = tickOf(timer.deadline);
        long ahead = tick - current;
        if (ahead <= 0) {
            timer.slot = DUE;
            link(due, timer);
            return;
        }
        if (ahead > FARTHEST) {
            tick = current + FARTHEST;
            ahead = FARTHEST;
        }
        int level = 0;
        while (ahead >> SHIFT[level] + BITS[level] != 0) {
            level++;
        }
        int index = (int) (tick >> SHIFT[level]) & (1 << BITS[level]) - 1;
        int slot = first[level] + index;
        if (slots[slot] == null) {
            slots[slot] = sentinel();
        }
        occupied[level][index >> 6] |= 1L << index;
        timer.slot = slot;
        link(slots[slot], timer);
    }

    private static void link(Timer ring, Timer timer) {
        timer.previous = ring.previous;
        timer.next = ring;
        ring.previous.next = timer;
        ring.previous = timer;
    }

    private void unlink(Timer timer) {
        timer.previous.next = timer.next;
        timer.next.previous = timer.previous;
        if (timer.slot >= 0 && slots[timer.slot].next == slots[timer.slot]) {
            clear(timer.slot);
        }
        timer.previous = null;
        timer.next = null;
    }

    private void clear(int slot) {
        int level = BITS.length - 1;
        while (first[level] > slot) {
            level--;
        }
        int index = slot - first[level];
        occupied[level][index >> 6] &= ~(1L << index);
    }

    /**
     * Rings what is due at that time, {@code most} timers at most, in the order of their ticks. What is left
     * rings at the next call; see {@link #overdue}. Returns how many rang.
     */
    public int expire(long now, int most) {
        advance(now >> TICK_BITS);
        int rung = 0;
        while (rung < most && due.next != due) {
            Timer timer = due.next;
            cancel(timer);
            rung++;
            timer.ring();
        }
        return rung;
    }

    /** Whether timers whose time has come were left over by the last {@link #expire}. */
    public boolean overdue() {
        return due.next != due;
    }

    private void advance(long target) {
        while (current < target) {
            long next = Math.min(target, nextStop());
            current = next;
            int index = (int) current & (1 << BITS[0]) - 1;
            if (index == 0) {
                cascade(1);
            }
            take(0, index);
        }
    }

    /** The next tick at which a slot of the first level is occupied, or at which a wider slot is opened. */
    private long nextStop() {
        int size = 1 << BITS[0];
        long wrap = (current | size - 1) + 1;
        int step = distance(0, (int) current & size - 1);
        return step == 0 ? wrap : Math.min(current + step, wrap);
    }

    private void cascade(int level) {
        int index = (int) (current >> SHIFT[level]) & (1 << BITS[level]) - 1;
        if (index == 0 && level + 1 < BITS.length) {
            cascade(level + 1);
        }
        take(level, index);
    }

    /** Empties a slot: what is due goes to the due, the rest to where it belongs now. */
    private void take(int level, int index) {
        int slot = first[level] + index;
        Timer ring = slots[slot];
        if ((occupied[level][index >> 6] & 1L << index) == 0) {
            return;
        }
        occupied[level][index >> 6] &= ~(1L << index);
        Timer timer = ring.next;
        ring.next = ring;
        ring.previous = ring;
        while (timer != ring) {
            Timer following = timer.next;
            place(timer);
            timer = following;
        }
    }

    /**
     * When {@link #expire} is next needed, in microseconds: at once if something is due, and
     * {@link Long#MAX_VALUE} if no timer is set. It may come before the first timer, never after it.
     */
    public long nextLook() {
        if (overdue()) {
            return current << TICK_BITS;
        }
        long soonest = Long.MAX_VALUE;
        for (int level = 0; level < BITS.length; level++) {
            int index = (int) (current >> SHIFT[level]) & (1 << BITS[level]) - 1;
            int step = distance(level, index);
            if (step > 0) {
                long tick = (current >> SHIFT[level]) + step << SHIFT[level];
                soonest = Math.min(soonest, tick << TICK_BITS);
            }
        }
        return soonest;
    }

    /** How many slots on from an index the next occupied one is, 1 to all round; 0 if there is none. */
    private int distance(int level, int index) {
        long[] bits = occupied[level];
        int count = 1 << BITS[level];
        int step = 1;
        while (step <= count) {
            int at = index + step & count - 1;
            long word = bits[at >> 6] >>> at;
            if (word != 0) {
                step += Long.numberOfTrailingZeros(word);
                return step <= count ? step : 0;
            }
            step += 64 - (at & 63);
        }
        return 0;
    }
}
