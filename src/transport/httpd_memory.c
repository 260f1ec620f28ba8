/**
 * @file httpd_memory.c
 * What a connection holds of its client's bytes.
 */
#include "transport/httpd_memory.h"
#include "state/err.h"
#include <stdlib.h>
#include <string.h>

static uint64_t total (const struct httpd_memory *memory);
static void record (struct httpd_memory *memory);
static void free_body (const void *data, size_t size, void *body);

void
httpd_memory_finish (struct httpd_memory *memory)
{
  if (memory->account == NULL)
    return;
  memory_account_leave (memory->account, &memory->holder);
  free (memory->body);
  memory->body = NULL;
}

void
httpd_memory_begin (struct httpd_memory *memory, uint64_t now_ns)
{
  memory->customer_id = MEMORY_ACCOUNT_UNKNOWN;
  memory_account_begin (memory->account, &memory->holder, now_ns);
}

enum memory_decision
httpd_memory_ask (struct httpd_memory *memory, uint64_t customer_id,
                  uint64_t request_bytes, uint64_t now_ns,
                  struct memory_holder **victim)
{
  const uint64_t bytes
      = total (memory) - memory->request_bytes + request_bytes;
  enum memory_decision decision = memory_account_ask (
      memory->account, &memory->holder, customer_id, bytes, now_ns, victim);

  if (decision == MEMORY_GRANTED)
    {
      memory->customer_id = customer_id;
      memory->request_bytes = request_bytes;
    }
  return decision;
}

static uint64_t
total (const struct httpd_memory *memory)
{
  return memory->input_bytes + memory->request_bytes + memory->buffered_bytes
         + memory->output_bytes;
}

int
httpd_memory_add_body (struct httpd_memory *memory, struct evbuffer *data,
                       size_t room)
{
  const size_t size = evbuffer_get_length (data);
  char *body;

  if (room < memory->body_size + size)
    room = memory->body_size + size;
  if (room > memory->body_room)
    {
      body = realloc (memory->body, room);
      if (body == NULL)
        return ERR_NO_MEMORY;
      memory->body = body;
      memory->body_room = room;
    }
  evbuffer_remove (data, memory->body + memory->body_size, size);
  memory->body_size += size;
  return 0;
}

int
httpd_memory_move_body (struct httpd_memory *memory, struct evbuffer *buffer)
{
  char *body = memory->body;
  const size_t size = memory->body_size;

  memory_account_arrived (memory->account, &memory->holder);
  memory->body = NULL;
  memory->body_size = memory->body_room = 0;
  if (body == NULL
      || evbuffer_add_reference (buffer, body, size, free_body, body) == 0)
    return 0;
  free (body);
  return ERR_NO_MEMORY;
}

static void
free_body (const void *data, size_t size, void *body)
{
  (void)data;
  (void)size;
  free (body);
}

void
httpd_memory_end_request (struct httpd_memory *memory)
{
  memory->request_bytes = memory->buffered_bytes = 0;
  memory_account_arrived (memory->account, &memory->holder);
  record (memory);
}

static void
record (struct httpd_memory *memory)
{
  memory_account_set (memory->account, &memory->holder, total (memory));
}

void
httpd_memory_set_input (struct httpd_memory *memory, uint64_t bytes)
{
  memory->input_bytes = bytes;
  record (memory);
}

void
httpd_memory_set_buffered (struct httpd_memory *memory, uint64_t bytes)
{
  memory->buffered_bytes = bytes;
  record (memory);
}

void
httpd_memory_set_output (struct httpd_memory *memory, uint64_t bytes)
{
  memory->output_bytes = bytes;
  record (memory);
}
