package wheatspread.lab.settings;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import wheatspread.uwsgi.UwsgiEncoder;
import wheatspread.uwsgi.UwsgiPacket;

/** Encodes requests for the uwsgi front as vars and a body; answers are HTTP and follow the requests' order. */
final class UwsgiWire implements LoadClients.Wire {
    private static final int MAX_ANSWER_BYTES = 1 << 16;
    private static final int OK_STATUS = 200;
    private static final int UNAVAILABLE_STATUS = 503;

    @Override
    public void decodeInto(Channel channel) {
        channel.pipeline().addLast(new HttpResponseDecoder(), new HttpObjectAggregator(MAX_ANSWER_BYTES));
    }

    @Override
    public ByteBuf greeting() {
        return packet(Map.of("PATH_INFO", SettingsFiles.HEALTH_PATH));
    }

    /** The route in the operator's file sets the request class; the vars set the rest. */
    @Override
    public ByteBuf encode(LoadClients.Request request) {
        String number = Long.toString(request.number());
        Map<String, String> vars = new LinkedHashMap<>();
        vars.put("PATH_INFO", request.path());
        vars.put("RECIPE_TENANT", request.tenant());
        vars.put("RECIPE_UNIQUE", "r" + number);
        vars.put("RECIPE_ITEM", "r" + number);
        vars.put("CONTENT_LENGTH", Integer.toString(number.length()));
        return packet(vars).writeBytes(number.getBytes(StandardCharsets.US_ASCII));
    }

    private static ByteBuf packet(Map<String, String> vars) {
        ByteBuf packet = Unpooled.buffer();
        UwsgiEncoder.write(new UwsgiPacket(UwsgiPacket.REQUEST_MODIFIER, 0, vars), packet);
        return packet;
    }

    @Override
    public long requestNumber(Object message) {
        return 0;
    }

    @Override
    public LoadClients.Outcome outcome(Object message) {
        int status = ((FullHttpResponse) message).status().code();
        return status == OK_STATUS
                ? LoadClients.Outcome.SERVED
                : status == UNAVAILABLE_STATUS ? LoadClients.Outcome.REFUSED : LoadClients.Outcome.FAILED;
    }
}
