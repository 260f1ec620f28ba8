/**
 * @file response_head.h
 * The head of an upstream's response as it arrives, before libevhtp's parser
 * gets it: RFC 9112, sections 2 to 5.
 */
#ifndef TRANSPORT_RESPONSE_HEAD_H
#define TRANSPORT_RESPONSE_HEAD_H

#include <stdbool.h>
#include <stddef.h>

/** Zero-initialise. */
struct response_head
{
  bool has_status;
  bool complete; /**< with the empty line at its end */
};

/** Reads complete lines.  White space between a header's name and its colon
    is moved behind the colon, so that all readers take the name for the same.
    @param data  what has not been read yet; the lines may be changed.
    @param line_max  bytes of a line.
    @param used  the number of bytes read.
    @return 0, ERR_PROTOCOL, or ERR_TOO_LARGE for a longer line. */
int response_head_read (struct response_head *head, char *data, size_t size,
                        size_t line_max, size_t *used);

#endif
