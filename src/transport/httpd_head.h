/**
 * @file httpd_head.h
 * The head of a client's request as it arrives, before libevhtp's parser gets
 * it: RFC 9112, sections 2 to 6, without what they let a server tolerate.
 */
#ifndef TRANSPORT_HTTPD_HEAD_H
#define TRANSPORT_HTTPD_HEAD_H

#include <event2/buffer.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum httpd_head_state
{
  HTTPD_HEAD_PARTIAL, /**< more bytes are needed */
  HTTPD_HEAD_COMPLETE,
  HTTPD_HEAD_INVALID,
  HTTPD_HEAD_TOO_LARGE
};

/** Zero-initialise. */
struct httpd_head
{
  char *method;  /**< as the client sent it; NULL until its line is complete */
  bool complete; /**< with the empty line at its end */
  size_t size;   /**< bytes of the complete lines */
  uint32_t header_bytes; /**< of these, after the request line */
  bool has_host;
  bool has_length;
  bool chunked;
  uint64_t length; /**< bytes of the body, if it is not chunked */
  char *found;     /**< by httpd_head_find() */
};

/** Reads the head at the start of `input`; drops empty lines before it.  A
    method that libevhtp cannot parse, or treats in a way of its own, is
    overwritten in `input` by one of the same length that it can.
    @param bytes_max  of the request line, and of the headers together.
    @return HTTPD_HEAD_INVALID also if there is no memory. */
enum httpd_head_state httpd_head_read (struct httpd_head *head,
                                       struct evbuffer *input,
                                       uint32_t bytes_max);

/** Finds the first header of a name in a head that need not be complete or
    valid.
    @return its value, which lasts until httpd_head_reset(), or NULL. */
const char *httpd_head_find (struct httpd_head *head, struct evbuffer *input,
                             const char *name);

/** Whether a line is a header: a token, a colon, and a value without control
    characters.
    @param size  bytes of the line without its CRLF. */
bool httpd_head_is_header (const char *line, size_t size);

/** Whether bytes hold no control characters but tabs. */
bool httpd_head_is_value (const char *text, size_t size);

/** Whether a text is a token and not empty. */
bool httpd_head_is_token (const char *text);

/** Prepares for the next request. */
void httpd_head_reset (struct httpd_head *head);

#endif
