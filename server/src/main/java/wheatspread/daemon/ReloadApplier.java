package wheatspread.daemon;

import wheatspread.announce.AnnounceClient;
import wheatspread.config.ServerConfig;
import wheatspread.core.Core;
import wheatspread.core.DeploymentSettings;
import wheatspread.jsonrpc.RpcFront;
import wheatspread.kernel.KernelLink;
import wheatspread.logging.EventLog;
import wheatspread.records.RecordsClient;
import wheatspread.uwsgi.UwsgiFront;

/**
 * Applies a new configuration to a running server. A reload adds request classes and changes the addresses of the
 * kernel, the records service and the announce service. A request class that is already known keeps its settings. All
 * other settings, including the tenants, take effect at the next start.
 */
final class ReloadApplier {
    private final ServerConfig startConfig;
    private final Core core;
    private final KernelLink kernel;
    private final RecordsClient records;
    private final AnnounceClient announceClient;
    private final RpcFront platform;
    private final UwsgiFront uwsgi;
    private final EventLog log;

    /**
     * Creates an applier; {@code startConfig} is the configuration at the start, {@code uwsgi} is null if that front is
     * off.
     */
    ReloadApplier(
            ServerConfig startConfig,
            Core core,
            KernelLink kernel,
            RecordsClient records,
            AnnounceClient announceClient,
            RpcFront platform,
            UwsgiFront uwsgi,
            EventLog log) {
        this.startConfig = startConfig;
        this.core = core;
        this.kernel = kernel;
        this.records = records;
        this.announceClient = announceClient;
        this.platform = platform;
        this.uwsgi = uwsgi;
        this.log = log;
    }

    /**
     * Applies a configuration. Called on the event loop's thread. The settings are applied first, since only they can
     * still be rejected: the exception is then thrown before anything has changed.
     */
    void apply(ServerConfig next) {
        DeploymentSettings deployment = core.reload(next.site());
        log.info(
                "reload",
                "kernel",
                next.kernel(),
                "records",
                next.records(),
                "announce",
                next.announce(),
                "needs_start",
                !next.withAddressesOf(startConfig).equals(startConfig));
        kernel.moveTo(next.kernel());
        records.moveTo(next.records());
        announceClient.moveTo(next.announce());
        platform.applySettings(deployment);
        if (uwsgi != null) {
            uwsgi.applySettings(deployment);
        }
        log.info("classes_reloaded", "classes", deployment.classes());
    }
}
