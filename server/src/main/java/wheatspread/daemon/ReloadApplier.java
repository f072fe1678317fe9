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

/** Brings the addresses and the classes of a new configuration to the parts of a running server. */
final class ReloadApplier {
    private final ServerConfig started;
    private final Core core;
    private final KernelLink kernel;
    private final RecordsClient records;
    private final AnnounceClient announcer;
    private final RpcFront platform;
    private final UwsgiFront uwsgi;
    private final EventLog log;

    /** {@code started} is what the process was started with; {@code uwsgi} is null where that front is off. */
    ReloadApplier(
            ServerConfig started,
            Core core,
            KernelLink kernel,
            RecordsClient records,
            AnnounceClient announcer,
            RpcFront platform,
            UwsgiFront uwsgi,
            EventLog log) {
        this.started = started;
        this.core = core;
        this.kernel = kernel;
        this.records = records;
        this.announcer = announcer;
        this.platform = platform;
        this.uwsgi = uwsgi;
        this.log = log;
    }

    /** On the loop's thread. The classes come first: they are what may yet be refused, and that is thrown. */
    void of(ServerConfig next) {
        DeploymentSettings site = core.retune(next.site());
        log.info(
                "reload",
                "kernel",
                next.kernel(),
                "records",
                next.records(),
                "announce",
                next.announce(),
                "needs_start",
                !next.withAddressesOf(started).equals(started));
        kernel.moveTo(next.kernel());
        records.moveTo(next.records());
        announcer.moveTo(next.announce());
        platform.retune(site);
        if (uwsgi != null) {
            uwsgi.retune(site);
        }
        log.info("retuned", "classes", site.classes());
    }
}
