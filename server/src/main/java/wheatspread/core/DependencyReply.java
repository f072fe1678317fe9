package wheatspread.core;

/**
 * The reply to the dependency call that a run waits for.
 *
 * @param noticeNumber the number of the kernel's notice that requested the call
 * @param body the reply's body, which the kernel gets unchanged
 * @param skippable whether the run may continue without the call, should the reply be lost
 */
public record DependencyReply(long noticeNumber, byte[] body, boolean skippable) {}
