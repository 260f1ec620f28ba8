/**
 * @file httpd_body.h
 * Where the body of a message ends, before libevhtp's parser gets it.
 */
#ifndef TRANSPORT_HTTPD_BODY_H
#define TRANSPORT_HTTPD_BODY_H

#include "transport/httpd_head.h"

/** What comes next of a body. */
enum httpd_body_state
{
  HTTPD_BODY_BYTES,     /**< `left` bytes, whose number the head gives */
  HTTPD_BODY_SIZE,      /**< a chunk's size */
  HTTPD_BODY_SIZE_END,  /**< the end of that line */
  HTTPD_BODY_CHUNK,     /**< `left` bytes of a chunk */
  HTTPD_BODY_CHUNK_END, /**< the end of their line */
  HTTPD_BODY_TRAILER,   /**< a trailer, or the empty line at the end */
  HTTPD_BODY_END
};

struct httpd_body
{
  enum httpd_body_state state;
  uint64_t left;          /**< bytes */
  uint32_t trailer_bytes; /**< so far */
};

/** What to do with the bytes that follow each other in the input. */
struct httpd_body_step
{
  size_t pass; /**< bytes for the parser */
  size_t drop; /**< bytes that it must not see */
};

/** Begins the body that follows a complete head. */
void httpd_body_init (struct httpd_body *body, const struct httpd_head *head);
/** Begins a body of chunks. */
void httpd_body_init_chunked (struct httpd_body *body);

/** Reads on.  Extensions of chunks and trailers, which may be ignored, are
    dropped: libevhtp's parser cannot handle them.  To be called again after
    something was dropped.
    @param data  what has not been passed or dropped yet.
    @param line_max  bytes of a line; of all trailers together.
    @return 0, or ERR_INVALID if the chunks are malformed. */
int httpd_body_read (struct httpd_body *body, const char *data, size_t size,
                     uint32_t line_max, struct httpd_body_step *step);

#endif
