package wheatspread.jsonrpc;

import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.json.JSONObject;
import wheatspread.admission.Idempotency;
import wheatspread.admission.RequestClass;
import wheatspread.core.DeploymentSettings;
import wheatspread.core.InboundRequest;

/** Reads the parameters of a class's method into a submission; complaints name the parameter. */
final class RequestReader {
    private static final int LONGEST_BODY = 2 * 1024;
    private static final int LONGEST_KEY = 256;
    private static final double MOST_CALLER = Integer.MAX_VALUE;
    private static final double MOST_RAM = 2_000;
    /** How far ahead of this machine's clock a door may lie; ms. */
    private static final double DOOR_AHEAD = 1_000;
    /** A limit or a cost over so many deadlines of the class is no figure to plan with. */
    private static final double MOST_DEADLINES = 10;

    private final DeploymentSettings site;
    private final Map<String, Integer> kinds;

    /** A parameter is missing, ill-typed or out of range. */
    static final class BadParameter extends RuntimeException {
        private static final long serialVersionUID = 1L;

        BadParameter(String message) {
            super(message);
        }
    }

    RequestReader(DeploymentSettings site) {
        this.site = site;
        kinds = indexes(site.classes());
    }

    private static Map<String, Integer> indexes(List<String> names) {
        Map<String, Integer> map = new HashMap<>();
        names.forEach(name -> map.put(name, map.size()));
        return map;
    }

    boolean knows(String method) {
        return kinds.containsKey(method);
    }

    /** {@code now} is Unix time in microseconds. */
    InboundRequest read(String method, JSONObject params, long now) {
        int kind = kinds.get(method);
        String txn = text(params, "txn");
        if (!txn.matches("[0-9a-fA-F]{16}")) {
            throw new BadParameter("txn is not 16 hex digits");
        }
        RequestClass told = site.settings().classes().get(kind);
        // guards what the module learns of costs and times, and its tags, against figures nobody means
        double most = MOST_DEADLINES * told.deadlineMicros() / 1000;
        long door = Math.round(number(params, "door", 0, now / 1000.0 + DOOR_AHEAD)) * 1000;
        // where a deployment's callers do not tell how long they wait, a try is due at its class's deadline
        boolean limited = params.has("limit");
        long limit = limited ? Math.round(number(params, "limit", 0, most) * 1000) : told.deadlineMicros();
        boolean further = optional(params, "second", 1) > 0;
        double ram = number(params, "ram", 0, MOST_RAM);
        long cpu = Math.round(optional(params, "cpu", most) * 1000);
        optional(params, "lb", MOST_CALLER);
        if (optional(params, "standing", 1) >= 1) {
            throw new BadParameter("standing is out of range");
        }
        String unique = null;
        String item = null;
        if (told.idempotency() == Idempotency.IDEMPOTENCY_KEY) {
            unique = key(params, "unique");
        } else if (params.has("item")) {
            item = key(params, "item");
        }
        return new InboundRequest(
                txn, kind, tenant(params), door, door + limit, limited, further, ram, cpu, unique, item, body(params));
    }

    private static double optional(JSONObject params, String name, double most) {
        return params.has(name) ? number(params, name, 0, most) : 0;
    }

    /** A key is kept for its window, so its length is bounded. */
    private static String key(JSONObject params, String name) {
        String key = text(params, name);
        if (key.isEmpty() || key.length() > LONGEST_KEY) {
            throw new BadParameter(name + " is empty or over " + LONGEST_KEY + " characters");
        }
        return key;
    }

    private int tenant(JSONObject params) {
        if (site.tenants().isEmpty()) {
            return 0;
        }
        int tenant = site.tenants().indexOf(text(params, "team"));
        if (tenant < 0) {
            throw new BadParameter("team is unknown");
        }
        return tenant;
    }

    private static byte[] body(JSONObject params) {
        byte[] body;
        try {
            body = Base64.getDecoder().decode(text(params, "blob"));
        } catch (IllegalArgumentException e) {
            throw new BadParameter("blob is not base64");
        }
        if (body.length > LONGEST_BODY) {
            throw new BadParameter("blob is over " + LONGEST_BODY + " bytes");
        }
        return body;
    }

    private static String text(JSONObject params, String name) {
        if (params.opt(name) instanceof String s) {
            return s;
        }
        throw new BadParameter(name + " is missing or not a string");
    }

    private static double number(JSONObject params, String name, double least, double most) {
        if (!(params.opt(name) instanceof Number n)) {
            throw new BadParameter(name + " is missing or not a number");
        }
        double value = n.doubleValue();
        if (!(value >= least && value <= most)) {
            throw new BadParameter(name + " is out of range");
        }
        return value;
    }
}
