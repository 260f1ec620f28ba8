/**
 * @file httpd_int.h
 * Internal functions of the HTTP server.
 */
#ifndef TRANSPORT_HTTPD_INT_H
#define TRANSPORT_HTTPD_INT_H

#include <evhtp/evhtp.h>
#include <stdbool.h>

/** False if a name is no token, or the length of the request body is
    ambiguous, which would allow request smuggling. */
bool httpd_framing_valid (evhtp_headers_t *headers);

/** Keeps libevhtp from replacing the query of the path by the body of a form.
    @return 0 or ERR_NO_MEMORY. */
int httpd_disable_form_parsing (evhtp_headers_t *headers);

#endif
