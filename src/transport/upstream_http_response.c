/**
 * @file upstream_http_response.c
 * Parses a response with libevhtp's parser and checks that it is complete, has
 * its stated length and belongs to this request.
 */
#include "state/err.h"
#include "transport/log.h"
#include "transport/upstream_http_int.h"
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define ARENA_INITIAL_BYTES 512
#define STATUS_LINE_MIN     12   /**< bytes of "HTTP/1.1 200" */
#define KEEP_ALIVE_MAX_S    3600 /**< timeouts from this on are ignored */
/* Responses to other requests that an attempt drops, and their bytes. */
#define FOREIGN_MAX       8
#define FOREIGN_BYTES_MAX 65536

static size_t parse_response (struct upstream_http_conn *conn, char *data,
                              size_t size);
static size_t parse_step (struct upstream_http_conn *conn, char *data,
                          size_t size);
static size_t parse_part (struct upstream_http_conn *conn, const char *data,
                          size_t size);
static bool has_ended (const struct upstream_http_conn *conn);
static size_t line_max (const struct upstream_http_conn *conn);
static size_t skip_interim (struct upstream_http_conn *conn, char *data,
                            size_t size);
static bool is_interim (struct upstream_http_conn *conn, const char *data,
                        size_t size);
static int on_header_name (htparser *parser, const char *data, size_t size);
static int on_header_value (htparser *parser, const char *data, size_t size);
static int on_headers (htparser *parser);
static bool drop_foreign (struct upstream_http_conn *conn,
                          const struct upstream_header *headers, int status);
static int count_foreign (struct upstream_attempt *attempt, size_t size);
static void list_headers (const struct response *response,
                          struct upstream_header *headers);
static int on_body (htparser *parser, const char *data, size_t size);
static int on_message (htparser *parser);
static int fail (struct upstream_http_conn *conn, int error);
static int arena_add (struct response *response, const char *data, size_t size,
                      uint32_t *offset);
static int check_framing (struct response *response,
                          bool close_delimited_allowed);
static int check_length (struct response *response, const char *value);
static void read_keep_alive (struct upstream_http_conn *conn,
                             const struct upstream_header *headers,
                             size_t count);
static void deliver_body (struct upstream_http_conn *conn);

static htparse_hooks hooks = {
  .hdr_key = on_header_name,
  .hdr_val = on_header_value,
  .on_hdrs_complete = on_headers,
  .body = on_body,
  .on_msg_complete = on_message,
};

void
upstream_http_response_reset (struct upstream_http_conn *conn)
{
  htparser_init (conn->parser, htp_type_response);
  htparser_set_userdata (conn->parser, conn);
}

void
upstream_http_response_finish (struct response *response)
{
  free (response->arena);
  response->arena = NULL;
}

size_t
upstream_http_response_parse (struct upstream_http_conn *conn, char *data,
                              size_t size)
{
  size_t used = parse_response (conn, data, size);
  struct response *response;

  while (!conn->free_pending)
    {
      response = &conn->attempt->response;
      if (response->error != 0 || !response->complete || !response->foreign)
        break;
      upstream_http_response_finish (response);
      memset (response, 0, sizeof *response);
      upstream_http_response_reset (conn);
      used += parse_response (conn, data + used, size - used);
    }
  return used;
}

static size_t
parse_response (struct upstream_http_conn *conn, char *data, size_t size)
{
  struct response *response = &conn->attempt->response;
  size_t used = 0;
  size_t step;

  if (!response->past_interim)
    used = skip_interim (conn, data, size);
  if (!response->past_interim || response->error != 0)
    return used;
  conn->parsing = true;
  do
    {
      step = used < size ? parse_step (conn, data + used, size - used) : 0;
      used += step;
    }
  while (step > 0 && !has_ended (conn));
  if (!conn->free_pending)
    deliver_body (conn);
  conn->parsing = false;
  return used;
}

/* libevhtp's parser tolerates much that others read in another way.  It gets
   nothing that was not checked.
   @return the number of bytes consumed; 0 if more are needed. */
static size_t
parse_step (struct upstream_http_conn *conn, char *data, size_t size)
{
  struct response *response = &conn->attempt->response;
  struct httpd_body_step step = { .pass = size };

  if (!response->head.complete)
    response->error = response_head_read (&response->head, data, size,
                                          line_max (conn), &step.pass);
  else if (response->close_delimited)
    {
      response->received += size;
      if (evbuffer_add (conn->scratch, data, size) != 0)
        response->error = ERR_NO_MEMORY;
      return size;
    }
  else if (response->chunked
           && httpd_body_read (&response->body, data, size,
                               (uint32_t)line_max (conn), &step)
                  != 0)
    response->error = ERR_PROTOCOL;
  if (response->error != 0)
    return 0;
  return (step.pass == 0 ? 0 : parse_part (conn, data, step.pass)) + step.drop;
}

static size_t
parse_part (struct upstream_http_conn *conn, const char *data, size_t size)
{
  struct response *response = &conn->attempt->response;
  size_t used = htparser_run (conn->parser, &hooks, data, size);

  if (!has_ended (conn) && !response->close_delimited
      && (htparser_get_error (conn->parser) != htparse_error_none
          || used < size))
    response->error = ERR_PROTOCOL;
  return used;
}

/* Whether no more of the response is to be read. */
static bool
has_ended (const struct upstream_http_conn *conn)
{
  return conn->free_pending || conn->attempt->response.complete
         || conn->attempt->response.error != 0;
}

/* A longer line would never be complete: reading stops before. */
static size_t
line_max (const struct upstream_http_conn *conn)
{
  const uint32_t read_max = conn->http->config.read_max_bytes;

  return read_max > 0 && read_max < RESPONSE_HEADER_BYTES_MAX
             ? read_max - 1
             : RESPONSE_HEADER_BYTES_MAX;
}

/* Skips 1xx responses, after which the parser would stop.  Sets `past_interim`
   when the first bytes of the final response have arrived.
   @return the number of bytes skipped. */
static size_t
skip_interim (struct upstream_http_conn *conn, char *data, size_t size)
{
  struct response *response = &conn->attempt->response;
  size_t used = 0;
  size_t step;

  while (used < size && response->error == 0
         && (response->head.has_status
             || is_interim (conn, data + used, size - used)))
    {
      response->error = response_head_read (
          &response->head, data + used, size - used, line_max (conn), &step);
      if (step == 0)
        break;
      used += step;
      response->interim_bytes += (uint32_t)step;
      if (response->interim_bytes > RESPONSE_HEADER_BYTES_MAX)
        response->error = ERR_TOO_LARGE;
      if (response->head.complete)
        {
          memset (&response->head, 0, sizeof response->head);
          response->interim_bytes = 0;
        }
    }
  return used;
}

/* Whether a 1xx response begins.  Sets `past_interim` if another one does. */
static bool
is_interim (struct upstream_http_conn *conn, const char *data, size_t size)
{
  static const char prefix[] = "HTTP/1.1 1";
  const size_t length = sizeof prefix - 1;
  struct response *response = &conn->attempt->response;

  if (memcmp (data, prefix, size < length ? size : length) != 0)
    {
      response->past_interim = true;
      return false;
    }
  if (size < STATUS_LINE_MIN)
    return false;
  /* 101 Switching Protocols was not requested. */
  if (strncmp (data + 9, "101", 3) == 0)
    response->error = ERR_PROTOCOL;
  return response->error == 0;
}

static int
on_header_name (htparser *parser, const char *data, size_t size)
{
  struct upstream_http_conn *conn = htparser_get_userdata (parser);
  struct response *response = &conn->attempt->response;

  if (response->count == RESPONSE_HEADERS_MAX)
    return fail (conn, ERR_TOO_LARGE);
  if (arena_add (response, data, size, &response->slices[response->count].name)
      != 0)
    return fail (conn, ERR_TOO_LARGE);
  return 0;
}

static int
on_header_value (htparser *parser, const char *data, size_t size)
{
  struct upstream_http_conn *conn = htparser_get_userdata (parser);
  struct response *response = &conn->attempt->response;

  if (response->count == RESPONSE_HEADERS_MAX
      || arena_add (response, data, size,
                    &response->slices[response->count].value)
             != 0)
    return fail (conn, ERR_TOO_LARGE);
  response->count++;
  return 0;
}

static int
on_headers (htparser *parser)
{
  struct upstream_http_conn *conn = htparser_get_userdata (parser);
  struct upstream_attempt *attempt = conn->attempt;
  const struct upstream_dialect *dialect = conn->http->config.dialect;
  struct response *response = &attempt->response;
  struct upstream_header headers[RESPONSE_HEADERS_MAX];
  int status = (int)htparser_get_status (parser);
  enum upstream_limit limit;
  uint32_t permille = 0;
  uint32_t pause_ms;
  int error;

  if (status < 200)
    return fail (conn, ERR_PROTOCOL);
  list_headers (response, headers);
  response->body_absent = attempt->is_head || status == 204 || status == 304;
  error = check_framing (response, dialect->allow_close_delimited);
  if (error == 0)
    error
        = dialect->check_response (attempt->request_id, attempt->resume_after,
                                   status, headers, response->count);
  if (error == ERR_MISMATCH)
    return drop_foreign (conn, headers, status) ? 0 : fail (conn, error);
  /* Such a refusal may be that of an earlier request, written again. */
  if (error == ERR_UNAVAILABLE && conn->reused
      && upstream_header_find (headers, response->count, dialect->id_header)
             == NULL)
    error = ERR_PROTOCOL;
  if (dialect->draining (headers, response->count))
    attempt->events->draining (attempt->user);
  if (conn->free_pending)
    return -1;
  pause_ms = dialect->pause_ms == NULL || attempt->events->paused == NULL
                 ? 0
                 : dialect->pause_ms (status, headers, response->count);
  if (pause_ms > 0)
    attempt->events->paused (attempt->user, pause_ms);
  if (conn->free_pending)
    return -1;
  limit = dialect->limit == NULL || attempt->events->limit == NULL
              ? UPSTREAM_LIMIT_UNKNOWN
              : dialect->limit (status, headers, response->count, &permille);
  if (limit != UPSTREAM_LIMIT_UNKNOWN)
    attempt->events->limit (attempt->user, limit, permille);
  if (conn->free_pending)
    return -1;
  if (error != 0)
    return fail (conn, error);
  conn->reusable = htparser_should_keep_alive (parser) != 0;
  read_keep_alive (conn, headers, response->count);
  response->head_delivered = true;
  attempt->events->responding (attempt->user, status, headers,
                               response->count);
  if (conn->free_pending)
    return -1;
  if (!response->body_absent && !response->close_delimited)
    return 0;
  /* Stop the parser: it would wait for an absent body, and it would end a
     close-delimited response at once. */
  response->complete = response->body_absent;
  conn->reusable = false;
  return -1;
}

/* An extra response to an earlier request may arrive before the one to this
   request, and is known by its ID.  One whose end is not certain is not
   dropped. */
static bool
drop_foreign (struct upstream_http_conn *conn,
              const struct upstream_header *headers, int status)
{
  struct upstream_attempt *attempt = conn->attempt;
  struct response *response = &attempt->response;
  const char *id = upstream_header_find (
      headers, response->count, conn->http->config.dialect->id_header);

  if (!conn->reused || id == NULL || response->body_absent
      || response->close_delimited || attempt->foreign_count == FOREIGN_MAX
      || count_foreign (attempt, response->arena_used) != 0)
    return false;
  attempt->foreign_count++;
  response->foreign = true;
  LOG (LOG_UPSTREAM_MISMATCH, attempt->request_id, LOG_S ("id", id),
       LOG_U ("status", (uint64_t)status));
  return true;
}

static int
count_foreign (struct upstream_attempt *attempt, size_t size)
{
  if (size > FOREIGN_BYTES_MAX - attempt->foreign_bytes)
    return ERR_TOO_LARGE;
  attempt->foreign_bytes += size;
  return 0;
}

static void
list_headers (const struct response *response, struct upstream_header *headers)
{
  uint32_t i;

  for (i = 0; i < response->count; i++)
    {
      headers[i].name = response->arena + response->slices[i].name;
      headers[i].value = response->arena + response->slices[i].value;
    }
}

/* Sets the idle limit to one second less than the upstream's Keep-Alive
   timeout, to allow for network latency and rounding. */
static void
read_keep_alive (struct upstream_http_conn *conn,
                 const struct upstream_header *headers, size_t count)
{
  const char *value = upstream_header_find (headers, count, "Keep-Alive");
  const char *timeout = value == NULL ? NULL : strstr (value, "timeout=");
  uint64_t seconds;

  if (timeout == NULL)
    return;
  seconds = strtoull (timeout + strlen ("timeout="), NULL, 10);
  if (seconds < KEEP_ALIVE_MAX_S)
    conn->idle_max_ns = (seconds > 1 ? seconds - 1 : 0) * CLOCK_NS_PER_S;
}

static int
on_body (htparser *parser, const char *data, size_t size)
{
  struct upstream_http_conn *conn = htparser_get_userdata (parser);
  struct upstream_attempt *attempt = conn->attempt;

  attempt->response.received += size;
  if (attempt->response.foreign)
    return count_foreign (attempt, size) == 0 ? 0 : fail (conn, ERR_MISMATCH);
  if (evbuffer_add (conn->scratch, data, size) != 0)
    return fail (conn, ERR_NO_MEMORY);
  return 0;
}

/* Passes on all body bytes of one read together: each of many small chunks
   would otherwise cost a write when the event loop is behind. */
static void
deliver_body (struct upstream_http_conn *conn)
{
  struct upstream_attempt *attempt = conn->attempt;

  if (evbuffer_get_length (conn->scratch) == 0)
    return;
  attempt->events->body (attempt->user, conn->scratch);
  if (!conn->free_pending)
    evbuffer_drain (conn->scratch, evbuffer_get_length (conn->scratch));
}

static int
on_message (htparser *parser)
{
  struct upstream_http_conn *conn = htparser_get_userdata (parser);
  struct response *response = &conn->attempt->response;

  if (response->has_length && response->received != response->length)
    return fail (conn, ERR_TRUNCATED);
  response->complete = true;
  /* Stop the parser here: bytes that follow belong to no request. */
  return -1;
}

static int
fail (struct upstream_http_conn *conn, int error)
{
  conn->attempt->response.error = error;
  return -1;
}

static int
arena_add (struct response *response, const char *data, size_t size,
           uint32_t *offset)
{
  uint32_t needed = response->arena_used + (uint32_t)size + 1;
  uint32_t capacity
      = response->arena_size == 0 ? ARENA_INITIAL_BYTES : response->arena_size;
  char *arena;

  if (size > RESPONSE_HEADER_BYTES_MAX || needed > RESPONSE_HEADER_BYTES_MAX)
    return ERR_TOO_LARGE;
  while (capacity < needed)
    capacity *= 2;
  if (capacity != response->arena_size)
    {
      arena = realloc (response->arena, capacity);
      if (arena == NULL)
        return ERR_NO_MEMORY;
      response->arena = arena;
      response->arena_size = capacity;
    }
  *offset = response->arena_used;
  memcpy (response->arena + *offset, data, size);
  response->arena[*offset + size] = '\0';
  response->arena_used = needed;
  return 0;
}

/* A close-delimited body that was truncated can be detected only if the
   connection was reset, so such a body is accepted only if the dialect allows
   it. */
static int
check_framing (struct response *response, bool close_delimited_allowed)
{
  const char *name;
  const char *value;
  uint32_t i;

  for (i = 0; i < response->count; i++)
    {
      name = response->arena + response->slices[i].name;
      value = response->arena + response->slices[i].value;
      if (strcasecmp (name, "Content-Length") == 0)
        {
          if (check_length (response, value) != 0)
            return ERR_PROTOCOL;
        }
      else if (strcasecmp (name, "Transfer-Encoding") == 0)
        {
          if (strcasecmp (value, "chunked") != 0 || response->chunked)
            return ERR_PROTOCOL;
          response->chunked = true;
          httpd_body_init_chunked (&response->body);
        }
    }
  if (response->has_length && response->chunked)
    return ERR_PROTOCOL;
  response->close_delimited
      = !response->has_length && !response->chunked && !response->body_absent;
  return response->close_delimited && !close_delimited_allowed ? ERR_PROTOCOL
                                                               : 0;
}

static int
check_length (struct response *response, const char *value)
{
  char *end;
  uint64_t length;

  if (*value < '0' || *value > '9')
    return ERR_PROTOCOL;
  length = strtoull (value, &end, 10);
  if (*end != '\0' || (response->has_length && response->length != length))
    return ERR_PROTOCOL;
  response->has_length = true;
  response->length = length;
  return 0;
}
