package wheatspread.core;

import wheatspread.admission.Idempotency;

/**
 * Forwards commands to a kernel that is attached after the core is constructed. The link to the kernel needs the
 * core as its listener, so the core is constructed before the link.
 */
final class AttachedKernel implements Kernel {
    private Kernel target;

    void attach(Kernel kernel) {
        target = kernel;
    }

    @Override
    public void run(String job, String requestClass, Idempotency idempotency, byte[] body) {
        target.run(job, requestClass, idempotency, body);
    }

    @Override
    public void suspend(String job) {
        target.suspend(job);
    }

    @Override
    public void resume(String job) {
        target.resume(job);
    }

    @Override
    public void completeDependencyCall(String job, DependencyReply reply) {
        target.completeDependencyCall(job, reply);
    }

    @Override
    public void skipDependencyCall(String job, long noticeNumber) {
        target.skipDependencyCall(job, noticeNumber);
    }

    @Override
    public void requestGauges() {
        target.requestGauges();
    }
}
