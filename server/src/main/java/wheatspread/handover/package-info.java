/**
 * State that two processes of one server share during an upgrade, while the new process takes over from the old
 * process: the claims on idempotency keys. The package owns the files of the shared folder and their format, which
 * processes of other releases read. It must not depend on how processes are started or replaced, on a wire protocol,
 * or on when keys are claimed.
 */
package wheatspread.handover;
