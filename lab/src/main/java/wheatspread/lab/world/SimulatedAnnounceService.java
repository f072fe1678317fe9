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
 * Simulates the announce service: a server is listed until {@link #REPORT_EXPIRY_MS} after its last report, and
 * each proxy sees a change one to two seconds late. All methods run on the simulation's event loop.
 */
final class SimulatedAnnounceService {
    private static final long REPORT_EXPIRY_MS = 3_000;
    private static final int MIN_VIEW_LAG_MS = 1_000;
    private static final int VIEW_LAG_SPREAD_MS = 1_000;
    private static final long EXPIRY_CHECK_MS = 100;

    private final EventLoop loop;
    private final InvariantChecker checker;
    private final Random random = new Random(9);
    private final Map<String, Boolean> acceptingByServer = new LinkedHashMap<>();
    private final Map<String, Long> lastReportMillis = new LinkedHashMap<>();
    private final List<Map<String, Boolean>> proxyViews = new ArrayList<>();

    SimulatedAnnounceService(EventLoop loop, InvariantChecker checker, int proxies) {
        this.loop = loop;
        this.checker = checker;
        for (int i = 0; i < proxies; i++) {
            proxyViews.add(new LinkedHashMap<>());
        }
        loop.scheduleAtFixedRate(this::expireReports, EXPIRY_CHECK_MS, EXPIRY_CHECK_MS, TimeUnit.MILLISECONDS);
    }

    /** Returns the servers that accept requests, as the given proxy sees them. */
    List<String> acceptingServers(int proxy) {
        return proxyViews.get(proxy).entrySet().stream()
                .filter(Map.Entry::getValue)
                .map(Map.Entry::getKey)
                .toList();
    }

    private void expireReports() {
        long nowMillis = System.currentTimeMillis();
        lastReportMillis.forEach((name, reportMillis) -> {
            if (nowMillis - reportMillis > REPORT_EXPIRY_MS) {
                setAccepting(name, false);
            }
        });
    }

    private void setAccepting(String name, boolean value) {
        Boolean previous = acceptingByServer.put(name, value);
        if (previous == null || previous != value) {
            for (Map<String, Boolean> view : proxyViews) {
                loop.schedule(
                        () -> view.put(name, acceptingByServer.get(name)),
                        MIN_VIEW_LAG_MS + random.nextInt(VIEW_LAG_SPREAD_MS),
                        TimeUnit.MILLISECONDS);
            }
        }
    }

    /** Handles a server's reports: HTTP requests, split into lines, whose body does not end with a line break. */
    final class Reports extends SimpleChannelInboundHandler<String> {
        private String name;

        @Override
        protected void channelRead0(ChannelHandlerContext context, String line) {
            int put = line.indexOf("PUT /announce/");
            if (put >= 0) { // the previous report's body precedes it on the same line
                requireRequestLineBefore(line.substring(0, put));
                name = line.substring(put + 14).split(" ")[0];
            } else if (line.startsWith("{")) {
                requireRequestLineBefore(line);
            } else if (line.toLowerCase().startsWith("content-length:")) {
                // {"accepting":"true"} has 20 bytes and false 21, so the value is known before the body arrives
                int length = Integer.parseInt(line.substring(15).trim());
                recordReport(length == 20);
            } else if (line.isEmpty()) {
                context.writeAndFlush("HTTP/1.1 204 No Content\r\n\r\n");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close(); // a killed server resets its connection
        }

        private void requireRequestLineBefore(String body) {
            if (!body.isEmpty() && name == null) {
                throw new IllegalStateException("report body without a request line: " + body);
            }
        }

        private void recordReport(boolean value) {
            long nowMillis = System.currentTimeMillis();
            lastReportMillis.put(name, nowMillis);
            if (!value) {
                checker.recordDrainNotice(name, nowMillis);
            }
            setAccepting(name, value);
        }
    }
}
