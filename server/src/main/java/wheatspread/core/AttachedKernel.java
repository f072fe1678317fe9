package wheatspread.core;

/**
 * Passes commands to the kernel that is attached after the core was built: the link to the kernel needs the core
 * as its listener, so it cannot be built first.
 */
final class AttachedKernel implements Kernel {
    private Kernel target;

    void attach(Kernel kernel) {
        target = kernel;
    }

    @Override
    public void run(String job, String requestClass, byte[] body) {
        target.run(job, requestClass, body);
    }

    @Override
    public void pause(String job) {
        target.pause(job);
    }

    @Override
    public void resume(String job) {
        target.resume(job);
    }

    @Override
    public void callDone(String job, byte[] reply) {
        target.callDone(job, reply);
    }

    @Override
    public void skipCall(String job, long noticeNumber) {
        target.skipCall(job, noticeNumber);
    }

    @Override
    public void askGauges() {
        target.askGauges();
    }
}
