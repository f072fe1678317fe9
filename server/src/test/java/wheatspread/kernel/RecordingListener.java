package wheatspread.kernel;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import wheatspread.core.Kernel;

/** Records the reports that the tests of the session check, and ignores all others. */
final class RecordingListener implements Kernel.Listener {
    /** Counted down when the kernel is up. */
    final CountDownLatch booted = new CountDownLatch(1);
    /** Written and read on the event loop. */
    final List<String> reports = new ArrayList<>();

    @Override
    public void onBooted(boolean cold, long ageMicros) {
        booted.countDown();
    }

    @Override
    public void onRunEnded(String job, Kernel.End end, long elapsedMicros, byte[] result) {}

    @Override
    public void onDependencyCallRequested(String job, long noticeNumber, byte[] call) {}

    @Override
    public void onGauges(double[] readings) {}

    @Override
    public void onRunNotStarted(String job) {}

    @Override
    public void onRunUncertain(String job) {
        reports.add("uncertain " + job);
    }
}
