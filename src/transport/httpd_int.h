/**
 * @file httpd_int.h
 * Private parts of the HTTP server.
 */
#ifndef TRANSPORT_HTTPD_INT_H
#define TRANSPORT_HTTPD_INT_H

#include <evhtp/evhtp.h>
#include <stdbool.h>

/** False when the end of a request can be read in two ways, so that it could
    hide another one. */
bool httpd_framing_valid (evhtp_headers_t *headers);

/** Keeps libevhtp from parsing a form in place of the path's query.
    @return 0 or ERR_NO_MEMORY. */
int httpd_hide_form_type (evhtp_headers_t *headers);

#endif
