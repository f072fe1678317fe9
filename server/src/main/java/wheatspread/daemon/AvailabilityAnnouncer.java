package wheatspread.daemon;

import wheatspread.announce.AnnounceClient;
import wheatspread.config.ServerConfig;
import wheatspread.lifecycle.Lifecycle;

/**
 * Announces to the announce service whether this process accepts requests.
 *
 * <p>If the listening socket was inherited, a drain signal means an upgrade, in which the next process announces the
 * same name. If this process announced that it accepts no requests, the name would be removed from the list for both
 * processes; it therefore stops announcing instead. All calls are made on the event loop's thread.
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
