/**
 * State that two processes of one server share while one takes over from the other during an upgrade: the claims on
 * idempotency keys. The package owns the files of the shared folder and their format, which processes of other
 * releases read. It must not know how a process is started or replaced, any wire, or when a claim is asked for.
 */
package wheatspread.handover;
