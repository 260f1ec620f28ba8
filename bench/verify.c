/**
 * @file verify.c
 * Queries the stand-ins for the number of executions of each request id.
 */
#include "verify.h"
#include "standin/address.h"
#include <event2/buffer.h>
#include <event2/http.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** One query for all request ids of a kind. */
struct query
{
  struct verify *verify;
  struct event_base *base;
  enum flow_kind kind;
  struct verify_result *result;
  bool answered;
};

static void send_query (struct query *query, const char *control);
static void on_response (struct evhttp_request *request, void *user);
static void check_executions (const struct verify_entry *entry,
                              unsigned long count,
                              struct verify_result *result);

void
verify_add (struct verify *verify, const char *request_id, enum flow_kind kind,
            enum flow_outcome outcome, bool idempotent)
{
  struct verify_entry *entry;

  if (verify->count == verify->capacity)
    {
      verify->capacity = verify->capacity == 0 ? 1024 : verify->capacity * 2;
      entry = realloc (verify->entries, verify->capacity * sizeof (*entry));
      if (entry == NULL)
        abort ();
      verify->entries = entry;
    }
  entry = &verify->entries[verify->count++];
  snprintf (entry->request_id, sizeof (entry->request_id), "%s", request_id);
  entry->kind = kind;
  entry->outcome = outcome;
  entry->idempotent = idempotent;
}

void
verify_run (struct verify *verify, struct event_base *base,
            const char *const control[FLOW_KIND_MAX],
            struct verify_result *result)
{
  int kind;

  memset (result, 0, sizeof (*result));
  for (kind = 0; kind < FLOW_KIND_MAX; kind++)
    {
      struct query query
          = { verify, base, (enum flow_kind)kind, result, false };

      if (control[kind] == NULL)
        continue;
      send_query (&query, control[kind]);
      if (!query.answered)
        result->failed_queries++;
    }
}

void
verify_finish (struct verify *verify)
{
  free (verify->entries);
}

static void
send_query (struct query *query, const char *control)
{
  const struct verify *verify = query->verify;
  struct evhttp_connection *connection;
  struct evhttp_request *request;
  struct evbuffer *body;
  char host[ADDRESS_HOST_SIZE];
  uint16_t port;
  size_t i;

  if (address_parse (control, host, &port) != 0)
    return;
  connection = evhttp_connection_base_new (query->base, NULL, host, port);
  request = evhttp_request_new (on_response, query);
  evhttp_add_header (evhttp_request_get_output_headers (request), "Host",
                     "localhost");
  body = evhttp_request_get_output_buffer (request);
  for (i = 0; i < verify->count; i++)
    if (verify->entries[i].kind == query->kind)
      evbuffer_add_printf (body, "%s\n", verify->entries[i].request_id);
  evhttp_make_request (connection, request, EVHTTP_REQ_POST,
                       "/_standin/executions");
  event_base_dispatch (query->base);
  evhttp_connection_free (connection);
}

static void
on_response (struct evhttp_request *request, void *user)
{
  struct query *query = user;
  const struct verify *verify = query->verify;
  struct evbuffer *body;
  char *line;
  size_t i;

  event_base_loopbreak (query->base);
  if (request == NULL || evhttp_request_get_response_code (request) != HTTP_OK)
    return;
  body = evhttp_request_get_input_buffer (request);
  query->answered = true;
  for (i = 0; i < verify->count; i++)
    {
      if (verify->entries[i].kind != query->kind)
        continue;
      line = evbuffer_readln (body, NULL, EVBUFFER_EOL_LF);
      if (line == NULL)
        {
          query->answered = false;
          return;
        }
      check_executions (&verify->entries[i], strtoul (line, NULL, 10),
                        query->result);
      free (line);
    }
}

static void
check_executions (const struct verify_entry *entry, unsigned long count,
                  struct verify_result *result)
{
  result->checked++;
  if (!entry->idempotent && count > 1)
    result->repeated++;
  if (entry->outcome == FLOW_REFUSED_NOT_RUN && count > 0)
    result->false_not_run++;
  if (entry->outcome == FLOW_COMPLETE && count == 0)
    result->never_run++;
}
