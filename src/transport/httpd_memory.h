/**
 * @file httpd_memory.h
 * What a connection holds of its client's bytes, in the process's account:
 * input that waits, the request in progress with its body, unsent output.
 */
#ifndef TRANSPORT_HTTPD_MEMORY_H
#define TRANSPORT_HTTPD_MEMORY_H

#include "state/memory_account.h"
#include <event2/buffer.h>
#include <stddef.h>
#include <stdint.h>

/** What is set aside for a chunked body first; it doubles as needed. */
#define HTTPD_MEMORY_CHUNKED_BYTES 16384

/** Zero-initialise, then set `account` and `holder.owner`. */
struct httpd_memory
{
  struct memory_account *account;
  struct memory_holder holder;
  uint64_t customer_id;
  uint64_t input_bytes;    /**< read, and not parsed yet */
  uint64_t request_bytes;  /**< granted for the request in progress */
  uint64_t buffered_bytes; /**< of a response that is not complete */
  uint64_t output_bytes;   /**< unsent */
  char *body;              /**< in one piece; NULL: none yet */
  size_t body_size;        /**< bytes that have arrived */
  size_t body_room;        /**< bytes allocated */
};

void httpd_memory_finish (struct httpd_memory *memory);

/** A request begins to arrive. */
void httpd_memory_begin (struct httpd_memory *memory, uint64_t now_ns);
/** Asks for memory for the request in progress, instead of what was granted
    for it so far; see memory_account_ask(). */
enum memory_decision httpd_memory_ask (struct httpd_memory *memory,
                                       uint64_t customer_id,
                                       uint64_t request_bytes, uint64_t now_ns,
                                       struct memory_holder **victim);
/** Appends to the body, whose buffer gets room for `room` bytes at least.
    @return 0 or ERR_NO_MEMORY. */
int httpd_memory_add_body (struct httpd_memory *memory, struct evbuffer *data,
                           size_t room);
/** The request is complete: moves the body to a buffer, in one piece.
    @return 0 or ERR_NO_MEMORY. */
int httpd_memory_move_body (struct httpd_memory *memory,
                            struct evbuffer *buffer);
/** The request has ended. */
void httpd_memory_end_request (struct httpd_memory *memory);

/** Record what the connection holds, whatever there is room for. */
void httpd_memory_set_input (struct httpd_memory *memory, uint64_t bytes);
void httpd_memory_set_buffered (struct httpd_memory *memory, uint64_t bytes);
void httpd_memory_set_output (struct httpd_memory *memory, uint64_t bytes);

#endif
