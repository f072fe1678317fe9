package wheatspread.timers;

/**
 * A hierarchical timing wheel (G. Varghese and A. Lauck, "Hashed and Hierarchical Timing Wheels", SOSP 1987,
 * scheme 7): setting, moving and cancelling a timer take constant time, however many there are. Times are
 * microseconds of a clock that never goes back; the wheel reads none itself. A timer expires at the end of its tick
 * of 1,024 us, so up to that much late and never early.
 *
 * <p>Unlike a wheel that is polled at every tick, this one says when it must next be advanced, so that an idle
 * process sleeps. Timers belong to their owners and are linked into the wheel's lists while they are set, so that
 * setting one allocates nothing. Not safe for use by several threads.
 */
public final class TimerWheel {
    /** A tick is 2 to this power of microseconds. */
    private static final int TICK_BITS = 10;
    /**
     * Each level has 2 to this power of slots. A slot of the first level is one tick wide; a slot of any other level
     * is as wide as the whole level below.
     */
    private static final int[] SLOT_BITS = {8, 6, 6, 6};

    /** A slot of each level is 2 to this power of ticks wide. */
    private static final int[] SLOT_WIDTH_BITS = {0, 8, 14, 20};
    /** Timers further ahead, some 18 hours, wait in the farthest slot and are placed again from there. */
    private static final long MAX_TICKS_AHEAD = (1L << 26) - 1;

    /** The slot of a timer that has expired and is still to be called. */
    private static final int EXPIRED = -1;
    /** The slot of a timer that is not set. */
    private static final int UNSET = -2;

    /** Expires once each time it is set. Its owner may cancel or move it, and set it again after it expired. */
    public abstract static class Timer {
        private Timer previous;
        private Timer next;
        private long deadlineMicros;
        private int slot = UNSET;

        /** Called by {@link #expire} when its deadline has passed; it is not set any more. */
        protected abstract void onExpiry();

        /** Whether it is set and has not been called since. */
        public boolean isSet() {
            return slot != UNSET;
        }
    }

    /** The head of a list. */
    private static final class Sentinel extends Timer {
        @Override
        protected void onExpiry() {
            throw new IllegalStateException("a sentinel never expires");
        }
    }

    /** The timers of each slot, as circular lists with a sentinel; the levels stand one after another. */
    private final Timer[] slots;
    /** The index in {@link #slots} of each level's first slot. */
    private final int[] firstSlot = new int[SLOT_BITS.length];
    /** For each level, a bit set of the slots that hold timers. */
    private final long[][] occupied = new long[SLOT_BITS.length][];
    /** The timers that have expired and are still to be called. */
    private final Timer expired = sentinel();
    /** The tick up to which timers were taken out of their slots. */
    private long currentTick;

    private int size;

    /** Starts at the time {@code nowMicros}. */
    public TimerWheel(long nowMicros) {
        int count = 0;
        for (int level = 0; level < SLOT_BITS.length; level++) {
            firstSlot[level] = count;
            count += 1 << SLOT_BITS[level];
            occupied[level] = new long[Math.max(1, (1 << SLOT_BITS[level]) / 64)];
        }
        slots = new Timer[count];
        currentTick = nowMicros >> TICK_BITS;
    }

    private static Timer sentinel() {
        Timer list = new Sentinel();
        list.previous = list;
        list.next = list;
        return list;
    }

    /** How many timers are set. */
    public int size() {
        return size;
    }

    /**
     * Sets a timer, or moves one that is set, to expire at that time. One that moves to a later time stays
     * in its slot and is placed again when its old time comes: a deadline that is extended on every use
     * costs one store.
     */
    public void set(Timer timer, long deadlineMicros) {
        if (timer.slot >= 0 && deadlineMicros >= timer.deadlineMicros) {
            timer.deadlineMicros = deadlineMicros;
            return;
        }
        cancel(timer);
        timer.deadlineMicros = deadlineMicros;
        size++;
        place(timer);
    }

    /** Cancels a timer; has no effect on one that is not set. */
    public void cancel(Timer timer) {
        if (timer.slot != UNSET) {
            unlink(timer);
            timer.slot = UNSET;
            size--;
        }
    }

    /** The tick at whose end a timer expires: rounded up, so that none expires early. */
    private static long tickOf(long deadlineMicros) {
        return deadlineMicros + (1 << TICK_BITS) - 1 >> TICK_BITS;
    }

    private void place(Timer timer) {
        long tick = tickOf(timer.deadlineMicros);
        long ticksAhead = tick - currentTick;
        if (ticksAhead <= 0) {
            timer.slot = EXPIRED;
            link(expired, timer);
            return;
        }
        if (ticksAhead > MAX_TICKS_AHEAD) {
            tick = currentTick + MAX_TICKS_AHEAD;
            ticksAhead = MAX_TICKS_AHEAD;
        }
        int level = 0;
        while (ticksAhead >> SLOT_WIDTH_BITS[level] + SLOT_BITS[level] != 0) {
            level++;
        }
        int index = (int) (tick >> SLOT_WIDTH_BITS[level]) & (1 << SLOT_BITS[level]) - 1;
        int slot = firstSlot[level] + index;
        if (slots[slot] == null) {
            slots[slot] = sentinel();
        }
        occupied[level][index >> 6] |= 1L << index;
        timer.slot = slot;
        link(slots[slot], timer);
    }

    private static void link(Timer list, Timer timer) {
        timer.previous = list.previous;
        timer.next = list;
        list.previous.next = timer;
        list.previous = timer;
    }

    private void unlink(Timer timer) {
        timer.previous.next = timer.next;
        timer.next.previous = timer.previous;
        if (timer.slot >= 0 && slots[timer.slot].next == slots[timer.slot]) {
            markEmpty(timer.slot);
        }
        timer.previous = null;
        timer.next = null;
    }

    private void markEmpty(int slot) {
        int level = SLOT_BITS.length - 1;
        while (firstSlot[level] > slot) {
            level--;
        }
        int index = slot - firstSlot[level];
        occupied[level][index >> 6] &= ~(1L << index);
    }

    /**
     * Advances to {@code nowMicros} and calls the timers that have expired, at most {@code maxTimers} of them, in the
     * order of their ticks. What is left is called next time. Returns how many were called.
     */
    public int expire(long nowMicros, int maxTimers) {
        advance(nowMicros >> TICK_BITS);
        int called = 0;
        while (called < maxTimers && expired.next != expired) {
            Timer timer = expired.next;
            cancel(timer);
            called++;
            timer.onExpiry();
        }
        return called;
    }

    /** Whether the last {@link #expire} left expired timers over. */
    public boolean hasExpiredTimers() {
        return expired.next != expired;
    }

    private void advance(long targetTick) {
        while (currentTick < targetTick) {
            currentTick = Math.min(targetTick, nextStop());
            int index = (int) currentTick & (1 << SLOT_BITS[0]) - 1;
            if (index == 0) {
                cascade(1);
            }
            emptySlot(0, index);
        }
    }

    /** The next tick whose slot in the first level is occupied, or at which a slot of the next level is emptied. */
    private long nextStop() {
        int slotCount = 1 << SLOT_BITS[0];
        long wrap = (currentTick | slotCount - 1) + 1;
        int step = distance(0, (int) currentTick & slotCount - 1);
        return step == 0 ? wrap : Math.min(currentTick + step, wrap);
    }

    /** Moves the timers of the current slot of a level to the levels below. */
    private void cascade(int level) {
        int index = (int) (currentTick >> SLOT_WIDTH_BITS[level]) & (1 << SLOT_BITS[level]) - 1;
        if (index == 0 && level + 1 < SLOT_BITS.length) {
            cascade(level + 1);
        }
        emptySlot(level, index);
    }

    /** Empties a slot: timers that have expired are queued for their call, the others are placed again. */
    private void emptySlot(int level, int index) {
        Timer list = slots[firstSlot[level] + index];
        if ((occupied[level][index >> 6] & 1L << index) == 0) {
            return;
        }
        occupied[level][index >> 6] &= ~(1L << index);
        Timer timer = list.next;
        list.next = list;
        list.previous = list;
        while (timer != list) {
            Timer following = timer.next;
            place(timer);
            timer = following;
        }
    }

    /**
     * When {@link #expire} must next be called, in microseconds: at once if a timer has expired, and
     * {@link Long#MAX_VALUE} if none is set. It may be before the first timer expires, never after.
     */
    public long nextAdvanceMicros() {
        if (hasExpiredTimers()) {
            return currentTick << TICK_BITS;
        }
        long earliestMicros = Long.MAX_VALUE;
        for (int level = 0; level < SLOT_BITS.length; level++) {
            int index = (int) (currentTick >> SLOT_WIDTH_BITS[level]) & (1 << SLOT_BITS[level]) - 1;
            int step = distance(level, index);
            if (step > 0) {
                long tick = (currentTick >> SLOT_WIDTH_BITS[level]) + step << SLOT_WIDTH_BITS[level];
                earliestMicros = Math.min(earliestMicros, tick << TICK_BITS);
            }
        }
        return earliestMicros;
    }

    /** How many slots after an index the next occupied one comes, 1 to a full turn; 0 if there is none. */
    private int distance(int level, int index) {
        long[] occupiedSlots = occupied[level];
        int count = 1 << SLOT_BITS[level];
        int step = 1;
        while (step <= count) {
            int at = index + step & count - 1;
            long word = occupiedSlots[at >> 6] >>> at;
            if (word != 0) {
                step += Long.numberOfTrailingZeros(word);
                return step <= count ? step : 0;
            }
            step += 64 - (at & 63);
        }
        return 0;
    }
}
