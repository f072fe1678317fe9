/**
 * What the server's parts need to know of admission control: the interface of the controller, the requests and events
 * that it gets, the actions that it decides, and its settings with their checks. Must not know how decisions are made,
 * and no wire, file, clock or socket.
 */
package wheatspread.admission;
