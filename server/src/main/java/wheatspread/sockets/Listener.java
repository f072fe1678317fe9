package wheatspread.sockets;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Consumer;
import wheatspread.core.Clock;

/**
 * A listening socket with the callers it accepted: it bounds their number, their idling and what waits to be
 * written to them, and passes on that the server leaves.
 */
public final class Listener {
    private static final long SWEEP = 100_000;
    /** Who never asked by then is closed: bad callers are owed an answer or a close within 3 s; us. */
    private static final long FIRST_REQUEST = 2_000_000;
    /** A request that began must be whole by then; us. */
    private static final long WHOLE_REQUEST = 2_000_000;
    /** Who never asked is the first to make room, but not before it had the time to; us. */
    private static final long TO_SPEAK = 200_000;
    private static final int WRITE_LOW = 64 * 1024;
    private static final int WRITE_HIGH = 128 * 1024;
    /** What may wait to be written to all callers together: a quarter of the heap. */
    private static final long MOST_WAITING = 12 * 1024 * 1024;

    private final EventLoop loop;
    private final Clock clock;
    private final int mostConnections;
    private final Consumer<Channel> pipeline;
    private final Set<Caller> callers = new LinkedHashSet<>();
    private Channel listening;
    private long idleAfter;
    private boolean leaving;

    /** {@code pipeline} gives an accepted channel its handlers, the last of which tells {@link #opened}. */
    public Listener(EventLoop loop, Clock clock, int mostConnections, Consumer<Channel> pipeline) {
        this.loop = loop;
        this.clock = clock;
        this.mostConnections = mostConnections;
        this.pipeline = pipeline;
    }

    /** Binds and accepts; what cannot be bound is thrown. Returns the address that was bound. */
    public InetSocketAddress listen(InetSocketAddress address) {
        ChannelFuture binding = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, 1024).option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK,
                new WriteBufferWaterMark(WRITE_LOW, WRITE_HIGH))
            .childHandler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel channel) {
                    if (makeRoom()) {
                        accept(channel);
                    } else {
                        channel.close();
                    }
                }
            }).bind(address).awaitUninterruptibly();
        if (!binding.isSuccess()) {
            throw new IllegalStateException("cannot listen on " + address + ": "
                + binding.cause().getMessage());
        }
        listening = binding.channel();
        loop.execute(this::sweep);
        return (InetSocketAddress) listening.localAddress();
    }

    /** Gives a channel the handlers of a caller. */
    public void accept(Channel channel) {
        pipeline.accept(channel);
    }

    /**
     * Guards the descriptors that kernel, records and announce need, and guards proxies against callers that
     * hold connections and want nothing: past the bound the one that is of least use makes room.
     */
    boolean makeRoom() {
        if (callers.size() < mostConnections) {
            return true;
        }
        Caller least = callers.stream().min(Comparator.comparingLong(this::use)).orElseThrow();
        if (least.idleSince() == Long.MAX_VALUE) {
            return false;
        }
        callers.remove(least);
        least.close();
        return true;
    }

    /** Those that were silent for a while come first, then the one that rested longest. */
    private long use(Caller caller) {
        boolean silent = !caller.asked() && caller.idleSince() < clock.now() - TO_SPEAK;
        return silent ? caller.idleSince() - clock.now() : caller.idleSince();
    }

    public void opened(Caller caller) {
        callers.add(caller);
        if (leaving) {
            caller.lastCall();
        }
    }

    public void closed(Caller caller) {
        callers.remove(caller);
    }

    /** Connections without an open request are closed after so many microseconds; 0 means never. */
    public void closeIdle(long after) {
        idleAfter = after;
    }

    void sweep() {
        if (idleAfter > 0) {
            long before = clock.now() - idleAfter;
            new ArrayList<>(callers).forEach(caller -> caller.closeIfIdleSince(before));
        }
        closeSilent();
        closeStalled();
        clock.after(SWEEP, this::sweep);
    }

    /** Guards connections against callers that say nothing, or never end what they say. */
    private void closeSilent() {
        long now = clock.now();
        for (Caller caller : new ArrayList<>(callers)) {
            if (!caller.asked()) {
                caller.closeIfIdleSince(now - FIRST_REQUEST);
            }
            caller.closeIfMidwaySince(now - WHOLE_REQUEST);
        }
    }

    /** Guards the heap against many callers that ask and do not read: the one furthest behind is closed. */
    private void closeStalled() {
        long waiting = callers.stream().mapToLong(Caller::waitingBytes).sum();
        while (waiting > MOST_WAITING) {
            Caller worst = callers.stream().max(Comparator.comparingLong(Caller::waitingBytes)).orElseThrow();
            waiting -= worst.waitingBytes();
            callers.remove(worst);
            worst.close();
        }
    }

    /** Tells all callers that nothing new may come on what they hold open. */
    public void lastCall() {
        leaving = true;
        new ArrayList<>(callers).forEach(Caller::lastCall);
    }

    public void stopListening() {
        listening.close();
    }

    public void close() {
        stopListening();
        new ArrayList<>(callers).forEach(Caller::close);
    }
}
