package wheatspread.daemon;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wheatspread.transport.Listener;

/** The listeners of one server with the addresses they are to listen on, and those they were bound to. */
final class FrontListeners {
    /** In the order in which they are bound. */
    private final Map<Listener, InetSocketAddress> addresses = new LinkedHashMap<>();

    private final List<InetSocketAddress> bound = new ArrayList<>();
    /** The front of the platform's proxies, which may accept on a socket it was handed. */
    private final Listener platform;
    /** The descriptor of that socket; -1 for none. */
    private final int inherited;
    /** The operators' door; null where there is none. */
    private final Listener door;

    private volatile InetSocketAddress doorAddress;

    FrontListeners(Map<Listener, InetSocketAddress> addresses, Listener platform, int inherited, Listener door) {
        this.addresses.putAll(addresses);
        this.platform = platform;
        this.inherited = inherited;
        this.door = door;
    }

    /** Binds the door, to {@code doorAt}, and the others; what cannot be bound is thrown. */
    void bind(InetSocketAddress doorAt) {
        if (door != null) {
            doorAddress = bind(door, doorAt);
        }
        addresses.forEach((front, address) ->
                bound.add(front == platform && inherited >= 0 ? front.hold(inherited) : bind(front, address)));
    }

    private static InetSocketAddress bind(Listener front, InetSocketAddress address) {
        try {
            return front.listen(address);
        } catch (Exception e) { // Netty throws what the system said, checked or not
            throw new IllegalStateException("cannot listen on " + address + ": " + e.getMessage(), e);
        }
    }

    /** All of them but the door. */
    List<Listener> listeners() {
        return List.copyOf(addresses.keySet());
    }

    /** Where they listen, in the order in which they were bound, without the door. */
    List<InetSocketAddress> bound() {
        return List.copyOf(bound);
    }

    /** Null where there is none. */
    Listener door() {
        return door;
    }

    /** Null before it listens, and where there is none. */
    InetSocketAddress doorAddress() {
        return doorAddress;
    }

    /** Takes what comes to a socket that was handed over, once the process serves. */
    void acceptHeld() {
        if (inherited >= 0) {
            platform.acceptHeld(); // until now the process before this one took what came
        }
    }

    /** Leaves what comes to a socket that was handed over to the next process. */
    void releaseHeld() {
        if (inherited >= 0) {
            platform.stopListening();
        }
    }

    /** Closes connections unused for so many microseconds. */
    void closeIdle(long after) {
        addresses.keySet().forEach(front -> front.closeIdle(after));
    }

    /** Closes all, the door too. */
    void close() {
        addresses.keySet().forEach(Listener::close);
        if (door != null) {
            door.close();
        }
    }
}
