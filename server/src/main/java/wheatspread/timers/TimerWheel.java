package wheatspread.timers;

/**
 * A hierarchical timing wheel (G. Varghese and A. Lauck, "Hashed and Hierarchical Timing Wheels", SOSP 1987,
 * scheme 7). Setting, moving and cancelling a timer take constant time, regardless of the number of timers. Times are
 * in microseconds of a monotonic clock; the wheel does not read a clock. A timer expires at the end of its tick of
 * 1,024 us, so it is late by less than a tick and never early.
 *
 * <p>The wheel need not be polled at every tick: it computes when it must next be advanced, so that an idle process
 * can sleep. Timers belong to their owners and are linked into the wheel's lists while they are set, so that setting
 * a timer does not allocate. Not thread-safe.
 */
public final class TimerWheel {
    /** The binary logarithm of the length of a tick in microseconds. */
    private static final int TICK_BITS = 10;
    /**
     * The binary logarithm of the number of slots of each level. A slot of the first level is one tick wide; a slot of
     * any other level is as wide as the whole level below.
     */
    private static final int[] SLOT_BITS = {8, 6, 6, 6};

    /** The binary logarithm of the width in ticks of a slot of each level. */
    private static final int[] SLOT_WIDTH_BITS = {0, 8, 14, 20};
    /**
     * A timer that is due later, in more than about 18 hours, is put in the farthest slot, and placed again when that
     * slot is emptied.
     */
    private static final long MAX_TICKS_AHEAD = (1L << 26) - 1;

    /** The slot of a timer that has expired and whose {@link Timer#onExpiry} has not been called yet. */
    private static final int EXPIRED = -1;
    /** The slot of a timer that is not set. */
    private static final int UNSET = -2;

    /** A timer, which expires once each time it is set. Its owner may cancel or move it, and set it again later. */
    public abstract static class Timer {
        private Timer previous;
        private Timer next;
        private long deadlineMicros;
        private int slot = UNSET;

        /** Called by {@link #expire} after the deadline has passed. The timer is then no longer set. */
        protected abstract void onExpiry();

        /** Returns whether the timer is set and {@link #onExpiry} has not been called since. */
        public boolean isSet() {
            return slot != UNSET;
        }
    }

    /** The head of a circular list of timers. */
    private static final class Sentinel extends Timer {
        @Override
        protected void onExpiry() {
            throw new IllegalStateException("sentinel of a timer list called as a timer; its slot list is corrupt");
        }
    }

    /** The timers of each slot, level by level, as circular lists with a sentinel; null for a slot never used. */
    private final Timer[] slots;
    /** The index in {@link #slots} of each level's first slot. */
    private final int[] firstSlot = new int[SLOT_BITS.length];
    /** A bit set of the non-empty slots of each level. */
    private final long[][] occupied = new long[SLOT_BITS.length][];
    /** The timers that have expired and whose {@link Timer#onExpiry} has not been called yet. */
    private final Timer expired = sentinel();
    /** The tick up to which expired timers have been removed from their slots. */
    private long currentTick;

    private int size;

    /** Creates an empty wheel whose time is {@code nowMicros}. */
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

    /** Returns the number of timers that are set. */
    public int size() {
        return size;
    }

    /**
     * Sets a timer to expire at {@code deadlineMicros}, or moves the timer there if it is already set. A timer that
     * moves to a later time stays in its slot and is placed again at its old deadline, so extending a deadline costs a
     * single store.
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

    /** Cancels a timer; has no effect if the timer is not set. */
    public void cancel(Timer timer) {
        if (timer.slot != UNSET) {
            unlink(timer);
            timer.slot = UNSET;
            size--;
        }
    }

    /** Returns the tick at which a timer expires, rounded up so that the timer does not expire early. */
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
     * Advances to {@code nowMicros} and calls the expired timers in the order of their ticks, at most
     * {@code maxTimers} of them. The next call continues with the remaining timers. Returns the number of timers
     * called.
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

    /** Returns whether expired timers remain after the last {@link #expire}. */
    public boolean hasExpiredTimers() {
        return expired.next != expired;
    }

    private void advance(long targetTick) {
        while (currentTick < targetTick) {
            currentTick = Math.min(targetTick, nextTickToProcess());
            int index = (int) currentTick & (1 << SLOT_BITS[0]) - 1;
            if (index == 0) {
                cascade(1);
            }
            emptySlot(0, index);
        }
    }

    /** Returns the next tick with timers in the first level, or at which a slot of the next level is emptied. */
    private long nextTickToProcess() {
        int slotCount = 1 << SLOT_BITS[0];
        long wrapTick = (currentTick | slotCount - 1) + 1;
        int step = distance(0, (int) currentTick & slotCount - 1);
        return step == 0 ? wrapTick : Math.min(currentTick + step, wrapTick);
    }

    /** Moves the timers of a level's current slot to the levels below, after doing so for the levels above. */
    private void cascade(int level) {
        int index = (int) (currentTick >> SLOT_WIDTH_BITS[level]) & (1 << SLOT_BITS[level]) - 1;
        if (index == 0 && level + 1 < SLOT_BITS.length) {
            cascade(level + 1);
        }
        emptySlot(level, index);
    }

    /** Empties a slot: expired timers are added to {@link #expired}, the others are placed again. */
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
     * Returns when {@link #expire} must next be called, in microseconds: a time already reached if expired timers
     * remain, and {@link Long#MAX_VALUE} if no timer is set. The time may precede the first expiry, but is never later.
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

    /** Returns the distance from an index to the next non-empty slot, 1 to the number of slots; 0 if all are empty. */
    private int distance(int level, int index) {
        long[] occupiedSlots = occupied[level];
        int count = 1 << SLOT_BITS[level];
        int step = 1;
        while (step <= count) {
            int candidate = index + step & count - 1;
            long word = occupiedSlots[candidate >> 6] >>> candidate;
            if (word != 0) {
                step += Long.numberOfTrailingZeros(word);
                return step <= count ? step : 0;
            }
            step += 64 - (candidate & 63);
        }
        return 0;
    }
}
