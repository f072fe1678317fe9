package wheatspread.lab.rig;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import wheatspread.lab.Sites;
import wheatspread.lab.standins.ServerProcess;
import wheatspread.lab.standins.StandInServices;

/** Guards against optional features costing a server that does not enable them: none of their classes is loaded. */
class OffTest {
    @TempDir
    private Path folder;

    @Test
    @Timeout(60)
    void loadsNoMembershipOrStoreClassesWhenDisabled() throws Exception {
        Path loaded = folder.resolve("classes.txt");
        try (StandInServices services = new StandInServices(1_000, 1_000);
                ServerProcess server = new ServerProcess(
                        Path.of("../server/target/wheatspread.jar"),
                        Sites.config(services, 512),
                        null,
                        List.of("-XX:+UseSerialGC", "-Xmx48m", "-Xlog:class+load=info:file=" + loaded),
                        -1)) {
            assertThat(server.terminate()).isTrue();
        }
        String classes = Files.readString(loaded);
        assertThat(classes).contains("wheatspread.daemon.Server ", "wheatspread.kernel.KernelLink ");
        assertThat(classes)
                .doesNotContain(
                        "wheatspread.membership.",
                        "wheatspread.peers.",
                        "wheatspread.daemon.FleetView",
                        "wheatspread.config.MembershipConfig",
                        "NioDatagramChannel",
                        "wheatspread.store.",
                        "com.google.protobuf.",
                        "com.dynatrace.hash4j.");
    }
}
