package wheatspread.daemon;

import wheatspread.announce.AnnounceClient;
import wheatspread.core.Core;
import wheatspread.kernel.KernelLink;
import wheatspread.records.RecordsClient;

/**
 * The parts of a server, as {@link ServerFactory} has connected them. Only the loop's thread calls them, but for
 * {@code eventLoop}, {@code markerFiles}, {@code reloader} and the binding of {@code listeners}.
 *
 * @param membership this server among its peers; null where the operator's file does not ask for it
 */
record ServerComponents(
        ServerEventLoop eventLoop,
        Core core,
        KernelLink kernel,
        RecordsClient records,
        AnnounceClient announceClient,
        FrontListeners listeners,
        MembershipService membership,
        ProcessMarkerFiles markerFiles,
        ConfigReloader reloader,
        GracefulShutdown shutdown,
        CounterReporter counterReporter) {}
