package wheatspread.daemon;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wheatspread.transport.Listener;

/**
 * The listeners of a server's fronts, with their configured and bound addresses, and the listener of the operators'
 * endpoint.
 *
 * <p>{@link #bind} is called once, on the thread that starts the server; after that any thread may read the addresses.
 * All other methods are called on the event loop's thread. {@link ShutdownSequence} closes the listeners.
 */
final class FrontListeners {
    /** The listeners of the fronts with their configured addresses, in the order of binding. */
    private final Map<Listener, InetSocketAddress> addresses = new LinkedHashMap<>();

    private final List<InetSocketAddress> boundAddresses = new ArrayList<>();
    /** The listener for the platform's proxies, which may accept on an inherited socket. */
    private final Listener platformListener;
    /** The file descriptor of the inherited socket; -1 if there is none. */
    private final int inheritedDescriptor;
    /** The listener of the operators' endpoint; null if there is none. */
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

    /**
     * Binds the operators' endpoint to {@code controlAddress}, and then the fronts.
     *
     * @throws IllegalStateException if an address cannot be bound; the message names the address
     */
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
        } catch (Exception e) { // Netty rethrows the system's error, which may be a checked exception
            throw new IllegalStateException("cannot listen on " + address + ": " + e.getMessage(), e);
        }
    }

    /** Returns the listeners of the fronts, in the order of binding. */
    List<Listener> listeners() {
        return List.copyOf(addresses.keySet());
    }

    /** Returns the listeners of the fronts with their configured addresses, in the order of binding. */
    Map<Listener, InetSocketAddress> addresses() {
        return addresses;
    }

    /** Returns the addresses to which the fronts were bound, in the order of binding. */
    List<InetSocketAddress> boundAddresses() {
        return List.copyOf(boundAddresses);
    }

    /** Returns the listener of the operators' endpoint; null if there is none. */
    Listener controlListener() {
        return controlListener;
    }

    /** Returns the bound address of the operators' endpoint; null before it is bound, or if there is none. */
    InetSocketAddress controlAddress() {
        return controlAddress;
    }

    /**
     * Starts to accept connections on an inherited socket; the earlier process accepts them until this process serves.
     */
    void acceptInherited() {
        if (inheritedDescriptor >= 0) {
            platformListener.acceptOnInheritedSocket();
        }
    }

    /** Stops accepting connections on an inherited socket; the next process accepts them. */
    void releaseInherited() {
        if (inheritedDescriptor >= 0) {
            platformListener.stopListening();
        }
    }

    /** Closes the connections of the fronts that have been idle for at least {@code idleMicros}. */
    void closeIdle(long idleMicros) {
        addresses.keySet().forEach(listener -> listener.limitIdleTime(idleMicros));
    }

    /** Drains all listeners, including that of the operators' endpoint. */
    void close() {
        addresses.keySet().forEach(Listener::drainAll);
        if (controlListener != null) {
            controlListener.drainAll();
        }
    }
}
