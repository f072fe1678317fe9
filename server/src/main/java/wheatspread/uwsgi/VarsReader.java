package wheatspread.uwsgi;

import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import wheatspread.admission.Idempotency;
import wheatspread.admission.RequestClass;
import wheatspread.config.UwsgiConfig;
import wheatspread.config.UwsgiConfig.Defaults;
import wheatspread.core.DeploymentSettings;
import wheatspread.core.InboundRequest;

/** Reads a request's vars into a submission; what they leave out comes from its route's defaults. */
final class VarsReader {
    private static final double MOST_RAM = 2_000;

    private final DeploymentSettings site;
    private final UwsgiConfig config;
    private final Routes routes;
    private final Supplier<String> newJob;

    /** A var is missing or cannot be read. */
    static final class BadVar extends RuntimeException {
        private static final long serialVersionUID = 1L;

        BadVar(String message) {
            super(message);
        }
    }

    VarsReader(DeploymentSettings site, UwsgiConfig config, Supplier<String> newJob) {
        this.site = site;
        this.config = config;
        this.newJob = newJob;
        routes = new Routes(config.routes(), config.defaults());
    }

    static String path(Map<String, String> vars) {
        String uri = vars.getOrDefault("PATH_INFO", vars.getOrDefault("REQUEST_URI", ""));
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }

    InboundRequest read(Map<String, String> vars, byte[] body, long now) {
        Defaults defaults = routes.find(path(vars));
        UwsgiConfig.Vars names = config.vars();
        int kind = index(vars, names.kind(), site.classes(), defaults.kind());
        int tenant = site.tenants().isEmpty() ? 0 : index(vars, names.tenant(), site.tenants(), defaults.tenant());
        RequestClass told = site.settings().classes().get(kind);
        long limit = micros(vars, names.limit(), defaults.limit());
        boolean limited = limit > 0;
        if (!limited) {
            limit = told.deadlineMicros();
        }
        double ram = number(vars, names.ram(), defaults.ramKb());
        if (ram > MOST_RAM) {
            throw new BadVar(names.ram() + " is over " + MOST_RAM);
        }
        String unique = null;
        String item = null;
        if (told.idempotency() == Idempotency.IDEMPOTENCY_KEY) {
            unique = text(vars, names.unique());
            if (unique == null) {
                throw new BadVar(names.unique() + " is missing, and this class needs it");
            }
        } else {
            item = text(vars, names.item());
        }
        return new InboundRequest(
                newJob.get(),
                kind,
                tenant,
                now,
                now + limit,
                limited,
                false,
                ram,
                micros(vars, names.hint(), defaults.hint()),
                unique,
                item,
                body);
    }

    private static String text(Map<String, String> vars, String name) {
        String value = vars.get(name);
        return value == null || value.isEmpty() ? null : value;
    }

    private static int index(Map<String, String> vars, String name, List<String> known, int absent) {
        String value = text(vars, name);
        int index = value == null ? absent : known.indexOf(value);
        if (index < 0) {
            throw new BadVar(name + (value == null ? " is missing and has no default" : " is unknown"));
        }
        return index;
    }

    private static long micros(Map<String, String> vars, String name, long absent) {
        return Math.round(number(vars, name, absent / 1000.0) * 1000);
    }

    private static double number(Map<String, String> vars, String name, double absent) {
        String value = text(vars, name);
        if (value == null) {
            return absent;
        }
        if (!value.matches("\\d{1,9}(\\.\\d{1,9})?")) {
            throw new BadVar(name + " is not a number");
        }
        return Double.parseDouble(value);
    }
}
