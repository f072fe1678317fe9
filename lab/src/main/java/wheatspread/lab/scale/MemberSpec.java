package wheatspread.lab.scale;

import org.json.JSONObject;

/**
 * The parameters with which a hollow server starts.
 *
 * @param name the server's name, the same from start to start
 * @param start start number, larger than that of any earlier start of this name
 * @param address address for datagrams and streams, as {@code 127.0.0.1:port}
 * @param zone zone of the server
 */
public record MemberSpec(String name, long start, String address, String zone) {
    /** Returns the same server with a later start number. */
    public MemberSpec withStart(long nextStart) {
        return new MemberSpec(name, nextStart, address, zone);
    }

    /** Name and start number, in the form of views and logs. */
    public String id() {
        return name + "#" + start;
    }

    JSONObject toJson() {
        return new JSONObject()
                .put("name", name)
                .put("start", start)
                .put("address", address)
                .put("zone", zone);
    }

    static MemberSpec fromJson(JSONObject json) {
        return new MemberSpec(
                json.getString("name"), json.getLong("start"), json.getString("address"), json.getString("zone"));
    }
}
