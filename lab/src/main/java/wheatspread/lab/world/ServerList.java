package wheatspread.lab.world;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * The announce service: who reports is listed, until 3 s after its last report, and each proxy sees a change
 * a second or two late.
 */
final class ServerList {
    private static final long LAPSES = 3_000;
    private static final int LEAST_LAG = 1_000;
    private static final int LAG_SPREAD = 1_000;
    private static final long LOOK = 100;

    private final EventLoop loop;
    private final InvariantChecker ledger;
    private final Random random = new Random(9);
    private final Map<String, Boolean> accepting = new LinkedHashMap<>();
    private final Map<String, Long> reported = new LinkedHashMap<>();
    private final List<Map<String, Boolean>> views = new ArrayList<>();

    ServerList(EventLoop loop, InvariantChecker ledger, int proxies) {
        this.loop = loop;
        this.ledger = ledger;
        for (int i = 0; i < proxies; i++) {
            views.add(new LinkedHashMap<>());
        }
        loop.scheduleAtFixedRate(this::lapse, LOOK, LOOK, TimeUnit.MILLISECONDS);
    }

    /** The servers that a proxy takes for willing. */
    List<String> seenBy(int proxy) {
        return views.get(proxy).entrySet().stream()
                .filter(Map.Entry::getValue)
                .map(Map.Entry::getKey)
                .toList();
    }

    private void lapse() {
        long now = System.currentTimeMillis();
        reported.forEach((name, at) -> {
            if (now - at > LAPSES) {
                set(name, false);
            }
        });
    }

    private void set(String name, boolean value) {
        Boolean before = accepting.put(name, value);
        if (before == null || before != value) {
            for (Map<String, Boolean> view : views) {
                loop.schedule(
                        () -> view.put(name, accepting.get(name)),
                        LEAST_LAG + random.nextInt(LAG_SPREAD),
                        TimeUnit.MILLISECONDS);
            }
        }
    }

    /** A connection of a server that reports: lines of HTTP, and a body that has no line of its own. */
    final class Reports extends SimpleChannelInboundHandler<String> {
        private String name;

        @Override
        protected void channelRead0(ChannelHandlerContext context, String line) {
            int put = line.indexOf("PUT /announce/");
            if (put >= 0) { // the body of the report before stands in front of it
                body(line.substring(0, put));
                name = line.substring(put + 14).split(" ")[0];
            } else if (line.startsWith("{")) {
                body(line);
            } else if (line.toLowerCase().startsWith("content-length:")) {
                // {"accepting":"true"} has 20 bytes, and false one more: the length tells before the body can
                int length = Integer.parseInt(line.substring(15).trim());
                report(length == 20);
            } else if (line.isEmpty()) {
                context.writeAndFlush("HTTP/1.1 204 No Content\r\n\r\n");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close(); // a server that was ended outright resets its connection
        }

        private void body(String text) {
            if (!text.isEmpty() && name == null) {
                throw new IllegalStateException(text);
            }
        }

        private void report(boolean value) {
            long now = System.currentTimeMillis();
            reported.put(name, now);
            if (!value) {
                ledger.notice(name, now);
            }
            set(name, value);
        }
    }
}
