package wheatspread.daemon;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wheatspread.transport.Listener;

/**
 * The listeners of a server: those of its fronts, with the addresses they are to listen on and those they were bound
 * to, and that of the operators' endpoint.
 *
 * <p>{@link #bind} is called once, on the thread that starts the server; the addresses may be read by any thread after
 * that. All else is called on the loop's thread. {@link ShutdownSequence} closes the listeners.
 */
final class FrontListeners {
    /** In the order in which they are bound; without the operators' endpoint. */
    private final Map<Listener, InetSocketAddress> addresses = new LinkedHashMap<>();

    private final List<InetSocketAddress> boundAddresses = new ArrayList<>();
    /** That of the platform's proxies, which may accept on an inherited socket. */
    private final Listener platformListener;
    /** The file descriptor of the inherited socket; -1 for none. */
    private final int inheritedDescriptor;
    /** That of the operators' endpoint; null where there is none. */
    private final Listener controlListener;

    private volatile InetSocketAddress controlAddress;

    FrontListeners(
            Map<Listener, InetSocketAddress> addresses,
            Listener platformListener,
            int inheritedDescriptor,
            Listener controlListener) {
        this.addresses.putAll(addresses);
        this.platformListener = platformListener;
        this.inheritedDescriptor = inheritedDescriptor;
        this.controlListener = controlListener;
    }

    /** Binds the operators' endpoint to {@code controlAddress}, then the fronts. What cannot be bound is thrown. */
    void bind(InetSocketAddress controlAddress) {
        if (controlListener != null) {
            this.controlAddress = listen(controlListener, controlAddress);
        }
        addresses.forEach((listener, address) -> boundAddresses.add(bindFront(listener, address)));
    }

    private InetSocketAddress bindFront(Listener listener, InetSocketAddress address) {
        boolean inherits = listener == platformListener && inheritedDescriptor >= 0;
        return inherits ? listener.adoptInheritedSocket(inheritedDescriptor) : listen(listener, address);
    }

    private static InetSocketAddress listen(Listener listener, InetSocketAddress address) {
        try {
            return listener.listen(address);
        } catch (Exception e) { // Netty throws the system's error, checked or not
            throw new IllegalStateException("cannot listen on " + address + ": " + e.getMessage(), e);
        }
    }

    /** The listeners of the fronts. */
    List<Listener> listeners() {
        return List.copyOf(addresses.keySet());
    }

    /** The listeners of the fronts, with the addresses that they are to listen on. */
    Map<Listener, InetSocketAddress> addresses() {
        return addresses;
    }

    /** The addresses to which the fronts were bound, in that order. */
    List<InetSocketAddress> boundAddresses() {
        return List.copyOf(boundAddresses);
    }

    /** Null where there is none. */
    Listener controlListener() {
        return controlListener;
    }

    /** Null before it is bound, and where there is none. */
    InetSocketAddress controlAddress() {
        return controlAddress;
    }

    /** Accepts connections of an inherited socket; until the process serves, the earlier process accepts them. */
    void acceptInherited() {
        if (inheritedDescriptor >= 0) {
            platformListener.acceptOnInheritedSocket();
        }
    }

    /** Leaves further connections of an inherited socket to the next process. */
    void releaseInherited() {
        if (inheritedDescriptor >= 0) {
            platformListener.stopListening();
        }
    }

    /** Closes the connections of the fronts that were idle for so long. */
    void closeIdle(long idleMicros) {
        addresses.keySet().forEach(listener -> listener.limitIdleTime(idleMicros));
    }

    /** Closes all listeners, that of the operators' endpoint too. */
    void close() {
        addresses.keySet().forEach(Listener::drainAll);
        if (controlListener != null) {
            controlListener.drainAll();
        }
    }
}
