package wheatspread.jsonrpc;

import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.json.JSONObject;
import wheatspread.admission.Admission.Effect;
import wheatspread.core.Site;
import wheatspread.core.Submission;

/** Reads the parameters of a class's method into a submission; complaints name the parameter. */
final class RequestReader {
    private static final int LONGEST_BODY = 2 * 1024;
    private static final double MOST_RAM = 2_000;

    private final Site site;
    private final Map<String, Integer> kinds;
    private final Map<String, Integer> tenants;

    /** A parameter is missing, ill-typed or out of range. */
    static final class BadParameter extends RuntimeException {
        private static final long serialVersionUID = 1L;

        BadParameter(String message) {
            super(message);
        }
    }

    RequestReader(Site site) {
        this.site = site;
        kinds = indexes(site.classes());
        tenants = indexes(site.tenants());
    }

    private static Map<String, Integer> indexes(List<String> names) {
        Map<String, Integer> map = new HashMap<>();
        names.forEach(name -> map.put(name, map.size()));
        return map;
    }

    boolean knows(String method) {
        return kinds.containsKey(method);
    }

    Submission read(String method, JSONObject params) {
        int kind = kinds.get(method);
        String txn = text(params, "txn");
        if (!txn.matches("[0-9a-fA-F]{16}")) {
            throw new BadParameter("txn is not 16 hex digits");
        }
        long door = Math.round(number(params, "door", 0, 1e15)) * 1000;
        long limit = Math.round(number(params, "limit", 0, 1e9) * 1000);
        double ram = number(params, "ram", 0, MOST_RAM);
        long cpu = params.has("cpu") ? Math.round(number(params, "cpu", 0, 1e9) * 1000) : 0;
        String unique = null;
        String item = null;
        if (site.settings().classes().get(kind).effect() == Effect.KEYED) {
            unique = text(params, "unique");
        } else if (params.has("item")) {
            item = text(params, "item");
        }
        return new Submission(txn, kind, tenant(params), door, door + limit, ram, cpu, unique, item,
            body(params));
    }

    private int tenant(JSONObject params) {
        if (tenants.isEmpty()) {
            return 0;
        }
        Integer tenant = tenants.get(text(params, "team"));
        if (tenant == null) {
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
