/**
 * The client side of the kernel's line protocol. It owns the session with the kernel, the connections that
 * carry it, and the commands that are not confirmed yet. It does not know what is admitted or why, nor any
 * protocol that callers speak.
 */
package wheatspread.kernel;
