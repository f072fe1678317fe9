package wheatspread.kernel;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.BufferedReader;
import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.json.JSONObject;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import wheatspread.admission.Idempotency;
import wheatspread.core.DependencyReply;
import wheatspread.logging.EventLog;

/** Tests which commands a session sends again after its connection to the kernel was lost before a confirmation. */
@Timeout(30)
class KernelReconnectTest {
    private static final byte[] BODY = new byte[1];

    /** How a connection comes to be replaced, and what the kernel answers on the next one. */
    enum Replacement {
        /** The connection breaks, and the kernel answers the gauge request on the next one. */
        BREAK,
        /** The connection breaks, and the kernel is silent on the next one after it has reported that it is up. */
        BREAK_THEN_SILENCE,
        /** A reload moves the session to another address, and the old connection confirms nothing. */
        MOVE
    }

    private final EventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final RecordingListener listener = new RecordingListener();
    private FakeKernel kernel;
    private FakeKernel nextKernel;
    private KernelLink link;
    private Socket socket;
    private BufferedReader reader;

    @BeforeEach
    void connect() throws Exception {
        kernel = new FakeKernel();
        nextKernel = new FakeKernel();
        link = new KernelLink(
                new Bootstrap().group(loop).channel(NioSocketChannel.class),
                kernel.address(),
                listener,
                EventLog.lines(line -> {}));
        loop.submit(link::open).sync();
        boot(kernel, true);
    }

    @AfterEach
    void close() throws Exception {
        loop.submit(link::close).sync();
        loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).sync();
        kernel.close();
        nextKernel.close();
    }

    /** Accepts a connection and reports that the kernel is up; answers the gauge request that follows if asked to. */
    private void boot(FakeKernel accepting, boolean answersGaugeRequest) throws IOException {
        socket = accepting.accept();
        reader = FakeKernel.reader(socket);
        assertThat(FakeKernel.readType(reader)).isEqualTo("OPEN");
        FakeKernel.send(socket, "{\"type\":\"BOOTED\",\"state\":\"WARM\",\"took\":5}");
        assertThat(FakeKernel.readType(reader)).isEqualTo("SYSINFO");
        if (answersGaugeRequest) {
            FakeKernel.send(socket, "{\"type\":\"INFO\",\"gauges\":[],\"ref\":\"sync\"}");
        }
    }

    private void replaceConnection(Replacement replacement) throws Exception {
        if (replacement == Replacement.MOVE) {
            loop.submit(() -> link.moveTo(nextKernel.address())).sync();
            boot(nextKernel, true);
        } else {
            socket.close();
            boot(kernel, replacement == Replacement.BREAK);
        }
    }

    private void issue(Runnable command) throws InterruptedException {
        loop.submit(command).sync();
    }

    /** Returns the reports so far; read on the event loop, after what it does in the same task as it sends commands. */
    private List<String> reports() throws Exception {
        return loop.submit(() -> List.copyOf(listener.reports)).get();
    }

    /** Returns the next command as "type job". */
    private String readCommand() throws IOException {
        JSONObject command = new JSONObject(reader.readLine());
        return command.getString("type") + ' ' + command.optString("job");
    }

    /** Guards against a second run of a keyed request: its run may end before the kernel reads a repeated start. */
    @ParameterizedTest
    @EnumSource
    void doesNotRepeatTheStartOfARunThatMustNotRunTwice(Replacement replacement) throws Exception {
        issue(() -> link.run("keyed", "stew", Idempotency.IDEMPOTENCY_KEY, BODY));
        issue(() -> link.run("once", "stew", Idempotency.AT_MOST_ONCE, BODY));
        issue(() -> link.run("read", "stew", Idempotency.IDEMPOTENT, BODY));
        assertThat(List.of(readCommand(), readCommand(), readCommand()))
                .containsExactly("SCHED keyed", "SCHED once", "SCHED read");

        replaceConnection(replacement);
        issue(() -> link.run("new", "stew", Idempotency.IDEMPOTENCY_KEY, BODY));

        assertThat(List.of(readCommand(), readCommand())).containsExactly("SCHED read", "SCHED new");
        assertThat(reports()).containsExactly("uncertain keyed", "uncertain once");
    }

    /** Guards against a reply that the run's next call receives, if the kernel has read the reply before the break. */
    @ParameterizedTest
    @EnumSource
    void doesNotRepeatAReplyThatTheNextCallOfTheRunCouldReceive(Replacement replacement) throws Exception {
        issue(() -> link.completeDependencyCall("mandatory", new DependencyReply(1, BODY, false)));
        issue(() -> link.completeDependencyCall("skippable", new DependencyReply(2, BODY, true)));
        assertThat(List.of(readCommand(), readCommand())).containsExactly("IODONE mandatory", "IODONE skippable");

        replaceConnection(replacement);
        issue(() -> link.completeDependencyCall("new", new DependencyReply(3, BODY, true)));

        JSONObject skip = new JSONObject(reader.readLine());
        assertThat(skip.getString("type") + ' ' + skip.getString("job")).isEqualTo("NOIO skippable");
        assertThat(skip.getLong("n")).isEqualTo(2);
        assertThat(readCommand()).isEqualTo("IODONE new");
        assertThat(reports()).containsExactly("uncertain mandatory");
    }
}
