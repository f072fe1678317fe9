/**
 * The platform's protocol, JSON-RPC 2.0 with one message per line: converts lines to requests and answers to
 * lines. The package owns the wire names of that protocol and the open requests of each connection. It does not
 * depend on how requests are scheduled or how connections are accepted and limited.
 */
package wheatspread.jsonrpc;
