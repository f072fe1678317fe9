package wheatspread.daemon;

import wheatspread.announce.AnnounceClient;
import wheatspread.core.Core;
import wheatspread.kernel.KernelLink;
import wheatspread.records.RecordsClient;

/**
 * The components of a server, as {@link ServerFactory} has connected them. They are used only on the event loop's
 * thread, except for {@code eventLoop}, {@code markerFiles}, {@code reloader} and the binding of {@code listeners}.
 *
 * @param membership this server's membership in its cluster; null if the operator's file does not configure it
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
