package wheatspread.daemon;

import wheatspread.announce.AnnounceClient;
import wheatspread.config.ServerConfig;
import wheatspread.lifecycle.Lifecycle;

/**
 * Announces whether this process takes requests.
 *
 * <p>Where the listening socket was inherited, a drain signal means an upgrade: the next process announces the same
 * name. An announcement that this one takes no requests would remove the name from the list for both, so this process
 * stops announcing instead. The loop's thread calls.
 */
final class AvailabilityAnnouncer {
    private final ServerConfig config;
    private final Lifecycle lifecycle;
    private final AnnounceClient client;

    AvailabilityAnnouncer(ServerConfig config, Lifecycle lifecycle, AnnounceClient client) {
        this.config = config;
        this.lifecycle = lifecycle;
        this.client = client;
    }

    void announce(boolean accepting) {
        if (config.inheritedDescriptor() >= 0 && lifecycle.isStopping()) {
            client.close();
        } else {
            client.announce(accepting);
        }
    }
}
