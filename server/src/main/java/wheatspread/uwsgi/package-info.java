/**
 * The uwsgi protocol: decodes packets, converts them to requests, and writes answers as HTTP responses in the
 * order of the requests. It owns the wire names of that protocol, the routes and the pending responses of each
 * connection. It does not know how requests are scheduled, nor how connections are accepted and limited.
 */
package wheatspread.uwsgi;
