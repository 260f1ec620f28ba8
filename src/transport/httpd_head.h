/**
 * @file httpd_head.h
 * The head of a client's request as it arrives, before libevhtp's parser gets
 * it.
 */
#ifndef TRANSPORT_HTTPD_HEAD_H
#define TRANSPORT_HTTPD_HEAD_H

#include <event2/buffer.h>

enum httpd_head_state
{
  HTTPD_HEAD_PARTIAL, /**< more bytes are needed */
  HTTPD_HEAD_COMPLETE,
  HTTPD_HEAD_INVALID
};

/** Zero-initialise. */
struct httpd_head
{
  char *method; /**< as the client sent it; NULL until its line is complete */
};

/** Reads the request line at the start of `input`, which empty lines may
    precede.  A method that libevhtp cannot parse, or treats in a way of its
    own, is overwritten in `input` by one of the same length that it can.
    @return HTTPD_HEAD_INVALID also if there is no memory. */
enum httpd_head_state httpd_head_read_line (struct httpd_head *head,
                                            struct evbuffer *input);

/** Prepares for the next request. */
void httpd_head_reset (struct httpd_head *head);

#endif
