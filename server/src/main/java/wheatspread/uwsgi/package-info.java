/**
 * The uwsgi protocol: decodes packets, converts them to requests, and writes answers as HTTP responses in the
 * order of the requests. The package owns the wire names of that protocol, the routes and the pending responses
 * of each connection. It does not depend on how requests are scheduled or how connections are accepted and
 * limited.
 */
package wheatspread.uwsgi;
