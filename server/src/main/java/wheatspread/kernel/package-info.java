/**
 * The client side of the kernel's line protocol. The package owns the session with the kernel, its connections, and
 * the commands that are not confirmed yet. It must not depend on admission decisions, nor on the protocols of the
 * fronts.
 */
package wheatspread.kernel;
