/**
 * @file request_end.h
 * Finds out how much of a request that is not parsed has yet to arrive.
 */
#ifndef TRANSPORT_REQUEST_END_H
#define TRANSPORT_REQUEST_END_H

#include <stddef.h>
#include <stdint.h>

#define REQUEST_END_UNKNOWN UINT64_MAX

/** Counts the bytes that are missing of the request that a client has begun to
    send.
    @param text  what it has sent so far; need not be a request.
    @return 0 if that is one whole request; REQUEST_END_UNKNOWN if it is more,
    if its head is not complete, or if its end is not known from a
    Content-Length, or from the lack of one. */
uint64_t request_end_missing (const char *text, size_t size);

#endif
