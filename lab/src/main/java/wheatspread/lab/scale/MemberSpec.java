package wheatspread.lab.scale;

import org.json.JSONObject;

/**
 * One hollow server as it is to be started.
 *
 * @param name the server's name, the same from start to start
 * @param start the number of its start, larger than that of any earlier start of this name
 * @param address where it listens for datagrams and streams, as {@code 127.0.0.1:port}
 * @param zone the zone it stands in
 */
public record MemberSpec(String name, long start, String address, String zone) {
    /** The same server in a later start. */
    public MemberSpec restarted(long later) {
        return new MemberSpec(name, later, address, zone);
    }

    /** Name and start number as views and logs write them. */
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

    static MemberSpec fromJson(JSONObject told) {
        return new MemberSpec(
                told.getString("name"), told.getLong("start"), told.getString("address"), told.getString("zone"));
    }
}
