package wheatspread.core;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import wheatspread.admission.AdmissionController;
import wheatspread.admission.AdmissionController.Actions;
import wheatspread.admission.AdmissionRequest;
import wheatspread.admission.AdmissionSettings;
import wheatspread.admission.ClientSettings;
import wheatspread.admission.DependencyKind;
import wheatspread.admission.DependencyLimits;
import wheatspread.admission.Idempotency;
import wheatspread.admission.LoadFeedbackMode;
import wheatspread.admission.LoadGauges;
import wheatspread.admission.Outcome;
import wheatspread.admission.PreemptionMode;
import wheatspread.admission.RequestClass;
import wheatspread.admission.ServerLimits;
import wheatspread.logging.EventLog;

/**
 * A booted core without any network connection. Its kernel only records commands, and its admission controller
 * executes the decisions that a test queues. The only request class has idempotency keys and a window of 20 s; the
 * drain grace is 2.5 s.
 */
final class CoreHarness {
    static final long SECOND = 1_000_000;
    static final long WINDOW_MICROS = 20 * SECOND;
    static final long DRAIN_GRACE_MICROS = 5 * SECOND / 2;
    static final long CLIENT_TIMEOUT_MICROS = 8 * SECOND;

    private final Deque<Runnable> pendingTasks = new ArrayDeque<>();
    final FakeClock clock = new FakeClock(1_700_000_000 * SECOND, pendingTasks::add);
    /** The lines of the event log. */
    final List<String> logLines = new ArrayList<>();
    /** The commands that the kernel received, as "command job". */
    final List<String> kernelCommands = new ArrayList<>();
    /** The final answers, as "job KIND". */
    final List<String> answers = new ArrayList<>();
    /** The completions and timers that the controller received. */
    final List<String> controllerEvents = new ArrayList<>();
    /** The arrivals that the controller received. */
    final List<AdmissionRequest> arrivals = new ArrayList<>();

    final Core core;
    private final Deque<Consumer<Actions>> decisions = new ArrayDeque<>();

    CoreHarness() {
        this(Idempotency.IDEMPOTENCY_KEY);
    }

    /** Creates a core with one request class. */
    CoreHarness(Idempotency idempotency) {
        core = new Core(
                new DeploymentSettings(settings(idempotency), List.of("save"), List.of(), List.of()),
                settings -> new ScriptedController(),
                clock,
                (job, body, timeoutMicros, listener) -> () -> {},
                accepting -> {},
                EventLog.lines(logLines::add));
        core.attachKernel(new RecordingKernel());
        core.onBooted(false, 0);
        settle();
    }

    private static AdmissionSettings settings(Idempotency idempotency) {
        RequestClass requestClass =
                new RequestClass(3 * SECOND, 0, 9 * SECOND, idempotency, 5, 0, WINDOW_MICROS, true, 0);
        return new AdmissionSettings(
                2,
                1,
                false,
                PreemptionMode.SUSPEND,
                0,
                4_000,
                new ServerLimits(20_000, 8, 10, 6, 0.2, SECOND, 60_000, DRAIN_GRACE_MICROS),
                new DependencyLimits(DependencyKind.SHARED, 4, SECOND, 0),
                new ClientSettings(1, LoadFeedbackMode.NONE, 0, 0, true, 0, 0, 0),
                List.of(requestClass),
                List.of());
    }

    /** Queues a decision of the controller. After the first arrival each batch takes one decision from the queue. */
    void decide(Consumer<Actions> decision) {
        decisions.add(decision);
    }

    /** Submits an attempt that arrives now; returns its ticket. */
    Long submit(String job, String idempotencyKey) {
        return submit(job, idempotencyKey, clock.nowMicros());
    }

    /** Submits an attempt whose first byte arrived at {@code arrivalMicros} and whose last byte arrives now. */
    Long submit(String job, String idempotencyKey, long arrivalMicros) {
        InboundRequest request = new InboundRequest(
                job,
                0,
                0,
                arrivalMicros,
                clock.nowMicros() + CLIENT_TIMEOUT_MICROS,
                true,
                false,
                20,
                0,
                idempotencyKey,
                null,
                new byte[0]);
        return core.submit(request, answer -> answers.add(job + " " + answer.kind()));
    }

    /** Runs the tasks scheduled for after the event-loop iteration, and those that they schedule. */
    void settle() {
        while (!pendingTasks.isEmpty()) {
            pendingTasks.poll().run();
        }
    }

    void advance(long micros) {
        clock.advance(micros, this::settle);
    }

    private final class RecordingKernel implements Kernel {
        @Override
        public void run(String job, String requestClass, Idempotency idempotency, byte[] body) {
            kernelCommands.add("run " + job);
        }

        @Override
        public void suspend(String job) {
            kernelCommands.add("suspend " + job);
        }

        @Override
        public void resume(String job) {
            kernelCommands.add("resume " + job);
        }

        @Override
        public void completeDependencyCall(String job, DependencyReply reply) {
            kernelCommands.add("completeDependencyCall " + job);
        }

        @Override
        public void skipDependencyCall(String job, long noticeNumber) {
            kernelCommands.add("skipDependencyCall " + job);
        }

        @Override
        public void requestGauges() {
            kernelCommands.add("gauges");
        }
    }

    /** Executes the decisions that the test has queued, and records the events it receives. */
    private final class ScriptedController implements AdmissionController {
        private boolean arrived;

        @Override
        public void beginBatch(long nowMicros) {}

        @Override
        public void onArrival(AdmissionRequest request) {
            arrived = true;
            arrivals.add(request);
        }

        @Override
        public void onCompletion(long id, Outcome outcome, long elapsedMicros) {
            controllerEvents.add("completed " + id + " " + outcome + " " + elapsedMicros);
        }

        @Override
        public void onBlocked(long id) {}

        @Override
        public void onCallCompleted(long id, Outcome outcome, long elapsedMicros) {}

        @Override
        public void onCancellation(long id) {}

        @Override
        public void onDrain(long remainingMicros) {}

        @Override
        public void onSettingsChanged(AdmissionSettings next) {}

        @Override
        public void onTimer(LoadGauges gauges) {
            controllerEvents.add("timer");
        }

        @Override
        public void decide(Actions actions) {
            if (arrived && !decisions.isEmpty()) {
                decisions.poll().accept(actions);
            }
        }
    }
}
