/**
 * The interface of admission control to the rest of the server: the controller, the requests and events that it gets,
 * the actions that it decides, and its settings with their checks. The package must not depend on how decisions are
 * made, nor use a wire, file, clock or socket.
 */
package wheatspread.admission;
